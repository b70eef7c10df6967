/// @file
/// @brief Account of the bytes that a process holds for clients.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/event_loop.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinflow::net
{

/// @brief What held bytes are part of.
enum class hold_kind : std::uint8_t
{
    request_body,  ///< A body being received.
    kept_body,     ///< A received body kept for a further attempt.
    response,      ///< A response being received from a target.
    unsent_answer, ///< Parts of an answer that are not yet written.
};

/// @brief Number of kinds, for tables.
inline constexpr std::size_t hold_kind_count =
    static_cast<std::size_t>(hold_kind::unsent_answer) + 1;

/// @brief Name of a kind in snake_case, "unknown" if undefined.
std::string_view name(hold_kind value) noexcept;

/// @brief Limits of a budget.
struct memory_limits
{
    std::size_t bytes = 64 * 1024 * 1024; ///< Of all holds together.
    /// Holds of at most this size may use the reserve.
    std::size_t small_hold_bytes = 64 * 1024;
    /// A holder that has made progress more recently is never evicted.
    duration min_stall = std::chrono::seconds(1);
};

/// @brief Budget for a machine: a third of what its memory leaves to clients.
/// @param memory_bytes memory of the machine
memory_limits limits_for_machine(std::size_t memory_bytes);

/// @brief Holds memory for a client and can give it up.
class hold_owner
{
public:
    virtual ~hold_owner() = default;

    /// @brief Time since the client last made progress.
    virtual duration stalled_for(time_point now) const = 0;

    /// @brief Gives up the request or answer and releases its holds.
    virtual void evict() = 0;
};

/// @brief What decides whether a hold is given up.
struct eviction_candidate
{
    std::size_t bytes = 0;
    duration stalled_for{0};
};

/// @brief The hold to evict when a growth fails: the one that has been stalled
/// longest, and of those the largest. Addresses clients that send most of a
/// body, or take part of an answer, and then stop.
/// @param min_stall holds that have been stalled for less are kept
/// @return index of the hold, or nothing if all make progress
std::optional<std::size_t>
choose_victim(const std::vector<eviction_candidate>& candidates,
              duration min_stall);

/// @brief Usage that decides whether a hold may grow.
struct budget_usage
{
    std::size_t small = 0; ///< Bytes of small holds, without this one.
    std::size_t large = 0; ///< Bytes of other holds, without this one.
    /// Bytes of the same address and kind, without this one.
    std::size_t same_address_and_kind = 0;
    bool other_address = false; ///< Another address holds bytes.
};

/// @brief Whether a hold may have a size.
enum class growth : std::uint8_t
{
    fits,
    over_budget,
    over_share, ///< Of one address and kind.
};

/// @brief Whether a hold may have a size. A quarter of the budget is reserved
/// for small holds, so that many large bodies do not stop small requests. One
/// address and kind has at most half of the budget while another address holds
/// something. The only large hold always fits: its size is bounded by the
/// limits of bodies, and a single request must be served.
growth check_growth(const memory_limits& limits, const budget_usage& usage,
                    std::size_t bytes);

/// @brief Accounts for all bytes that a process holds for clients. Used on the
/// thread of its event loop only.
class memory_budget
{
    struct impl;
    struct record;

public:
    /// @param limits size of the budget
    /// @param loop clock and loop of `on_room`; must outlive the budget
    memory_budget(memory_limits limits, event_loop& loop);
    ~memory_budget();
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// @brief Bytes held by one owner; released on destruction.
    class hold
    {
    public:
        hold() = default; ///< Belongs to no budget; every growth succeeds.
        hold(hold&& other) noexcept = default;
        hold& operator=(hold&& other) noexcept;
        hold(const hold&) = delete;
        hold& operator=(const hold&) = delete;
        ~hold();

        /// @brief Accounts for a size; a smaller one has no effect. May evict
        /// other owners, whose callbacks may destroy this hold and its owner:
        /// the caller keeps itself alive during the call.
        /// @return false if there is no room; the size is unchanged then
        bool grow_to(std::size_t bytes);

        /// @brief Accounts for bytes that are already in memory, also if there
        /// is no room for them. May evict as `grow_to` does.
        void take(std::size_t bytes);

        /// @brief Releases the bytes above a size.
        void shrink_to(std::size_t bytes);

        /// @brief Accounted bytes.
        std::size_t bytes() const;

    private:
        friend class memory_budget;
        explicit hold(std::shared_ptr<record> entry);
        std::shared_ptr<record> record_;
    };

    /// @brief Makes a hold of no bytes.
    /// @param owner who gives the bytes up when they are needed; kept weakly;
    /// null: the hold is never evicted
    /// @param address client's address, whose share is limited; empty: no limit
    hold make_hold(hold_kind kind, const std::shared_ptr<hold_owner>& owner,
                   std::string address = {});

    /// @brief Accounted bytes of all holds.
    std::size_t held() const;

    /// @brief Accounted bytes of one kind.
    std::size_t held(hold_kind kind) const;

    /// @brief Size of the budget.
    std::size_t limit() const;

    /// @brief Owners evicted since the start.
    std::uint64_t evictions() const;

    /// @brief Those evicted for holds of one kind.
    std::uint64_t evictions(hold_kind kind) const;

    /// @brief Growths since the start that failed.
    std::uint64_t failed_growths() const;

    /// @brief Runs a callback once, from the event loop, when a failed growth
    /// could succeed. While callbacks wait, owners that become stalled are
    /// evicted.
    void on_room(std::function<void()> callback);

private:
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow::net
