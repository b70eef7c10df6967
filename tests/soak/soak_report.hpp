/// @file
/// @brief Report of a soak as JSON.
#pragma once

#include "copy_faults.hpp"
#include "fault_source.hpp"

#include <nlohmann/json.hpp>

#include <fstream>

namespace soak
{

inline nlohmann::ordered_json to_json(const broken_rule& broken)
{
    return {{"rule", broken.rule},
            {"request", broken.request},
            {"vm", broken.vm ? nlohmann::ordered_json(*broken.vm) : nullptr},
            {"at_ms", to_ms(broken.at)}};
}

/// @brief Requests by outcome: the status, or "none" without an answer.
inline nlohmann::ordered_json outcomes(const promise_checker& promises)
{
    auto out = nlohmann::ordered_json::object();
    for (const auto& [status, count] : promises.statuses())
    {
        out[status == 0 ? "none" : std::to_string(status)] = count;
    }
    return out;
}

/// @brief Writes the report of a soak.
/// @return false if the file can't be written
inline bool write_report(const std::string& path, std::uint64_t seed,
                         const fault_source& faults, const copy_faults& copies,
                         const promise_checker& promises)
{
    nlohmann::ordered_json report;
    report["seed"] = seed;
    report["faults"] = faults.played();
    for (const auto& [kind, count] : copies.played())
    {
        report["faults"][kind] = count;
    }
    report["refusals_sent"] = copies.refusals();
    report["copies"] = copies.copies();
    report["copies_of_same_id"] = copies.copies_of_same_id();
    report["requests"] = outcomes(promises);
    report["broken"] = nlohmann::ordered_json::array();
    for (const broken_rule& broken : promises.broken_rules())
    {
        report["broken"].push_back(to_json(broken));
    }
    std::ofstream file(path);
    file << report.dump(2) << "\n";
    return file.good();
}

} // namespace soak
