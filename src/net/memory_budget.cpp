#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/net/memory_budget.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <unordered_set>
#include <utility>

namespace siskinflow::net
{

namespace
{

constexpr std::array<std::string_view, hold_kind_count> kind_names = {
    "request_body", "kept_body", "response", "unsent_answer"};

/// Code, state and buffers that are not accounted for.
constexpr std::size_t process_bytes = 24UL * 1024 * 1024;
/// The allocator and the kernel's buffers hold up to twice the accounted bytes.
constexpr std::size_t memory_per_accounted_byte = 3;
/// Part of the budget that is reserved for small holds.
constexpr std::size_t small_part = 4;
/// Part of the budget that one address and kind may hold.
constexpr std::size_t address_part = 2;
/// How often owners that have become stalled are looked for while a growth
/// waits.
constexpr duration eviction_interval = std::chrono::milliseconds(250);

} // namespace

std::string_view name(hold_kind value) noexcept
{
    return enum_name(kind_names, value);
}

memory_limits limits_for_machine(std::size_t memory_bytes)
{
    memory_limits out;
    out.bytes = (std::max(memory_bytes, process_bytes) - process_bytes) /
                memory_per_accounted_byte;
    return out;
}

std::optional<std::size_t>
choose_victim(const std::vector<eviction_candidate>& candidates,
              duration min_stall)
{
    std::optional<std::size_t> out;
    const auto rank = [&](std::size_t i)
    { return std::pair(candidates[i].stalled_for, candidates[i].bytes); };
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const bool stalled =
            candidates[i].bytes > 0 && candidates[i].stalled_for >= min_stall;
        if (stalled && (!out || rank(i) > rank(*out)))
        {
            out = i;
        }
    }
    return out;
}

growth check_growth(const memory_limits& limits, const budget_usage& usage,
                    std::size_t bytes)
{
    const bool is_small = bytes <= limits.small_hold_bytes;
    if (!is_small && usage.large == 0)
    {
        return growth::fits;
    }
    if (usage.other_address &&
        usage.same_address_and_kind + bytes > limits.bytes / address_part)
    {
        return growth::over_share;
    }
    const std::size_t large_limit = limits.bytes - limits.bytes / small_part;
    const bool fits = usage.small + usage.large + bytes <= limits.bytes &&
                      (is_small || usage.large + bytes <= large_limit);
    return fits ? growth::fits : growth::over_budget;
}

/// The accounts of one address.
struct address_account
{
    std::array<std::size_t, kind_names.size()> bytes{};
    std::size_t total = 0;
};

/// Figures of the holds of one kind.
struct kind_counts
{
    std::size_t bytes = 0;
    std::uint64_t evictions = 0;
};

/// One hold.
struct memory_budget::record
{
    std::weak_ptr<impl> budget;
    std::weak_ptr<hold_owner> owner;
    std::string address;
    hold_kind kind = hold_kind::request_body;
    std::size_t bytes = 0;
    bool evicted = false;
};

struct memory_budget::impl : std::enable_shared_from_this<memory_budget::impl>
{
    impl(memory_limits limits, event_loop& loop) : limits(limits), loop(loop) {}

    bool is_small(std::size_t bytes) const
    {
        return bytes <= limits.small_hold_bytes;
    }

    budget_usage usage_without(const record& entry) const
    {
        budget_usage out{small, large, 0, false};
        (is_small(entry.bytes) ? out.small : out.large) -= entry.bytes;
        if (entry.address.empty())
        {
            return out;
        }
        const auto account = accounts.find(entry.address);
        const bool holds = account != accounts.end();
        out.other_address = accounts.size() > (holds ? 1 : 0);
        out.same_address_and_kind =
            holds ? account->second.bytes.at(
                        static_cast<std::size_t>(entry.kind)) -
                        entry.bytes
                  : 0;
        return out;
    }

    void set_size(record& entry, std::size_t bytes)
    {
        (is_small(entry.bytes) ? small : large) -= entry.bytes;
        (is_small(bytes) ? small : large) += bytes;
        kind_counts& of_kind = counts.at(static_cast<std::size_t>(entry.kind));
        of_kind.bytes += bytes - entry.bytes;
        if (!entry.address.empty())
        {
            address_account& account = accounts[entry.address];
            account.bytes.at(static_cast<std::size_t>(entry.kind)) +=
                bytes - entry.bytes;
            account.total += bytes - entry.bytes;
            if (account.total == 0)
            {
                accounts.erase(entry.address);
            }
        }
        const bool released = bytes < entry.bytes;
        entry.bytes = bytes;
        if (released && !waiting.empty())
        {
            schedule_wake_up();
        }
    }

    /// @param share_of only holds of its address and kind, unless null
    bool evict_one(const record* except, const record* share_of)
    {
        std::vector<record*> holds;
        std::vector<eviction_candidate> candidates;
        const time_point now = loop.now();
        for (record* entry : records)
        {
            const bool in_share =
                share_of == nullptr || (entry->address == share_of->address &&
                                        entry->kind == share_of->kind);
            const auto owner = entry->owner.lock();
            if (entry != except && in_share && owner != nullptr &&
                !entry->evicted)
            {
                holds.push_back(entry);
                candidates.push_back({entry->bytes, owner->stalled_for(now)});
            }
        }
        const auto victim = choose_victim(candidates, limits.min_stall);
        if (!victim)
        {
            return false;
        }
        record& entry = *holds[*victim];
        entry.evicted = true;
        ++evictions;
        ++counts.at(static_cast<std::size_t>(entry.kind)).evictions;
        // The owner may be destroyed by its own callbacks.
        const auto owner = entry.owner.lock();
        owner->evict();
        return true;
    }

    bool grow(const std::shared_ptr<record>& entry, std::size_t bytes)
    {
        while (records.count(entry.get()) != 0)
        {
            const growth checked =
                check_growth(limits, usage_without(*entry), bytes);
            if (checked == growth::fits)
            {
                set_size(*entry, bytes);
                return true;
            }
            if (!evict_one(entry.get(), checked == growth::over_share
                                            ? entry.get()
                                            : nullptr))
            {
                ++failed_growths;
                return false;
            }
        }
        return false;
    }

    void schedule_wake_up()
    {
        if (std::exchange(wake_up_scheduled, true))
        {
            return;
        }
        loop.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->wake_up();
                }
            });
    }

    void wake_up()
    {
        wake_up_scheduled = false;
        for (const auto& callback : std::exchange(waiting, {}))
        {
            callback();
        }
    }

    void schedule_eviction()
    {
        if (eviction_timer != 0)
        {
            return;
        }
        eviction_timer = loop.after(eviction_interval,
                                    [weak = weak_from_this()]
                                    {
                                        if (const auto self = weak.lock())
                                        {
                                            self->evict_for_waiting();
                                        }
                                    });
    }

    void evict_for_waiting()
    {
        eviction_timer = 0;
        if (waiting.empty())
        {
            return;
        }
        evict_one(nullptr, nullptr);
        schedule_eviction();
    }

    memory_limits limits;
    event_loop& loop;
    std::unordered_set<record*> records;
    std::map<std::string, address_account> accounts; ///< None of no bytes.
    std::size_t small = 0;
    std::size_t large = 0;
    std::uint64_t evictions = 0;
    std::uint64_t failed_growths = 0;
    std::array<kind_counts, hold_kind_count> counts;
    std::vector<std::function<void()>> waiting;
    bool wake_up_scheduled = false;
    timer_id eviction_timer = 0;
};

memory_budget::hold::hold(std::shared_ptr<record> entry)
    : record_(std::move(entry))
{
}

memory_budget::hold& memory_budget::hold::operator=(hold&& other) noexcept
{
    hold released(std::move(*this));
    record_ = std::move(other.record_);
    return *this;
}

memory_budget::hold::~hold()
{
    if (record_ == nullptr)
    {
        return;
    }
    if (const auto budget = record_->budget.lock())
    {
        budget->set_size(*record_, 0);
        budget->records.erase(record_.get());
    }
}

bool memory_budget::hold::grow_to(std::size_t bytes)
{
    const auto entry = record_;
    const auto budget = entry == nullptr ? nullptr : entry->budget.lock();
    return budget == nullptr || bytes <= entry->bytes ||
           budget->grow(entry, bytes);
}

void memory_budget::hold::take(std::size_t bytes)
{
    const auto entry = record_;
    const auto budget = entry == nullptr ? nullptr : entry->budget.lock();
    if (budget != nullptr && bytes > entry->bytes &&
        !budget->grow(entry, bytes) && budget->records.count(entry.get()) != 0)
    {
        budget->set_size(*entry, bytes);
    }
}

void memory_budget::hold::shrink_to(std::size_t bytes)
{
    if (record_ == nullptr || bytes >= record_->bytes)
    {
        return;
    }
    if (const auto budget = record_->budget.lock())
    {
        budget->set_size(*record_, bytes);
    }
}

std::size_t memory_budget::hold::bytes() const
{
    return record_ == nullptr ? 0 : record_->bytes;
}

memory_budget::memory_budget(memory_limits limits, event_loop& loop)
    : impl_(std::make_shared<impl>(limits, loop))
{
}

memory_budget::~memory_budget() = default;

memory_budget::hold
memory_budget::make_hold(hold_kind kind,
                         const std::shared_ptr<hold_owner>& owner,
                         std::string address)
{
    auto entry = std::make_shared<record>();
    entry->budget = impl_;
    entry->owner = owner;
    entry->address = std::move(address);
    entry->kind = kind;
    impl_->records.insert(entry.get());
    return hold(std::move(entry));
}

std::size_t memory_budget::held() const
{
    return impl_->small + impl_->large;
}

std::size_t memory_budget::held(hold_kind kind) const
{
    return impl_->counts.at(static_cast<std::size_t>(kind)).bytes;
}

std::size_t memory_budget::limit() const
{
    return impl_->limits.bytes;
}

std::uint64_t memory_budget::evictions() const
{
    return impl_->evictions;
}

std::uint64_t memory_budget::evictions(hold_kind kind) const
{
    return impl_->counts.at(static_cast<std::size_t>(kind)).evictions;
}

std::uint64_t memory_budget::failed_growths() const
{
    return impl_->failed_growths;
}

void memory_budget::on_room(std::function<void()> callback)
{
    impl_->waiting.push_back(std::move(callback));
    impl_->schedule_eviction();
}

} // namespace siskinflow::net
