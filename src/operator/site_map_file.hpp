/// @file
/// @brief Parser of the text format of site maps.
#pragma once

#include <siskinflow/routing/site_map_document.hpp>

#include <string_view>
#include <vector>

namespace siskinflow::operator_detail
{

/// @brief A parsed site map file.
struct site_map_file
{
    std::vector<routing::site> sites; ///< By number.
    routing::site_map map;
};

/// @brief Parses the format that docs/site-map.md describes.
/// @param text content of the file
/// @param known sites of the published map; a site that is in both
/// maps keeps its number, because a new number would change all its blocks
/// @return the map; `errc::parse_error` with one line per fault, each with the
/// number of the line, the value and the correction
result<site_map_file>
parse_site_map_file(std::string_view text,
                    const std::vector<routing::site>& published_sites);

} // namespace siskinflow::operator_detail
