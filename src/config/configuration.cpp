#include <siskinflow/config/configuration.hpp>

#include <algorithm>

namespace siskinflow
{

namespace
{

template <class Items>
const typename Items::value_type* find_named(const Items& items,
                                             std::string_view name)
{
    auto it =
        std::find_if(items.begin(), items.end(),
                     [name](const auto& item) { return item.name == name; });
    return it == items.end() ? nullptr : &*it;
}

} // namespace

std::string_view name(route_state state) noexcept
{
    switch (state)
    {
    case route_state::active:
        return "active";
    case route_state::closing:
        return "closing";
    }
    return "unknown";
}

std::string_view name(target_state state) noexcept
{
    switch (state)
    {
    case target_state::active:
        return "active";
    case target_state::leaving:
        return "leaving";
    }
    return "unknown";
}

const route_config* configuration::find_route(std::string_view name) const
{
    return find_named(routes, name);
}

const target_config* configuration::find_target(std::string_view name) const
{
    return find_named(targets, name);
}

const organisation_config*
configuration::find_organisation(std::string_view name) const
{
    return find_named(organisations, name);
}

} // namespace siskinflow
