#include "fleet_node_impl.hpp"

#include <algorithm>

namespace siskinflow
{

void fleet_node::impl::start()
{
    auto weak = weak_from_this();
    distributor::handlers event_handlers;
    event_handlers.on_newer = [weak](const revision_value& value)
    {
        if (auto node = weak.lock())
        {
            node->on_newer(value);
        }
    };
    event_handlers.on_read = [weak](time_point read_sent)
    {
        if (auto node = weak.lock())
        {
            node->freshness_state.on_store_read(read_sent, node->now());
        }
    };
    event_handlers.is_valid = [](const revision_value& value)
    {
        return value.kind != value_kind::fleet ||
               parse_fleet_record(value.text).has_value();
    };
    value_distributor = std::make_unique<distributor>(
        self(),
        distributor::dependencies{dependencies.time, dependencies.kv_store,
                                  dependencies.messages, dependencies.random},
        std::move(event_handlers), options.distributor);
}

// Values

void fleet_node::impl::on_newer(const revision_value& value)
{
    if (value.kind == value_kind::config)
    {
        freshness_state.set_config(value.revision, now());
        if (callbacks.on_config)
        {
            callbacks.on_config(value.text, value.revision);
        }
        return;
    }
    auto parsed = parse_fleet_record(value.text);
    if (!parsed ||
        !freshness_state.set_record(parsed.value(), value.revision, now()))
    {
        return;
    }
    apply_record();
    if (callbacks.on_record)
    {
        callbacks.on_record(freshness_state.record(), value.revision);
    }
}

void fleet_node::impl::apply_record()
{
    record_since = now();
    change_since.reset();
    heartbeat_topology = topology(
        options.self, freshness_state.ordered_members(), options.topology);
    std::set<incarnation_id> listed;
    for (const member& item : freshness_state.ordered_members())
    {
        listed.insert(item.incarnation);
        mark_if_replaced(item, options.self);
    }
    std::erase_if(peers, [&listed](const auto& entry)
                  { return listed.count(entry.first) == 0; });
    std::erase_if(replaced, [&listed](const incarnation_id& id)
                  { return listed.count(id) == 0; });
    std::erase_if(
        joining, [this](const auto& entry)
        { return freshness_state.record().find(entry.first) != nullptr; });
}

void fleet_node::impl::mark_if_replaced(const member& listed,
                                        const member& newer)
{
    if (listed.vm == newer.vm && listed.control == newer.control &&
        listed.incarnation != newer.incarnation)
    {
        replaced.insert(listed.incarnation);
    }
}

// Distribution

distribution_plan fleet_node::impl::make_plan() const
{
    distribution_plan out;
    out.watcher = watcher_rank(freshness_state.record(), self(), usable_now());
    out.read_store = !fresh_since;
    if (out.watcher < 0)
    {
        return out;
    }
    for (const member& item : freshness_state.record().members)
    {
        if (item.failure_domain == options.self.failure_domain &&
            item.incarnation != self() && usable(item.incarnation))
        {
            out.push_peers.push_back(
                {item, freshness_state.stated_revisions(item.incarnation)});
        }
    }
    return out;
}

void fleet_node::impl::tick()
{
    track_freshness();
    update_absences();
    update_stopped();
    value_distributor->tick(make_plan());
    expire_joins();
    change_record();
    fetch_from_seed();
    ask_to_join();
    ask_to_leave();
    send_heartbeats();
}

fleet_node::fleet_node(fleet_options options, fleet_dependencies dependencies,
                       fleet_handlers handlers)
    : impl_(std::make_shared<impl>(std::move(options), std::move(dependencies),
                                   std::move(handlers)))
{
    impl_->start();
}

fleet_node::~fleet_node() = default;

void fleet_node::tick()
{
    impl_->tick();
}

bool fleet_node::on_datagram(const net::endpoint& from,
                             const control::envelope& message)
{
    switch (message.type)
    {
    case control::message_type::heartbeat:
        impl_->read<heartbeat>(
            message, [&](const heartbeat& body)
            { impl_->on_heartbeat(from, message.sender, body); });
        return true;
    case control::message_type::join_request:
        impl_->read<join_request>(message, [this](const join_request& body)
                                  { impl_->on_join(body); });
        return true;
    case control::message_type::leave_notice:
        impl_->read<leave_notice>(message, [this](const leave_notice& body)
                                  { impl_->on_leave(body); });
        return true;
    default:
        return false;
    }
}

std::string fleet_node::on_message(const control::envelope& message)
{
    const incarnation_id& self = impl_->self();
    std::string answer;
    if (message.type == control::message_type::revision_push)
    {
        impl_->read<revision_push>(
            message,
            [&](const revision_push& body)
            {
                impl_->value_distributor->apply(body);
                answer = control::encode(
                    self, acknowledgement{impl_->value_distributor->known()});
            });
    }
    if (message.type == control::message_type::revision_fetch)
    {
        impl_->read<revision_fetch>(
            message,
            [&](const revision_fetch& body)
            {
                answer = control::encode(
                    self,
                    impl_->value_distributor->values_newer_than(body.known));
            });
    }
    return answer;
}

void fleet_node::begin_leaving()
{
    impl_->is_leaving = true;
}

void fleet_node::leave()
{
    impl_->is_leaving = true;
    impl_->wants_removal = true;
}

bool fleet_node::has_left() const
{
    return impl_->wants_removal && !impl_->is_member();
}

bool fleet_node::all_leaving() const
{
    const auto& members = impl_->freshness_state.record().members;
    return std::all_of(members.begin(), members.end(),
                       [this](const member& item)
                       { return impl_->is_known_leaving(item); });
}

bool fleet_node::is_fresh() const
{
    return impl_->freshness_state.is_fresh(impl_->now());
}

time_point fleet_node::fresh_until() const
{
    return impl_->freshness_state.fresh_until();
}

bool fleet_node::is_member() const
{
    return impl_->is_member();
}

const fleet_record& fleet_node::record() const
{
    return impl_->freshness_state.record();
}

store_revision fleet_node::record_revision() const
{
    return impl_->freshness_state.known().fleet;
}

std::string_view fleet_node::config_text() const
{
    return impl_->value_distributor->newest(value_kind::config).text;
}

store_revision fleet_node::config_revision() const
{
    return impl_->freshness_state.known().config;
}

const known_revisions& fleet_node::in_force() const
{
    return impl_->freshness_state.in_force();
}

bool fleet_node::config_in_force(store_revision revision) const
{
    return impl_->freshness_state.config_in_force(revision, impl_->now());
}

bool fleet_node::fleet_in_force(store_revision revision) const
{
    return impl_->freshness_state.fleet_in_force(revision, impl_->now());
}

std::vector<member> fleet_node::live_members() const
{
    std::vector<member> out;
    for (const member& item : impl_->freshness_state.record().members)
    {
        const bool is_self = item.incarnation == impl_->self();
        if (!impl_->is_known_leaving(item) &&
            !impl_->is_listed_as_leaving(item) &&
            (is_self ||
             impl_->heard_within(item.incarnation, impl_->suspect_timeout())))
        {
            out.push_back(item);
        }
    }
    return out;
}

std::vector<member_status> fleet_node::status() const
{
    return impl_->freshness_state.status(impl_->now());
}

const fleet_counts& fleet_node::counts() const
{
    return impl_->counts;
}

const distributor_counts& fleet_node::distribution_counts() const
{
    return impl_->value_distributor->counts();
}

} // namespace siskinflow
