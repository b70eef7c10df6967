#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/load/load_sharing.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace siskinflow::gateway
{

namespace
{

constexpr double percent = 100;

std::uint16_t to_uint16(std::uint64_t value)
{
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(
        value, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

std::uint32_t target_number(std::string_view id)
{
    return static_cast<std::uint32_t>(stable_hash(id));
}

void load_outbox::record(std::string_view target, const load_report& report,
                         time_point now)
{
    if (is_plausible(report))
    {
        entries_[target_number(target)] = {report, now};
    }
}

std::vector<shared_load> load_outbox::take(time_point now)
{
    std::vector<shared_load> out;
    out.reserve(entries_.size());
    for (const auto& [target, kept] : entries_)
    {
        const duration age = now - kept.received_at;
        if (age > max_shared_load_age)
        {
            continue;
        }
        const double pace = kept.report.pace.value_or(0) * percent;
        out.push_back({target, to_uint16(kept.report.running),
                       to_uint16(kept.report.waiting),
                       to_uint16(static_cast<std::uint64_t>(std::lround(pace))),
                       to_uint16(static_cast<std::uint64_t>(to_ms(age)))});
    }
    entries_.clear();
    std::sort(out.begin(), out.end(),
              [](const shared_load& left, const shared_load& right)
              {
                  return std::pair(left.age_ms, left.target) <
                         std::pair(right.age_ms, right.target);
              });
    out.resize(std::min(out.size(), max_shared_loads));
    return out;
}

load_report to_load_report(const shared_load& shared, unsigned slots)
{
    load_report out{shared.running, shared.waiting, slots};
    if (shared.pace_percent > 0)
    {
        out.pace =
            std::clamp(shared.pace_percent / percent, min_pace, max_pace);
    }
    return out;
}

} // namespace siskinflow::gateway
