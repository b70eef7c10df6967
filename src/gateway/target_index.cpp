#include <siskinflow/core/ids.hpp>
#include <siskinflow/gateway/target_index.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace siskinflow::gateway
{

namespace
{

using newest_by_address =
    std::unordered_map<net::endpoint, const target_record*>;

bool is_newer(const target_record& left, const target_record& right)
{
    return std::tie(left.started_at_ms, left.id) >
           std::tie(right.started_at_ms, right.id);
}

newest_by_address find_newest(const std::vector<target_ptr>& registered)
{
    newest_by_address out;
    for (const target_ptr& entry : registered)
    {
        const target_record& record = entry->record();
        const target_record*& newest = out[record.address];
        if (newest == nullptr || is_newer(record, *newest))
        {
            newest = &record;
        }
    }
    return out;
}

/// A target that restarts under a new id keeps its address, and by it its place
/// in the orders. Only the newest of several targets with one address has the
/// place, so that a registration that outlived its target does not share it.
std::uint64_t order_key_of(const target_record& record,
                           const newest_by_address& newest)
{
    const auto found = newest.find(record.address);
    const bool by_address = record.address.port != 0 && found != newest.end() &&
                            found->second == &record;
    return selection::order_key(by_address ? net::to_string(record.address)
                                           : record.id);
}

} // namespace

target_index::target_index(const target_directory& targets,
                           const std::string& service)
    : version_(targets.version()),
      average_targets_per_domain_(targets.average_targets_per_domain(service))
{
    add_entries(targets, service);
    add_regions();
    add_order();
}

void target_index::add_entries(const target_directory& targets,
                               const std::string& service)
{
    for (const target_ptr& entry : targets.of_service(service))
    {
        if (targets.in_service(*entry))
        {
            entries_.push_back({entry, targets.distance_to(*entry)});
        }
    }
    std::sort(entries_.begin(), entries_.end(),
              [](const indexed_target& left, const indexed_target& right)
              {
                  const target_record& a = left.subject->record();
                  const target_record& b = right.subject->record();
                  const bool a_remote =
                      left.target_distance == distance::other_region;
                  const bool b_remote =
                      right.target_distance == distance::other_region;
                  return std::tie(a_remote, a.region, left.target_distance,
                                  a.failure_domain, a.id) <
                         std::tie(b_remote, b.region, right.target_distance,
                                  b.failure_domain, b.id);
              });
}

void target_index::add_regions()
{
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        const std::string& region = entries_[i].subject->record().region;
        if (regions_.empty() || regions_.back().name != region)
        {
            regions_.push_back({region, {i, i}, {i, i}, {}});
        }
        indexed_region& current = regions_.back();
        add_to_domain(current, i);
        if (entries_[i].target_distance == distance::same_domain)
        {
            current.own_domain.end = i + 1;
            current.other_domains = {i + 1, i + 1};
        }
        else
        {
            current.other_domains.end = i + 1;
        }
    }
}

void target_index::add_to_domain(indexed_region& region, std::uint32_t index)
{
    const target_record& record = entries_[index].subject->record();
    const std::uint64_t key = selection::order_key(record.failure_domain);
    if (region.domains.empty() || region.domains.back().key != key)
    {
        region.domains.push_back({key, 0, {index, index}});
    }
    indexed_domain& domain = region.domains.back();
    domain.slots += record.slots;
    domain.range.end = index + 1;
}

void target_index::add_order()
{
    std::vector<target_ptr> subjects;
    subjects.reserve(entries_.size());
    for (const indexed_target& entry : entries_)
    {
        subjects.push_back(entry.subject);
    }
    const newest_by_address newest = find_newest(subjects);
    std::vector<selection::weighted_key> keys;
    keys.reserve(entries_.size());
    by_id_hash_.reserve(entries_.size());
    for (std::uint32_t i = 0; i < entries_.size(); ++i)
    {
        const target_record& record = entries_[i].subject->record();
        keys.push_back({order_key_of(record, newest), record.slots});
        by_id_hash_.emplace_back(stable_hash(record.id), i);
        if (entries_[i].target_distance == distance::same_domain &&
            entries_[i].subject->untried())
        {
            untried_.push_back(i);
        }
    }
    order_ = selection::target_order(keys);
    std::sort(by_id_hash_.begin(), by_id_hash_.end());
}

std::optional<std::uint32_t> target_index::find(std::string_view id) const
{
    const std::uint64_t hash = stable_hash(id);
    auto found = std::lower_bound(by_id_hash_.begin(), by_id_hash_.end(),
                                  std::pair(hash, std::uint32_t{0}));
    for (; found != by_id_hash_.end() && found->first == hash; ++found)
    {
        if (entries_[found->second].subject->record().id == id)
        {
            return found->second;
        }
    }
    return std::nullopt;
}

void target_index::update_untried()
{
    std::erase_if(untried_, [this](std::uint32_t index)
                  { return !entries_[index].subject->untried(); });
}

} // namespace siskinflow::gateway
