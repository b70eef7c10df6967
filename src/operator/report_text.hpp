/// @file
/// @brief Text output of a final report.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace siskinflow::operator_detail
{

/// @brief Formats the JSON report of an entry VM as text. Absent fields are
/// shown as "not stated", never as zero.
std::string report_text(const nlohmann::json& report);

} // namespace siskinflow::operator_detail
