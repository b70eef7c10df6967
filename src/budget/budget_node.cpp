#include <siskinflow/budget/budget_node.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace siskinflow
{

struct budget_node::impl
{
    impl(const incarnation_id& id, net::datagram_sender& datagrams,
         budget_codec message_codec, owner_chooser chooser, available callback)
        : self(id), sender(datagrams), codec(std::move(message_codec)),
          choose_owner(std::move(chooser)), on_available(std::move(callback)),
          holder(id), owner(id)
    {
    }

    incarnation_id self;
    net::datagram_sender& sender;
    budget_codec codec;
    owner_chooser choose_owner;
    available on_available;
    share_holder holder;
    budget_owner owner;
    std::vector<budget_spec> specs;
    bool configured = false;
    std::shared_ptr<const fleet_record> record;
    std::unordered_map<incarnation_id, net::endpoint> endpoints;
    std::unordered_set<budget_id> grown_budgets;

    void update_ownership(time_point now)
    {
        if (!record || !configured)
        {
            return;
        }
        const ownership owned =
            make_ownership(*record, self, specs, choose_owner);
        owner.set_ownership(owned, now);
        holder.set_ownership(owned, now);
    }

    void set_record(std::shared_ptr<const fleet_record> next, time_point now)
    {
        record = std::move(next);
        endpoints.clear();
        for (const auto& each : record->members)
        {
            endpoints[each.incarnation] = each.control;
        }
        update_ownership(now);
    }

    void send(const incarnation_id& to, const std::string& payload)
    {
        const auto it = endpoints.find(to);
        if (it != endpoints.end())
        {
            sender.send(it->second, payload);
        }
    }

    void send_reports(const std::vector<addressed_report>& reports,
                      time_point now)
    {
        for (const auto& report : reports)
        {
            if (report.owner == self)
            {
                send_grants(owner.on_report(self, report.message, now), now);
                continue;
            }
            send(report.owner, codec.encode_report(report.message));
        }
    }

    void send_grants(const std::vector<addressed_grant>& grants, time_point now)
    {
        for (const auto& grant : grants)
        {
            if (grant.holder == self)
            {
                apply_grant(self, grant.message, now);
                continue;
            }
            send(grant.holder, codec.encode_grant(grant.message));
        }
    }

    void apply_grant(const incarnation_id& from, const share_grant& message,
                     time_point now)
    {
        for (const budget_id each : holder.on_grant(from, message, now))
        {
            grown_budgets.insert(each);
        }
    }

    void send_due_reports(time_point now)
    {
        send_reports(holder.reports(now), now);
    }

    void send_urgent_reports(time_point now)
    {
        if (holder.urgent(now))
        {
            send_due_reports(now);
        }
    }

    // The callback may take tokens and so cause new grants; these are reported
    // by the next call.
    void notify_available()
    {
        const auto budgets = std::exchange(grown_budgets, {});
        for (const budget_id each : budgets)
        {
            if (on_available)
            {
                on_available(each);
            }
        }
    }
};

budget_node::budget_node(const incarnation_id& self,
                         net::datagram_sender& sender, budget_codec codec,
                         owner_chooser choose_owner, available on_available)
    : impl_(std::make_unique<impl>(self, sender, std::move(codec),
                                   std::move(choose_owner),
                                   std::move(on_available)))
{
}

budget_node::~budget_node() = default;

void budget_node::set_configuration(const configuration& config, time_point now)
{
    impl_->specs = budgets_of(config);
    impl_->configured = true;
    impl_->owner.set_budgets(impl_->specs, now);
    impl_->holder.set_budgets(impl_->specs, now);
    impl_->update_ownership(now);
}

void budget_node::tick(time_point now, const budget_view& view)
{
    if (view.record && view.record != impl_->record &&
        (!impl_->record || view.record->epoch >= impl_->record->epoch))
    {
        impl_->set_record(view.record, now);
    }
    const time_point fresh_until =
        view.fresh ? std::min(view.fresh_until, now + max_view_age)
                   : time_point{};
    impl_->holder.set_fresh_until(fresh_until);
    const bool in_force = view.epoch_in_force && impl_->record &&
                          view.epoch == impl_->record->epoch;
    impl_->owner.set_authority(fresh_until, in_force, now);
    impl_->send_grants(impl_->owner.tick(now), now);
    impl_->send_due_reports(now);
    impl_->notify_available();
}

void budget_node::on_report(const incarnation_id& sender,
                            const share_report& message, time_point now)
{
    impl_->send_grants(impl_->owner.on_report(sender, message, now), now);
}

void budget_node::on_grant(const incarnation_id& sender,
                           const share_grant& message, time_point now)
{
    impl_->apply_grant(sender, message, now);
    impl_->send_urgent_reports(now);
    impl_->notify_available();
}

take_result budget_node::take(budget_id budget, double amount, time_point now,
                              attempt kind)
{
    const take_result outcome = impl_->holder.take(budget, amount, now, kind);
    if (!outcome.taken)
    {
        impl_->send_urgent_reports(now);
    }
    return outcome;
}

bool budget_node::acquire(budget_id budget, time_point now)
{
    const bool acquired = impl_->holder.acquire(budget, now);
    if (!acquired)
    {
        impl_->send_urgent_reports(now);
    }
    return acquired;
}

void budget_node::release(budget_id budget, time_point now)
{
    impl_->holder.release(budget, now);
}

void budget_node::return_all(time_point now)
{
    impl_->send_reports(impl_->holder.return_all(now), now);
}

share_holder& budget_node::shares()
{
    return impl_->holder;
}

const share_holder& budget_node::shares() const
{
    return impl_->holder;
}

budget_owner& budget_node::owner()
{
    return impl_->owner;
}

const budget_owner& budget_node::owner() const
{
    return impl_->owner;
}

} // namespace siskinflow
