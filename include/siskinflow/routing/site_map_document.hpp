/// @file
/// @brief The value at `siskinflow/sitemap`, and the list of sites.
///
/// The value is a JSON object with `write_id` (unique for each write, so that
/// the outcome of a write whose reply was lost can be determined), `manifest`
/// (`site_map_manifest` in Base64) and `sites` (SHA-256 of the list of sites).
/// The list is a chunk of its own: it changes rarely, and inside the value it
/// would be read at every poll. It is a JSON array of objects with `name` and
/// `region`, or null for a number without a site; the index is the site's
/// number.
#pragma once

#include <siskinflow/routing/site_map_chunks.hpp>
#include <siskinflow/store/store.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::routing
{

/// @brief A site; its number is its index in the list.
struct site
{
    std::string name; ///< Empty: the number has no site.
    std::string region;

    bool operator==(const site&) const = default;
};

/// @brief The value at `siskinflow/sitemap`.
struct site_map_document
{
    std::string write_id;
    site_map_manifest manifest;
    std::string sites_hash; ///< SHA-256, 64 hexadecimal digits.

    /// @brief SHA-256 over manifest and list of sites: equal for equal maps
    /// that were published in the same steps.
    std::string hash() const;
};

/// @brief JSON form of the document.
std::string to_json(const site_map_document& document);

/// @brief Reads the form that `to_json` writes.
/// @return the document, or `errc::parse_error`
result<site_map_document> parse_site_map_document(std::string_view json);

/// @brief Content of the chunk with the list of sites.
std::string encode_sites(const std::vector<site>& sites);

/// @brief Reads the form that `encode_sites` writes.
/// @param hash SHA-256 that the content must have
/// @return the sites, or `errc::parse_error`
result<std::vector<site>> parse_sites(std::string_view content,
                                      const std::string& hash);

/// @brief Number of a site.
/// @return the number, or nothing if the list has no site of that name
std::optional<site_number> find_site(const std::vector<site>& sites,
                                     std::string_view name);

/// @brief Chunks by their hashes.
using chunk_map = std::map<std::string, std::string>;

/// @brief Reads chunks one at a time, so that many VMs that start together do
/// not multiply the calls in flight.
/// @param from the store; must outlive the call
/// @param done the chunks, not verified; `errc::not_found` if one is missing,
/// or the store's error
void fetch_chunks(store& from, std::vector<std::string> hashes,
                  duration call_timeout, store::callback<chunk_map> done);

} // namespace siskinflow::routing
