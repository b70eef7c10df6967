#include <siskinflow/report/counters.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace siskinflow
{

namespace
{

/// Bytes of a length or a number in cereal's portable binary format.
constexpr std::size_t integer_bytes = 8;
/// Lengths and numbers in each row.
constexpr std::size_t row_integer_count = 9;

std::size_t encoded_bytes(const std::vector<reason_count>& reasons)
{
    return std::accumulate(
        reasons.begin(), reasons.end(), std::size_t(0),
        [](std::size_t sum, const reason_count& entry)
        { return sum + entry.reason.size() + 2 * integer_bytes; });
}

std::size_t encoded_bytes(const counter_row& row)
{
    std::size_t size = row_integer_count * integer_bytes + row.route.size() +
                       row.organisation.size() + row.target.size();
    size += encoded_bytes(row.not_run) + encoded_bytes(row.unknown);
    for (const std::string& label : row.unknown_permits)
    {
        size += label.size() + integer_bytes;
    }
    return size;
}

nlohmann::json reasons_json(const std::vector<reason_count>& reasons)
{
    nlohmann::json out = nlohmann::json::object();
    for (const reason_count& entry : reasons)
    {
        out[entry.reason] = entry.count;
    }
    return out;
}

std::vector<reason_count> parse_reasons(const nlohmann::json& document)
{
    std::vector<reason_count> out;
    for (const auto& [reason, count] : document.items())
    {
        out.push_back({reason, count.get<std::uint64_t>()});
    }
    return out;
}

nlohmann::json row_json(const counter_row& row)
{
    return {{"route", row.route},
            {"organisation", row.organisation},
            {"target", row.target},
            {"received", row.received},
            {"ran", row.ran},
            {"not_run", reasons_json(row.not_run)},
            {"unknown", reasons_json(row.unknown)},
            {"unknown_permits", row.unknown_permits},
            {"unknown_permits_omitted", row.unknown_permits_omitted}};
}

counter_row parse_row(const nlohmann::json& document)
{
    counter_row row;
    document.at("route").get_to(row.route);
    document.at("organisation").get_to(row.organisation);
    document.at("target").get_to(row.target);
    document.at("received").get_to(row.received);
    document.at("ran").get_to(row.ran);
    row.not_run = parse_reasons(document.at("not_run"));
    row.unknown = parse_reasons(document.at("unknown"));
    document.at("unknown_permits").get_to(row.unknown_permits);
    document.at("unknown_permits_omitted").get_to(row.unknown_permits_omitted);
    return row;
}

} // namespace

std::uint64_t total(const std::vector<reason_count>& reasons)
{
    return std::accumulate(reasons.begin(), reasons.end(), std::uint64_t(0),
                           [](std::uint64_t sum, const reason_count& entry)
                           { return sum + entry.count; });
}

void add_reason(std::vector<reason_count>& reasons, std::string_view reason,
                std::uint64_t count)
{
    const auto it =
        std::lower_bound(reasons.begin(), reasons.end(), reason,
                         [](const reason_count& entry, std::string_view wanted)
                         { return entry.reason < wanted; });
    if (it != reasons.end() && it->reason == reason)
    {
        it->count += count;
        return;
    }
    reasons.insert(it, {std::string(reason), count});
}

std::vector<counters> split(const counter_copy& copy, std::size_t max_bytes)
{
    const counters empty_part{
        copy.incarnation, copy.version, copy.final, 0, 1, {}};
    std::vector<counters> out{empty_part};
    std::size_t part_bytes = 0;
    for (const counter_row& row : copy.rows)
    {
        const std::size_t row_bytes = encoded_bytes(row);
        if (part_bytes + row_bytes > max_bytes && !out.back().rows.empty())
        {
            out.push_back(empty_part);
            part_bytes = 0;
        }
        out.back().rows.push_back(row);
        part_bytes += row_bytes;
    }
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        out[i].part = static_cast<std::uint32_t>(i);
        out[i].parts = static_cast<std::uint32_t>(out.size());
    }
    return out;
}

std::string to_json(const counter_copy& copy)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const counter_row& row : copy.rows)
    {
        rows.push_back(row_json(row));
    }
    const nlohmann::json document = {
        {"incarnation", to_string(copy.incarnation)},
        {"version", copy.version},
        {"final", copy.final},
        {"rows", std::move(rows)}};
    return document.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
}

result<counter_copy> parse_counter_copy(std::string_view json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    try
    {
        counter_copy copy;
        const auto incarnation =
            parse_incarnation_id(document.at("incarnation").get<std::string>());
        if (!incarnation)
        {
            return incarnation.error();
        }
        copy.incarnation = incarnation.value();
        document.at("version").get_to(copy.version);
        document.at("final").get_to(copy.final);
        for (const auto& row : document.at("rows"))
        {
            copy.rows.push_back(parse_row(row));
        }
        return copy;
    }
    catch (const nlohmann::json::exception& failure)
    {
        return fail(errc::parse_error,
                    std::string("invalid counters document: ") +
                        failure.what());
    }
}

counter_set::counter_set(const incarnation_id& incarnation)
    : incarnation_(incarnation)
{
}

counter_row& counter_set::row(std::string_view route,
                              std::string_view organisation,
                              std::string_view target)
{
    const auto it = rows_.find(row_key_view(route, organisation, target));
    if (it != rows_.end())
    {
        return it->second;
    }
    counter_row& created = rows_[row_key(
        std::string(route), std::string(organisation), std::string(target))];
    created.route = route;
    created.organisation = organisation;
    created.target = target;
    return created;
}

void counter_set::count_received(std::string_view route,
                                 std::string_view organisation)
{
    ++row(route, organisation).received;
}

void counter_set::count_ran(counter_row& row)
{
    ++row.ran;
}

void counter_set::count_not_run(counter_row& row, std::string_view reason)
{
    add_reason(row.not_run, reason);
}

void counter_set::count_unknown(counter_row& row, std::string_view reason,
                                std::string_view permit_label)
{
    add_reason(row.unknown, reason);
    if (permit_label.empty())
    {
        return;
    }
    if (unknown_permit_count_ >= max_unknown_permits)
    {
        ++row.unknown_permits_omitted;
        return;
    }
    ++unknown_permit_count_;
    row.unknown_permits.emplace_back(permit_label);
}

counter_copy counter_set::copy(bool final)
{
    counter_copy out;
    out.incarnation = incarnation_;
    out.version = ++version_;
    out.final = final;
    for (const auto& [key, row] : rows_)
    {
        out.rows.push_back(row);
    }
    return out;
}

} // namespace siskinflow
