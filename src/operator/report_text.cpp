#include "report_text.hpp"

#include <string_view>

namespace siskinflow::operator_detail
{

namespace
{

using nlohmann::json;

constexpr const char* not_stated = "not stated";

const json& field(const json& object, const char* name)
{
    static const json null_value;
    if (!object.is_object())
    {
        return null_value;
    }
    const auto it = object.find(name);
    return it == object.end() ? null_value : *it;
}

std::string number_text(const json& value)
{
    return value.is_number() ? value.dump() : not_stated;
}

std::string string_text(const json& value)
{
    return value.is_string() ? value.get<std::string>() : not_stated;
}

/// @brief A number that lies between two bounds; the upper one may be null.
std::string range(const json& value)
{
    const json& lower = field(value, "at_least");
    const json& upper = field(value, "at_most");
    if (!lower.is_number())
    {
        return not_stated;
    }
    if (!upper.is_number())
    {
        return "at least " + lower.dump() + ", upper bound unknown";
    }
    return lower == upper ? "exactly " + lower.dump()
                          : lower.dump() + " to " + upper.dump();
}

/// @brief Counts by reason, such as "; not run: rate_exceeded 3, late 1".
std::string reason_counts(const char* title, const json& counts)
{
    std::string out;
    if (!counts.is_object())
    {
        return out;
    }
    for (const auto& [reason, count] : counts.items())
    {
        out += (out.empty() ? "; " + std::string(title) + ": " : ", ") +
               reason + " " + number_text(count);
    }
    return out;
}

std::string counts_line(const std::string& title, const json& counts)
{
    return "  " + title + ": received " +
           number_text(field(counts, "received")) + ", ran " +
           number_text(field(counts, "ran")) +
           reason_counts("not run", field(counts, "not_run")) +
           reason_counts("unknown", field(counts, "unknown")) + "\n";
}

std::string named_counts(const char* title, const json& counts_by_name)
{
    std::string out;
    if (!counts_by_name.is_object())
    {
        return out;
    }
    for (const auto& [name, counts] : counts_by_name.items())
    {
        out += counts_line(std::string(title) + " " + name, counts);
    }
    return out;
}

std::string incarnation_line(const json& statement)
{
    std::string out = "  " + string_text(field(statement, "vm")) + " (" +
                      string_text(field(statement, "incarnation")) +
                      "): " + string_text(field(statement, "status"));
    const json& copy = field(statement, "copy");
    if (copy.is_object())
    {
        out +=
            field(copy, "final") == true
                ? ", final counters"
                : ", counters " + number_text(field(copy, "age_s")) + " s old";
    }
    return out + "; ran " + range(field(statement, "ran")) + ", not run " +
           range(field(statement, "not_run")) + "\n";
}

/// @brief Concatenates `format(item)` for all items of a list.
template <class Format>
std::string format_items(const json& list, Format format)
{
    std::string out;
    if (!list.is_array())
    {
        return out;
    }
    for (const auto& item : list)
    {
        out += format(item);
    }
    return out;
}

} // namespace

std::string report_text(const json& report)
{
    std::string out =
        "Report of route " + string_text(field(report, "route")) + "\n";
    out += "  received: " + range(field(report, "received")) + "\n";
    out += "  ran:      " + range(field(report, "ran")) + "\n";
    out += "  not run:  " + range(field(report, "not_run")) + "\n";
    out += "Counted\n";
    out += counts_line("all", field(report, "counted"));
    out += named_counts("organisation", field(report, "organisations"));
    out += named_counts("target", field(report, "targets"));
    out += "Entry processes\n";
    out += format_items(field(report, "incarnations"), incarnation_line);
    const json& unaccounted = field(report, "incarnations_unaccounted");
    if (unaccounted != 0)
    {
        out += "  without any counters: " + number_text(unaccounted) + "\n";
    }
    out += format_items(
        field(report, "unknown_permits"), [](const json& permit)
        { return "Unknown outcome: permit " + string_text(permit) + "\n"; });
    const json& omitted = field(report, "unknown_permits_omitted");
    if (omitted.is_number() && omitted != 0)
    {
        out += "Unknown outcome: " + number_text(omitted) + " more permits\n";
    }
    out += format_items(
        field(report, "incidents"),
        [](const json& incident)
        {
            return "Incident: " + string_text(field(incident, "incarnation")) +
                   ": " + string_text(field(incident, "description")) + "\n";
        });
    return out;
}

} // namespace siskinflow::operator_detail
