#include "schema.hpp"
#include <siskinflow/config/configuration_json.hpp>
#include <siskinflow/config/release_note.hpp>
#include <siskinflow/store/store.hpp>

#include <algorithm>
#include <map>

namespace siskinflow
{

using config_detail::fault_list;

namespace
{

std::string in_quotes(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

std::string identity(const link_config& link)
{
    return link.from_region + " to " + link.to_region;
}

std::string identity(const link_name& link)
{
    return link.from_region + " to " + link.to_region;
}

template <class Named>
const std::string& identity(const Named& item)
{
    return item.name;
}

template <class Items>
typename Items::iterator find_item(Items& items, const std::string& id)
{
    return std::find_if(items.begin(), items.end(),
                        [&](const auto& item) { return identity(item) == id; });
}

template <class Field, class Value>
void replace(Field& field, const std::optional<Value>& value)
{
    if (value)
    {
        field = *value;
    }
}

void change_fields(route_config& route, const route_change& change)
{
    replace(route.path_prefix, change.path_prefix);
    replace(route.open, change.open);
    replace(route.not_run_statuses, change.not_run_statuses);
    replace(route.max_body_bytes, change.max_body_bytes);
    replace(route.default_timeout, change.default_timeout);
    replace(route.shift_cap_percent_per_s, change.shift_cap_percent_per_s);
    replace(route.expected_response_bytes, change.expected_response_bytes);
}

void change_fields(target_config& target, const target_change& change)
{
    replace(target.routes, change.routes);
    replace(target.slots, change.slots);
    replace(target.max_connections, change.max_connections);
    replace(target.warm_up, change.warm_up);
}

void change_fields(link_config& link, const link_change& change)
{
    replace(link.bytes_per_s, change.bytes_per_s);
    replace(link.burst_bytes, change.burst_bytes);
}

/// @brief Applies one note; holds the configuration under construction and
/// the faults found so far.
class note_applier
{
public:
    note_applier(const configuration& current, const release_note& note)
        : note_(note), next_(current)
    {
        next_.sequence = current.sequence + 1;
        next_.note_id = note.id;
        next_.write_id.clear();
        check_id(current);
    }

    result<configuration> apply()
    {
        apply_routes();
        apply_targets();
        apply_organisations();
        apply_links();
        check_result();
        if (!faults_.empty())
        {
            return fail(errc::invalid_argument, faults_.text());
        }
        return parse_stored_form();
    }

private:
    void check_id(const configuration& current)
    {
        if (note_.id == current.note_id)
        {
            faults_.add("$.id", in_quotes(note_.id) +
                                    " is the id of the note in force; give "
                                    "each note a unique id");
        }
    }

    /// @brief Records that an operation of the note names an object. A second
    /// one is a fault, as the result would depend on their order.
    bool record_operation(const char* kind, const std::string& id,
                          const std::string& path)
    {
        const auto [previous, added] =
            operation_paths_.emplace(std::pair(kind, id), path);
        if (!added)
        {
            faults_.add(path, in_quotes(id) + " is also named by " +
                                  previous->second +
                                  "; name an object once in a note");
        }
        return added;
    }

    static std::string item_path(const char* kind, const char* operation,
                                 std::size_t index)
    {
        return "$." + std::string(kind) + "." + operation + "[" +
               std::to_string(index) + "]";
    }

    template <class Items>
    void add(const char* kind, Items& items, const Items& added)
    {
        for (std::size_t i = 0; i < added.size(); ++i)
        {
            const std::string path = item_path(kind, "add", i);
            const std::string id = identity(added[i]);
            if (find_item(items, id) != items.end())
            {
                faults_.add(path, in_quotes(id) +
                                      " exists already; choose another name "
                                      "or use 'change'");
            }
            else if (record_operation(kind, id, path))
            {
                items.push_back(added[i]);
            }
        }
    }

    /// @brief Calls `function` on each object that an operation names.
    template <class Items, class Names, class Function>
    void for_each_named(const char* kind, const char* operation, Items& items,
                        const Names& named, Function function)
    {
        for (std::size_t i = 0; i < named.size(); ++i)
        {
            const std::string path = item_path(kind, operation, i);
            const std::string id = id_of(named[i]);
            const auto item = find_item(items, id);
            if (item == items.end())
            {
                faults_.add(path, in_quotes(id) + " does not exist; " +
                                      "correct the name or leave it out");
            }
            else if (record_operation(kind, id, path))
            {
                function(item, named[i], path);
            }
        }
    }

    static std::string id_of(const std::string& text)
    {
        return text;
    }
    static std::string id_of(const link_name& link)
    {
        return identity(link);
    }
    static std::string id_of(const link_change& change)
    {
        return identity(change.link);
    }
    template <class Change>
    static std::string id_of(const Change& change)
    {
        return change.name;
    }

    template <class Items, class Changes>
    void change(const char* kind, Items& items, const Changes& changes)
    {
        for_each_named(kind, "change", items, changes,
                       [](auto item, const auto& change, const std::string&)
                       { change_fields(*item, change); });
    }

    /// @brief Changes the state of objects.
    template <class Items, class State>
    void change_state(const char* kind, const char* operation, Items& items,
                      const std::vector<std::string>& named, State from,
                      State to)
    {
        for_each_named(
            kind, operation, items, named,
            [&](auto item, const std::string& id, const std::string& path)
            {
                if (item->state != from)
                {
                    faults_.add(path, in_quotes(id) + " is " +
                                          std::string(name(item->state)) +
                                          " already; leave it out");
                    return;
                }
                item->state = to;
            });
    }

    /// @brief Deletes objects that were withdrawn by an earlier note.
    template <class Items, class State>
    void remove(const char* kind, Items& items,
                const std::vector<std::string>& named, State withdrawn)
    {
        for_each_named(
            kind, "remove", items, named,
            [&](auto item, const std::string& id, const std::string& path)
            {
                if (item->state != withdrawn)
                {
                    faults_.add(path,
                                in_quotes(id) + " is " +
                                    std::string(name(item->state)) +
                                    "; withdraw it first, and remove it by a "
                                    "later note once it has drained");
                    return;
                }
                items.erase(item);
            });
    }

    void apply_routes()
    {
        const auto& section = note_.routes;
        add("routes", next_.routes, section.add);
        change("routes", next_.routes, section.change);
        change_state("routes", "withdraw", next_.routes, section.withdraw,
                     route_state::active, route_state::closing);
        remove("routes", next_.routes, section.remove, route_state::closing);
    }

    void apply_targets()
    {
        const auto& section = note_.targets;
        add("targets", next_.targets, section.add);
        change("targets", next_.targets, section.change);
        change_state("targets", "withdraw", next_.targets, section.withdraw,
                     target_state::active, target_state::leaving);
        change_state("targets", "resume", next_.targets, section.resume,
                     target_state::leaving, target_state::active);
        remove("targets", next_.targets, section.remove, target_state::leaving);
    }

    void apply_organisations()
    {
        const auto& section = note_.organisations;
        add("organisations", next_.organisations, section.add);
        for_each_named("organisations", "change", next_.organisations,
                       section.change,
                       [&](auto item, const organisation_change& change,
                           const std::string& path)
                       { change_organisation(*item, change, path); });
        for_each_named("organisations", "withdraw", next_.organisations,
                       section.withdraw,
                       [&](auto item, const auto&, const auto&)
                       { next_.organisations.erase(item); });
    }

    void change_organisation(organisation_config& organisation,
                             const organisation_change& change,
                             const std::string& path)
    {
        replace(organisation.rate_per_s, change.rate_per_s);
        replace(organisation.burst, change.burst);
        auto& keys = organisation.key_sha256;
        for (std::size_t i = 0; i < change.withdraw_key_sha256.size(); ++i)
        {
            if (std::erase(keys, change.withdraw_key_sha256[i]) == 0)
            {
                faults_.add(key_path(path, "withdraw_key_sha256", i),
                            in_quotes(change.withdraw_key_sha256[i]) +
                                " is no key of organisation " +
                                in_quotes(organisation.name) +
                                "; correct or remove the digest");
            }
        }
        for (std::size_t i = 0; i < change.add_key_sha256.size(); ++i)
        {
            const auto& key = change.add_key_sha256[i];
            const auto& withdrawn = change.withdraw_key_sha256;
            if (std::find(keys.begin(), keys.end(), key) != keys.end() ||
                std::find(withdrawn.begin(), withdrawn.end(), key) !=
                    withdrawn.end())
            {
                faults_.add(key_path(path, "add_key_sha256", i),
                            in_quotes(key) +
                                " is a key of the organisation already or is "
                                "withdrawn by the same note; use a new key");
                continue;
            }
            keys.push_back(key);
        }
    }

    static std::string key_path(const std::string& path, const char* field,
                                std::size_t index)
    {
        return path + "." + field + "[" + std::to_string(index) + "]";
    }

    void apply_links()
    {
        const auto& section = note_.links;
        add("links", next_.links, section.add);
        change("links", next_.links, section.change);
        for_each_named("links", "withdraw", next_.links, section.withdraw,
                       [&](auto item, const auto&, const auto&)
                       { next_.links.erase(item); });
    }

    void check_result()
    {
        if (faults_.empty() && operation_paths_.empty())
        {
            faults_.add("$", "the note changes nothing; add, change or "
                             "withdraw at least one object");
        }
        const auto path_of = [this](const char* kind, std::size_t index)
        { return path_of_result(kind, index); };
        config_detail::check_references(next_, path_of, faults_);
        check_new_links();
    }

    /// @brief Path of an object of the result for a message: the JSON path
    /// where the note names it, or its kind and name if the note doesn't.
    std::string path_of_result(std::string_view kind, std::size_t index) const
    {
        std::string id;
        if (kind == "routes")
        {
            id = identity(next_.routes[index]);
        }
        else if (kind == "targets")
        {
            id = identity(next_.targets[index]);
        }
        else if (kind == "organisations")
        {
            id = identity(next_.organisations[index]);
        }
        else
        {
            id = identity(next_.links[index]);
        }
        const auto operation =
            operation_paths_.find(std::pair(std::string(kind), id));
        return operation != operation_paths_.end()
                   ? operation->second
                   : "current configuration, " + std::string(kind) + " " +
                         in_quotes(id);
    }

    /// @brief A link to a region without targets is probably misspelt. This is
    /// checked for new links only, because targets may be removed before
    /// their link.
    void check_new_links()
    {
        for (std::size_t i = 0; i < note_.links.add.size(); ++i)
        {
            const auto& region = note_.links.add[i].to_region;
            const bool known = std::any_of(
                next_.targets.begin(), next_.targets.end(),
                [&](const auto& target) { return target.region == region; });
            if (!known)
            {
                faults_.add(item_path("links", "add", i) + ".to_region",
                            in_quotes(region) + " is the region of no target; "
                                                "correct the name or add a "
                                                "target there");
            }
        }
    }

    /// @brief Reads the result back in its stored form, which checks each
    /// field of a note that was built by code, and the size.
    result<configuration> parse_stored_form() const
    {
        const std::string stored = to_json(next_);
        if (stored.size() > max_store_value_bytes - write_id_reserve)
        {
            return fail(errc::too_large,
                        "$: the configuration would have " +
                            std::to_string(stored.size()) +
                            " bytes, more than a value of the store may have "
                            "(1 MB); remove objects that are not used");
        }
        auto parsed = parse_configuration(stored);
        if (!parsed)
        {
            return fail(errc::invalid_argument, parsed.error().message);
        }
        if (parsed.value() != next_)
        {
            return fail(errc::invalid_argument,
                        "$: a duration of the note is not in whole "
                        "milliseconds (timeouts) or seconds (warm-up)");
        }
        return parsed;
    }

    /// The writer sets `write_id` later, to at most 64 bytes.
    static constexpr std::size_t write_id_reserve = 64;

    const release_note& note_;
    configuration next_;
    fault_list faults_;
    /// JSON path of the operation on each object, by kind and identity.
    std::map<std::pair<std::string, std::string>, std::string> operation_paths_;
};

} // namespace

result<configuration> apply_note(const configuration& current,
                                 const release_note& note)
{
    return note_applier(current, note).apply();
}

std::vector<std::string> warnings(const configuration& value)
{
    std::vector<std::string> out;
    for (const auto& route : value.routes)
    {
        const bool has_active_target = std::any_of(
            value.targets.begin(), value.targets.end(),
            [&](const auto& target)
            {
                return target.state == target_state::active &&
                       std::find(target.routes.begin(), target.routes.end(),
                                 route.name) != target.routes.end();
            });
        if (route.state == route_state::active && !has_active_target)
        {
            out.push_back("route " + in_quotes(route.name) +
                          " is active but has no active target; its requests "
                          "will be refused");
        }
    }
    for (const auto& organisation : value.organisations)
    {
        if (organisation.key_sha256.empty())
        {
            out.push_back("organisation " + in_quotes(organisation.name) +
                          " has no key; all its requests will be refused");
        }
    }
    return out;
}

} // namespace siskinflow
