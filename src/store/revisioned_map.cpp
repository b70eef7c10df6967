#include <siskinflow/store/revisioned_map.hpp>

#include <algorithm>

namespace siskinflow
{

revisioned_map::revisioned_map(std::size_t max_changes)
    : max_changes_(max_changes)
{
}

store_revision revisioned_map::apply(
    const std::vector<std::pair<std::string, std::optional<std::string>>>&
        writes)
{
    if (writes.empty())
    {
        return revision_;
    }
    ++revision_;
    for (const auto& [key, value] : writes)
    {
        change_log_.emplace_back(revision_, key);
        keys_[key].push_back({revision_, value});
    }
    while (change_log_.size() > max_changes_)
    {
        drop_oldest_change();
    }
    return revision_;
}

void revisioned_map::drop_oldest_change()
{
    const auto [revision, key] = std::move(change_log_.front());
    change_log_.pop_front();
    compacted_ = revision;
    auto& history = keys_[key];
    std::erase_if(history, [revision = revision](const version& old)
                  { return old.revision < revision; });
    if (history.size() == 1 && !history.front().value)
    {
        keys_.erase(key);
    }
}

const revisioned_map::version*
revisioned_map::find_version(const versions& history, store_revision at)
{
    for (auto it = history.rbegin(); it != history.rend(); ++it)
    {
        if (at == 0 || it->revision <= at)
        {
            return it->value ? &*it : nullptr;
        }
    }
    return nullptr;
}

std::optional<store_value> revisioned_map::read(std::string_view key,
                                                store_revision at) const
{
    const auto entry_it = keys_.find(key);
    const version* value =
        entry_it == keys_.end() ? nullptr : find_version(entry_it->second, at);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    return store_value{std::string(key), *value->value, value->revision};
}

std::vector<store_value> revisioned_map::read_range(std::string_view begin,
                                                    std::string_view end,
                                                    store_revision at) const
{
    std::vector<store_value> out;
    for (auto it = keys_.lower_bound(begin);
         it != keys_.end() && it->first < end; ++it)
    {
        if (const version* value = find_version(it->second, at))
        {
            out.push_back({it->first, *value->value, value->revision});
        }
    }
    return out;
}

store_revision revisioned_map::mod_revision(std::string_view key) const
{
    const auto value = read(key);
    return value ? value->mod_revision : 0;
}

std::vector<revisioned_map::change>
revisioned_map::changes_since(store_revision from, std::string_view begin,
                              std::string_view end) const
{
    std::vector<change> out;
    for (auto it =
             std::lower_bound(change_log_.begin(), change_log_.end(), from,
                              [](const auto&entry, store_revision revision)
                              { return entry.first < revision; });
         it != change_log_.end(); ++it)
    {
        const auto& [revision, key] = *it;
        if (key < begin || key >= end)
        {
            continue;
        }
        const auto& history = keys_.at(key);
        const auto written =
            std::find_if(history.begin(), history.end(),
                         [revision = revision](const version& candidate)
                         { return candidate.revision == revision; });
        out.push_back({key, written->value, revision});
    }
    return out;
}

std::string prefix_end(std::string prefix)
{
    while (!prefix.empty())
    {
        auto& last = reinterpret_cast<unsigned char&>(prefix.back());
        if (last < 0xFF)
        {
            ++last;
            return prefix;
        }
        prefix.pop_back();
    }
    return prefix;
}

std::string watch_end(const std::string& key)
{
    return key.ends_with('/') ? prefix_end(key) : key + '\0';
}

} // namespace siskinflow
