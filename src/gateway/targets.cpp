#include <siskinflow/gateway/targets.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace siskinflow::gateway
{

namespace
{

/// Half-life of a load report's weight, in seconds.
constexpr double load_half_life_s = 0.6;
/// Half-life of a reported pace, in seconds. Other work on a target's machine
/// comes and goes within a few hundred milliseconds.
constexpr double pace_half_life_s = 0.3;
/// Weight of one report in the average load of a service.
constexpr double average_peer_load_weight = 0.05;
/// Failures in a row after which a target is ejected.
constexpr unsigned failures_to_eject = 3;
/// Failures to reach the target after which it is ejected; the request can't
/// have run.
constexpr unsigned connect_failures_to_eject = 1;
/// Failure rate from which a target is ejected.
constexpr double failure_rate_to_eject = 0.4;
/// Weight of one answer in the failure rate.
constexpr double failure_rate_weight = 0.12;
/// First ejection; each further one without a success is twice as long.
constexpr duration first_ejection = std::chrono::milliseconds(500);
constexpr duration max_ejection = std::chrono::seconds(4);
/// Bounds of the measured slowness of a target.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 8;
constexpr double slowness_weight = 0.1;
/// Targets that are not registered and whose wishes are kept.
constexpr std::size_t max_kept_wishes = 10000;
/// Burst of requests that one VM may send to a cold target.
constexpr double cold_burst = 1;
/// Targets recorded for one object.
constexpr std::size_t locations_per_object = 4;
/// Objects recorded for one service.
constexpr std::size_t max_objects = 20000;

} // namespace

// Target

target::target(target_record record) : record_(std::move(record)) {}

void target::update(target_record record, time_point now)
{
    record_ = std::move(record);
    if (record_.warm_up_left > duration::zero())
    {
        on_warm_up_left(record_.warm_up_left, now);
    }
}

double target::load(time_point now, double average_peer_load) const
{
    const double age = to_seconds(now - load_reported_at_);
    const double report_weight = std::exp2(-age / load_half_life_s);
    return in_flight_ + peer_load_ * report_weight +
           average_peer_load * (1 - report_weight);
}

void target::on_wish(const target_wish& wish, duration return_time)
{
    wish_.leaving = wish_.leaving || wish.leaving;
    if (wish.paused_until <= wish_.paused_until)
    {
        return;
    }
    wish_.paused_until = wish.paused_until;
    cold_until_ = std::max(cold_until_, wish.paused_until + return_time);
}

bool target::admits(time_point now) const
{
    if (!wish_.allows_requests(now))
    {
        return false;
    }
    if (ejected(now) || (ejection_time_ > duration::zero() && probe_in_flight_))
    {
        return false;
    }
    return !cold(now) || cold_rate_ < 0 || cold_bucket_.level(now) >= 1;
}

void target::on_sent(time_point now)
{
    ++in_flight_;
    tried_ = true;
    probe_in_flight_ = ejection_time_ > duration::zero();
    if (cold(now))
    {
        cold_bucket_.try_take(1, now);
    }
}

void target::on_ended(attempt_result result, time_point now)
{
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
    probe_in_flight_ = false;
    const bool responded = result == attempt_result::answered ||
                           result == attempt_result::failed ||
                           result == attempt_result::rejected;
    answered_at_ = responded ? now : answered_at_;
    switch (result)
    {
    case attempt_result::answered:
        consecutive_failures_ = 0;
        ejection_time_ = duration::zero();
        failure_rate_ -= failure_rate_weight * failure_rate_;
        break;
    case attempt_result::failed:
    case attempt_result::broken:
    case attempt_result::no_answer:
        on_failure(false, now);
        break;
    case attempt_result::rejected:
        peer_load_ = record_.slots;
        load_reported_at_ = now;
        on_failure(false, now);
        break;
    case attempt_result::unreachable:
    case attempt_result::misdirected:
        on_failure(true, now);
        break;
    case attempt_result::abandoned:
    case attempt_result::withdrawn:
        break;
    }
}

void target::on_failure(bool not_reached, time_point now)
{
    ++consecutive_failures_;
    failure_rate_ += failure_rate_weight * (1 - failure_rate_);
    const unsigned limit =
        not_reached ? connect_failures_to_eject : failures_to_eject;
    if (consecutive_failures_ < limit &&
        failure_rate_ < failure_rate_to_eject &&
        ejection_time_ == duration::zero())
    {
        return;
    }
    ejection_time_ =
        std::clamp(ejection_time_ * 2, first_ejection, max_ejection);
    ejected_until_ = now + ejection_time_;
}

double target::pace(time_point now) const
{
    const double age = to_seconds(now - pace_reported_at_);
    return 1 + (pace_ - 1) * std::exp2(-age / pace_half_life_s);
}

void target::set_pace(const load_report& report, time_point reported_at)
{
    pace_ = report.pace.value_or(1);
    pace_reported_at_ = reported_at;
}

double target::on_load(const load_report& report, time_point now)
{
    const double total = report.running + report.waiting;
    // The target still counted this VM's request when it made the report.
    const double own = in_flight_ + 1.0;
    peer_load_ = std::max(0.0, total - own);
    load_reported_at_ = now;
    set_pace(report, now);
    return peer_load_;
}

std::optional<double> target::on_shared_load(const load_report& report,
                                             time_point reported_at)
{
    if (reported_at <= pace_reported_at_)
    {
        return std::nullopt;
    }
    set_pace(report, reported_at);
    const double total = report.running + report.waiting;
    // The target still counted the request that it answered with the report.
    constexpr double answered = 1;
    return std::max(0.0, total - in_flight_ - answered);
}

void target::on_warm_up_left(duration left, time_point now)
{
    cold_until_ = now + left;
}

void target::on_work_time(duration elapsed, duration expected)
{
    if (expected <= duration::zero())
    {
        return;
    }
    const double ratio = to_seconds(elapsed) / to_seconds(expected);
    slowness_ += slowness_weight * (ratio - slowness_);
    slowness_ = std::clamp(slowness_, min_slowness, max_slowness);
}

void target::limit_cold_rate(double per_s, time_point now)
{
    if (cold_rate_ == per_s)
    {
        return;
    }
    cold_rate_ = per_s;
    const double burst = per_s > 0 ? cold_burst : 0;
    cold_bucket_ = bucket(per_s, burst, burst, now);
}

// Objects

void object_locations::record(std::uint64_t object, const std::string& target,
                              time_point now)
{
    if (by_object_.size() >= max_objects)
    {
        by_object_.clear();
    }
    auto& known_locations = by_object_[object];
    for (location& entry : known_locations)
    {
        if (entry.target == target)
        {
            entry.last_used = now;
            return;
        }
    }
    if (known_locations.size() >= locations_per_object)
    {
        known_locations.erase(
            std::min_element(known_locations.begin(), known_locations.end(),
                             [](const location& left, const location& right)
                             { return left.last_used < right.last_used; }));
    }
    known_locations.push_back({target, now});
}

bool object_locations::is_recent(std::uint64_t object,
                                 const std::string& target,
                                 time_point now) const
{
    const auto found = by_object_.find(object);
    if (found == by_object_.end())
    {
        return false;
    }
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const location& entry) {
                           return entry.target == target &&
                                  now - entry.last_used < object_lifetime;
                       });
}

void object_locations::remove_target(const std::string& target)
{
    for (auto& [object, known_locations] : by_object_)
    {
        std::erase_if(known_locations, [&](const location& entry)
                      { return entry.target == target; });
    }
}

// Directory

target_directory::target_directory(vm_location location)
    : vm_location_(std::move(location))
{
}

bool target_directory::put(target_record record, time_point now)
{
    target_ptr registered = find(record.id);
    const bool same_incarnation =
        registered != nullptr &&
        registered->record().service == record.service &&
        registered->record().address == record.address &&
        registered->record().failure_domain == record.failure_domain &&
        registered->record().started_at_ms == record.started_at_ms;
    if (same_incarnation)
    {
        const target_record& known = registered->record();
        const bool order_changed = known.draining != record.draining ||
                                   known.slots != record.slots ||
                                   known.region != record.region;
        version_ += order_changed ? 1 : 0;
        registered->update(std::move(record), now);
        return false;
    }
    if (registered != nullptr)
    {
        remove(record.id);
    }
    ++version_;
    auto added = std::make_shared<target>(record);
    added->update(record, now);
    const auto kept = kept_wishes_.find(record.id);
    if (kept != kept_wishes_.end() &&
        kept->second.started_at_ms == record.started_at_ms)
    {
        added->on_wish(kept->second.wish, kept->second.return_time);
    }
    by_id_[record.id] = added;
    by_number_[target_number(record.id)] = added;
    ++targets_per_domain_[record.service][record.failure_domain];
    by_service_[record.service].push_back(std::move(added));
    return true;
}

void target_directory::remove(const std::string& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
    {
        return;
    }
    ++version_;
    const std::string service = found->second->record().service;
    remove_from_domain(found->second->record());
    std::erase(by_service_[service], found->second);
    locations_[service].remove_target(id);
    by_number_.erase(target_number(id));
    by_id_.erase(found);
}

void target_directory::on_wish(const std::string& id,
                               std::int64_t started_at_ms,
                               const target_wish& wish, duration return_time)
{
    const target_ptr registered = find(id);
    if (registered != nullptr &&
        registered->record().started_at_ms == started_at_ms)
    {
        version_ += wish.leaving && !registered->wish().leaving ? 1 : 0;
        registered->on_wish(wish, return_time);
    }
    keep_wish(id, {started_at_ms, wish, return_time});
}

void target_directory::keep_wish(const std::string& id, const kept_wish& kept)
{
    if (kept_wishes_.size() >= max_kept_wishes)
    {
        kept_wishes_.clear();
    }
    kept_wish& entry = kept_wishes_[id];
    if (entry.started_at_ms > kept.started_at_ms)
    {
        return; // Said by an earlier incarnation.
    }
    if (entry.started_at_ms < kept.started_at_ms)
    {
        entry = kept;
        return;
    }
    entry.wish.leaving = entry.wish.leaving || kept.wish.leaving;
    if (kept.wish.paused_until > entry.wish.paused_until)
    {
        entry.wish.paused_until = kept.wish.paused_until;
        entry.return_time = kept.return_time;
    }
}

void target_directory::remove_from_domain(const target_record& record)
{
    auto& domain_targets = targets_per_domain_[record.service];
    const auto found = domain_targets.find(record.failure_domain);
    if (found != domain_targets.end() && --found->second == 0)
    {
        domain_targets.erase(found);
    }
}

void target_directory::set_evacuated(std::set<std::string> failure_domains)
{
    version_ += failure_domains != evacuated_domains_ ? 1 : 0;
    evacuated_domains_ = std::move(failure_domains);
}

target_ptr target_directory::find(const std::string& id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

const std::vector<target_ptr>&
target_directory::of_service(const std::string& name) const
{
    static const std::vector<target_ptr> none;
    const auto found = by_service_.find(name);
    return found == by_service_.end() ? none : found->second;
}

double
target_directory::average_targets_per_domain(const std::string& service) const
{
    const auto found = targets_per_domain_.find(service);
    if (found == targets_per_domain_.end() || found->second.empty())
    {
        return 0;
    }
    return static_cast<double>(of_service(service).size()) /
           static_cast<double>(found->second.size());
}

bool target_directory::in_service(const target& entry) const
{
    return !entry.record().draining && !entry.wish().leaving &&
           evacuated_domains_.count(entry.record().failure_domain) == 0;
}

bool target_directory::takes_requests(const target& entry, time_point now) const
{
    return find(entry.record().id).get() == &entry && in_service(entry) &&
           entry.wish().allows_requests(now);
}

distance target_directory::distance_to(const target& entry) const
{
    if (entry.record().failure_domain == vm_location_.failure_domain)
    {
        return distance::same_domain;
    }
    return entry.record().region == vm_location_.region
               ? distance::same_region
               : distance::other_region;
}

void target_directory::on_load(target& entry, const load_report& report,
                               time_point now)
{
    if (is_plausible(report))
    {
        observe_average(entry, entry.on_load(report, now));
    }
}

void target_directory::on_shared_loads(const std::vector<shared_load>& loads,
                                       time_point now)
{
    for (const shared_load& shared : loads)
    {
        const auto found = by_number_.find(shared.target);
        if (found == by_number_.end())
        {
            continue; // Not registered here yet, or not any more.
        }
        target& entry = *found->second;
        const load_report report = to_load_report(shared, entry.record().slots);
        const duration age = std::chrono::milliseconds(shared.age_ms);
        if (!is_plausible(report) || age > max_shared_load_age)
        {
            continue;
        }
        if (const auto others = entry.on_shared_load(report, now - age))
        {
            observe_average(entry, *others);
        }
    }
}

void target_directory::observe_average(const target& entry,
                                       double load_of_others)
{
    double& average = average_peer_load_[entry.record().service];
    average += average_peer_load_weight * (load_of_others - average);
}

double target_directory::average_peer_load(const std::string& service) const
{
    const auto found = average_peer_load_.find(service);
    return found == average_peer_load_.end() ? 0 : found->second;
}

void target_directory::for_each(const std::function<void(target&)>& visit)
{
    for (auto& [id, entry] : by_id_)
    {
        visit(*entry);
    }
}

} // namespace siskinflow::gateway
