/// @file
/// @brief A store behind a link of a given rate and delay.
#pragma once

#include <siskinflow/core/timer_queue.hpp>
#include <siskinflow/store/lease_store.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// @brief What a link does to calls and answers.
struct link_conditions
{
    siskinflow::duration round_trip = std::chrono::milliseconds(20);
    double bytes_per_ms = 1000;
};

/// @brief Keeps the history of its keys and answers over a link, on a clock
/// that the test advances. An answer to a watch has all changes since its
/// position up to 1 MB, a listing the present state.
class linked_store final : public siskinflow::prefix_reader
{
public:
    linked_store(const siskinflow::clock& time, siskinflow::timer_queue& timers)
        : time_(time), timers_(timers)
    {
    }

    link_conditions link;
    int lost_calls = 0; ///< The next calls get no answer.
    int listings = 0;
    int watches = 0;

    /// @brief Writes a key as the operator does.
    void put(const std::string& key, const std::string& value)
    {
        history_.push_back({key, value, {era_, ++revision_}, value.empty()});
        answer_waiting_watch();
    }

    /// @brief The store comes back from a copy without its last changes; its
    /// revisions are assigned again.
    void return_to_copy(std::size_t lost_changes)
    {
        ++era_;
        const std::size_t kept = std::max<std::size_t>(
            1, history_.size() - std::min(lost_changes, history_.size()));
        history_.resize(kept);
        for (siskinflow::store_change& change : history_)
        {
            change.position.era = era_;
        }
        revision_ = history_.back().position.revision;
        cancel_watch({}); // Its connection is lost.
    }

    siskinflow::store_position position() const
    {
        return {era_, revision_};
    }

    /// @brief Time that the link takes to carry the present state.
    siskinflow::duration listing_time() const
    {
        return link.round_trip + transfer_time(bytes_of(listing()));
    }

    void list(std::string /*prefix*/, siskinflow::duration timeout,
              callback<siskinflow::store_page> done) override
    {
        ++listings;
        if (is_lost())
        {
            timers_.schedule(
                time_.now() + timeout, [done = std::move(done)]
                { done(siskinflow::fail(siskinflow::errc::timeout, "lost")); });
            return;
        }
        timers_.schedule(time_.now() + link.round_trip / 2,
                         [this, done = std::move(done)]() mutable
                         { send(listing(), std::move(done), nullptr); });
    }

    void await_changes(std::string prefix, siskinflow::store_position after,
                       siskinflow::duration wait,
                       callback<siskinflow::store_page> done) override
    {
        ++watches;
        cancel_watch(prefix);
        watch_ = std::make_shared<watch>();
        if (is_lost())
        {
            return;
        }
        watch_->after = after;
        watch_->done = std::move(done);
        timers_.schedule(time_.now() + link.round_trip / 2,
                         [this, current = watch_, wait]
                         {
                             current->waits = true;
                             answer_waiting_watch();
                             end_watch_after(current, wait);
                         });
    }

    void cancel_watch(const std::string& /*prefix*/) override
    {
        if (watch_ != nullptr)
        {
            watch_->cancelled = true;
            watch_.reset();
        }
    }

    std::size_t
    watch_bytes_received(const std::string& /*prefix*/) const override
    {
        if (watch_ == nullptr || !watch_->first_byte_at ||
            time_.now() < *watch_->first_byte_at)
        {
            return 0;
        }
        using milliseconds = std::chrono::duration<double, std::milli>;
        const double arriving =
            milliseconds(time_.now() - *watch_->first_byte_at).count();
        return 1 + static_cast<std::size_t>(arriving * link.bytes_per_ms);
    }

private:
    struct watch
    {
        siskinflow::store_position after;
        callback<siskinflow::store_page> done;
        std::optional<siskinflow::time_point> first_byte_at;
        bool waits = false; ///< The store has it and has not answered.
        bool cancelled = false;
    };

    bool is_lost()
    {
        return lost_calls > 0 && lost_calls-- > 0;
    }

    static std::size_t bytes_of(const siskinflow::store_page& page)
    {
        std::size_t out = 200;
        for (const siskinflow::store_change& entry : page.entries)
        {
            out += entry.key.size() + entry.value.size() * 4 / 3 + 80;
        }
        return out;
    }

    siskinflow::duration transfer_time(std::size_t bytes) const
    {
        using milliseconds = std::chrono::duration<double, std::milli>;
        return std::chrono::duration_cast<siskinflow::duration>(
            milliseconds(static_cast<double>(bytes) / link.bytes_per_ms));
    }

    siskinflow::store_page listing() const
    {
        std::map<std::string, siskinflow::store_change> newest;
        for (const siskinflow::store_change& change : history_)
        {
            newest[change.key] = change;
        }
        siskinflow::store_page out;
        out.position = position();
        for (const auto& [key, change] : newest)
        {
            if (!change.removed)
            {
                out.entries.push_back(change);
            }
        }
        return out;
    }

    siskinflow::store_page changes_after(siskinflow::store_position after) const
    {
        constexpr std::size_t max_page_bytes = 1U << 20;
        siskinflow::store_page out;
        out.position = position();
        for (const siskinflow::store_change& change : history_)
        {
            if (change.position.revision <= after.revision)
            {
                continue;
            }
            if (!out.entries.empty() && bytes_of(out) > max_page_bytes)
            {
                out.position = out.entries.back().position;
                break;
            }
            out.entries.push_back(change);
        }
        return out;
    }

    void send(siskinflow::store_page page,
              callback<siskinflow::store_page> done,
              const std::shared_ptr<watch>& answered)
    {
        const siskinflow::time_point begins = time_.now() + link.round_trip / 2;
        if (answered != nullptr)
        {
            answered->waits = false;
            answered->first_byte_at = begins;
        }
        const siskinflow::time_point ends =
            begins + transfer_time(bytes_of(page));
        timers_.schedule(
            ends,
            [this, page = std::move(page), done = std::move(done), answered]
            {
                if (answered != nullptr && answered->cancelled)
                {
                    return;
                }
                if (answered != nullptr)
                {
                    watch_.reset();
                }
                done(page);
            });
    }

    void answer_waiting_watch()
    {
        if (watch_ == nullptr || !watch_->waits)
        {
            return;
        }
        siskinflow::store_page page = changes_after(watch_->after);
        if (!page.entries.empty())
        {
            send(std::move(page), watch_->done, watch_);
        }
    }

    void end_watch_after(const std::shared_ptr<watch>& current,
                         siskinflow::duration wait)
    {
        timers_.schedule(
            time_.now() + wait,
            [this, current]
            {
                if (current->waits && !current->cancelled)
                {
                    send({{}, position(), false}, current->done, current);
                }
            });
    }

    const siskinflow::clock& time_;
    siskinflow::timer_queue& timers_;
    std::vector<siskinflow::store_change> history_;
    std::uint64_t era_ = 1;
    siskinflow::store_revision revision_ = 0;
    std::shared_ptr<watch> watch_;
};
