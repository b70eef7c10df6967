#include "watch_supervision.hpp"

#include <siskinflow/core/enum_name.hpp>

#include <algorithm>
#include <array>

namespace siskinflow
{

namespace
{

constexpr std::array<std::string_view, 3> action_names{"keep", "watch_again",
                                                       "list"};

constexpr duration min_patience = std::chrono::milliseconds(300);
constexpr duration max_patience = std::chrono::milliseconds(2400);
/// Of a watch that follows an answer, however long that took.
constexpr duration max_expected_patience = std::chrono::milliseconds(1200);
/// Longest pause within an answer. Two retransmissions in a row fit in.
constexpr duration max_stall = std::chrono::seconds(1);
/// An answer that arrives more slowly counts as missing: the next one may come
/// over a sound connection.
constexpr std::size_t min_bytes_per_s = 4096;
constexpr duration rate_check_time = std::chrono::seconds(1);
/// Lengths of a listing that the answer to a watch may have. The changes of
/// one key since long ago are longer than its present state without bound.
constexpr std::size_t listings_per_watch = 4;
constexpr std::size_t min_watch_bytes = 16U << 10;

bool arrives_too_slowly(const watch_observation& watch)
{
    using seconds = std::chrono::duration<double>;
    const double expected =
        static_cast<double>(min_bytes_per_s) * seconds(watch.arriving).count();
    return watch.arriving >= rate_check_time &&
           static_cast<double>(watch.bytes_received) < expected;
}

} // namespace

std::string_view name(watch_action value) noexcept
{
    return enum_name(action_names, value);
}

watch_supervision::watch_supervision() : patience_(min_patience) {}

watch_action watch_supervision::judge(const watch_observation& watch) const
{
    if (watch.bytes_received > 0)
    {
        const bool too_long =
            watch.bytes_received >
            listings_per_watch * watch.listing_bytes + min_watch_bytes;
        const bool ends =
            too_long || watch.stalled >= max_stall || arrives_too_slowly(watch);
        return ends ? watch_action::list : watch_action::keep;
    }
    if (watch.overdue < watch.allowed)
    {
        return watch_action::keep;
    }
    return unanswered_ == 0 ? watch_action::watch_again : watch_action::list;
}

void watch_supervision::on_unanswered()
{
    ++unanswered_;
    patience_ = std::min(2 * patience_, max_patience);
}

void watch_supervision::on_listing()
{
    unanswered_ = 0;
}

void watch_supervision::on_answered(std::optional<duration> took)
{
    unanswered_ = 0;
    patience_ = std::clamp(took ? 2 * *took : patience_ / 2, min_patience,
                           max_expected_patience);
}

} // namespace siskinflow
