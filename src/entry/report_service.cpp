#include "report_service.hpp"

#include "issuer_client.hpp"
#include "milliseconds.hpp"
#include <siskinflow/control/codec.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::entry
{

namespace
{

constexpr duration send_timeout = std::chrono::seconds(2);
constexpr duration store_timeout = std::chrono::seconds(2);
constexpr duration store_interval = std::chrono::seconds(10);
/// Longest time for which a VM that was removed from the record can have used
/// its shares after the removal came into force on this VM.
constexpr duration removal_margin = std::chrono::milliseconds(1650);

std::vector<counter_row> rows_for_route(const counter_copy& copy,
                                        const std::string& route)
{
    std::vector<counter_row> out;
    std::copy_if(copy.rows.begin(), copy.rows.end(), std::back_inserter(out),
                 [&](const counter_row& row) { return row.route == route; });
    return out;
}

bool has_closing_route(const configuration* config)
{
    return config != nullptr &&
           std::any_of(config->routes.begin(), config->routes.end(),
                       [](const route_config& route)
                       { return route.state == route_state::closing; });
}

} // namespace

report_service::report_service(report_dependencies dependencies)
    : dependencies_(std::move(dependencies)),
      own_counters_(dependencies_.self.incarnation)
{
}

void report_service::on_arrival(const request& arrived)
{
    own_counters_.count_received(arrived.route->name, arrived.organisation);
}

void report_service::on_record(const request_record& record)
{
    if (record.route.empty())
    {
        return;
    }
    counter_row& row =
        own_counters_.row(record.route, record.organisation, record.target);
    switch (record.outcome)
    {
    case request_outcome::ran:
        own_counters_.count_ran(row);
        return;
    case request_outcome::not_run:
        own_counters_.count_not_run(row, record.reason);
        return;
    case request_outcome::unknown:
        own_counters_.count_unknown(row, record.reason,
                                    permit_label(record.permit));
        return;
    }
}

result<void> report_service::accept(counters message)
{
    const auto accepted =
        replicas_.accept(std::move(message), dependencies_.time.now());
    if (!accepted.has_value() && accepted.error().code == errc::parse_error)
    {
        return accepted.error();
    }
    return ok();
}

std::string report_service::vm_name(const incarnation_id& id) const
{
    const auto found = vm_names_.find(id);
    return found == vm_names_.end() ? std::string() : found->second;
}

std::optional<std::uint64_t>
report_service::max_ran_after_copy(const counter_replica& replica,
                                   const std::string& route) const
{
    const auto removed = removed_at_.find(replica.copy.incarnation);
    const auto config = dependencies_.config();
    const route_config* found =
        config == nullptr ? nullptr : config->find_route(route);
    if (removed == removed_at_.end() || found == nullptr || found->open)
    {
        return std::nullopt;
    }
    const double seconds =
        std::max(0.0, to_seconds(removed->second - replica.received_at +
                                 removal_margin));
    double max_ran = 0;
    for (const organisation_config& organisation : config->organisations)
    {
        max_ran += organisation.rate_per_s * seconds + organisation.burst;
    }
    return static_cast<std::uint64_t>(std::ceil(max_ran));
}

/// Whether no request of the route can run on this VM any more.
bool report_service::is_finished(const std::string& route) const
{
    const auto config = dependencies_.config();
    if (config == nullptr)
    {
        return false;
    }
    const route_config* found = config->find_route(route);
    const bool closed =
        found == nullptr || found->state == route_state::closing;
    return closed && dependencies_.route_idle(route);
}

counters_bundle report_service::bundle(const std::string& route)
{
    counters_bundle out;
    const counter_copy own = own_counters_.copy();
    bundled_copy own_entry;
    own_entry.incarnation = own.incarnation;
    own_entry.vm = dependencies_.self.vm;
    own_entry.version = own.version;
    own_entry.final = is_finished(route);
    own_entry.rows = rows_for_route(own, route);
    out.copies.push_back(std::move(own_entry));
    const time_point now = dependencies_.time.now();
    for (const counter_replica* replica : replicas_.all())
    {
        bundled_copy other;
        other.incarnation = replica->copy.incarnation;
        other.vm = vm_name(other.incarnation);
        other.version = replica->copy.version;
        other.final = replica->copy.final;
        other.age_ms = static_cast<std::uint64_t>(
            milliseconds(now - replica->received_at));
        const auto holders =
            successors_of(other.incarnation, dependencies_.record());
        other.current_holder = std::any_of(
            holders.begin(), holders.end(),
            [&](const member& holder)
            { return holder.incarnation == dependencies_.self.incarnation; });
        if (const auto bound = max_ran_after_copy(*replica, route))
        {
            other.is_bounded = true;
            other.max_ran_after_copy = *bound;
        }
        other.rows = rows_for_route(replica->copy, route);
        out.copies.push_back(std::move(other));
    }
    return out;
}

void report_service::send_to_successors(const counter_copy& copy,
                                        const std::function<void()>& answered)
{
    const auto parts = split(copy);
    for (const member& successor :
         successors_of(dependencies_.self.incarnation, dependencies_.record()))
    {
        for (const counters& part : parts)
        {
            dependencies_.messages.request(
                successor.control,
                control::encode(dependencies_.self.incarnation, part),
                send_timeout,
                [answered](const result<std::string>&)
                {
                    if (answered)
                    {
                        answered();
                    }
                });
        }
    }
}

void report_service::store_copy(const counter_copy& copy,
                                const std::function<void()>& done)
{
    const std::string key = store_keys::reports + to_string(copy.incarnation);
    const incarnation_id id = copy.incarnation;
    const std::uint64_t stored_version = copy.version;
    swap_request request{key, stored_revisions_[id], {{key, to_json(copy)}}};
    dependencies_.values.swap(
        std::move(request), store_timeout,
        [this, id, key, stored_version, done](result<store_revision> written)
        {
            if (written.has_value())
            {
                stored_versions_[id] = stored_version;
                stored_revisions_[id] = written.value();
                if (done)
                {
                    done();
                }
                return;
            }
            // The counts are cumulative, so they may be written again. The
            // revision is read so that the next write replaces whichever value
            // is stored.
            dependencies_.values.read(
                key, store_timeout,
                [this, id, done](result<std::optional<store_value>> found)
                {
                    if (found.has_value() && found.value())
                    {
                        stored_revisions_[id] = found.value()->mod_revision;
                    }
                    if (done)
                    {
                        done();
                    }
                });
        });
}

void report_service::record_removals()
{
    const fleet_record& record = dependencies_.record();
    for (const member& item : record.members)
    {
        vm_names_[item.incarnation] = item.vm;
    }
    if (!dependencies_.record_in_force())
    {
        return;
    }
    for (const counter_replica* replica : replicas_.all())
    {
        const incarnation_id& id = replica->copy.incarnation;
        if (record.find(id) == nullptr)
        {
            removed_at_.emplace(id, dependencies_.time.now());
        }
    }
}

void report_service::store_copies_of_removed_members()
{
    for (const counter_replica* replica : replicas_.all())
    {
        const incarnation_id& id = replica->copy.incarnation;
        if (removed_at_.count(id) == 0)
        {
            continue;
        }
        const auto stored = stored_versions_.find(id);
        if (stored == stored_versions_.end() ||
            stored->second < replica->copy.version)
        {
            store_copy(replica->copy, {});
        }
    }
}

void report_service::tick()
{
    record_removals();
    const counter_copy copy = own_counters_.copy();
    send_to_successors(copy, {});
    const time_point now = dependencies_.time.now();
    if (now < next_store_write_)
    {
        return;
    }
    next_store_write_ = now + store_interval;
    store_copies_of_removed_members();
    if (has_closing_route(dependencies_.config().get()))
    {
        store_copy(copy, {});
    }
}

void report_service::finish(const std::function<void()>& done)
{
    const counter_copy final_copy = own_counters_.copy(true);
    const auto parts = split(final_copy).size();
    auto remaining = std::make_shared<std::size_t>(
        1 + parts * successors_of(dependencies_.self.incarnation,
                                  dependencies_.record())
                        .size());
    const auto on_part_done = [remaining, done]
    {
        if (--*remaining == 0)
        {
            done();
        }
    };
    send_to_successors(final_copy, on_part_done);
    store_copy(final_copy, on_part_done);
}

/// Evidence collected for a report in progress.
struct report_service::report_collection
{
    std::string route;
    std::function<void(const final_report&)> done;
    std::size_t pending = 0;
    std::uint64_t unaccounted = 0; ///< Dropped by a bounded table.
    std::map<incarnation_id, incarnation_evidence> evidence;

    void add(const std::string& source, bundled_copy copy)
    {
        incarnation_evidence& entry = evidence[copy.incarnation];
        entry.incarnation = copy.incarnation;
        if (!copy.vm.empty())
        {
            entry.vm = copy.vm;
        }
        if (copy.is_bounded)
        {
            // The bound of a fresher copy is the tighter one.
            entry.max_ran_after_copy = std::min(
                copy.max_ran_after_copy,
                entry.max_ran_after_copy.value_or(copy.max_ran_after_copy));
        }
        report_source evidence_source;
        evidence_source.name = source;
        evidence_source.copy.incarnation = copy.incarnation;
        evidence_source.copy.version = copy.version;
        evidence_source.copy.final = copy.final;
        evidence_source.copy.rows = std::move(copy.rows);
        evidence_source.age = std::chrono::milliseconds(copy.age_ms);
        evidence_source.current_holder = copy.current_holder;
        entry.sources.push_back(std::move(evidence_source));
    }

    void answered()
    {
        if (--pending != 0)
        {
            return;
        }
        report_input input;
        input.route = route;
        for (auto& [id, entry] : evidence)
        {
            input.incarnations.push_back(std::move(entry));
        }
        input.incarnations_unaccounted = unaccounted;
        done(build_report(input));
    }
};

void report_service::build(const std::string& route,
                           std::function<void(const final_report&)> done)
{
    record_removals();
    auto collection = std::make_shared<report_collection>();
    collection->route = route;
    collection->done = std::move(done);
    const fleet_record& record = dependencies_.record();
    collection->pending = 2;
    collection->unaccounted = replicas_.dropped_count();
    for (bundled_copy& copy : bundle(route).copies)
    {
        collection->add(dependencies_.self.vm, std::move(copy));
    }
    for (const member& other : record.members)
    {
        if (other.incarnation == dependencies_.self.incarnation)
        {
            continue;
        }
        ++collection->pending;
        incarnation_evidence& entry = collection->evidence[other.incarnation];
        entry.incarnation = other.incarnation;
        entry.vm = other.vm;
        dependencies_.messages.request(
            other.control,
            control::encode(dependencies_.self.incarnation,
                            counters_request{route}),
            send_timeout,
            [collection, vm = other.vm](const result<std::string>& reply)
            {
                if (reply.has_value())
                {
                    const auto envelope = control::decode_header(
                        reply.value(), net::max_stream_message_bytes);
                    if (envelope.has_value())
                    {
                        auto bundle = control::decode_payload<counters_bundle>(
                            envelope.value());
                        if (bundle.has_value())
                        {
                            for (bundled_copy& copy : bundle.value().copies)
                            {
                                collection->add(vm, std::move(copy));
                            }
                        }
                    }
                }
                collection->answered();
            });
    }
    dependencies_.values.read_prefix(
        store_keys::reports, store_timeout,
        [collection](result<std::vector<store_value>> found)
        {
            if (found.has_value())
            {
                for (const store_value& value : found.value())
                {
                    auto copy = parse_counter_copy(value.value);
                    if (!copy.has_value())
                    {
                        continue;
                    }
                    bundled_copy item;
                    item.incarnation = copy.value().incarnation;
                    item.version = copy.value().version;
                    item.final = copy.value().final;
                    item.current_holder = false;
                    item.rows = rows_for_route(copy.value(), collection->route);
                    collection->add("store", std::move(item));
                }
            }
            collection->answered();
        });
    collection->answered();
}

} // namespace siskinflow::entry
