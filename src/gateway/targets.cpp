#include <siskinflow/gateway/targets.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace siskinflow::gateway
{

namespace
{

/// A report about other VMs' load loses half of its weight in this time.
constexpr double load_half_life_s = 0.6;
/// Weight of one report in the usual load of a service.
constexpr double usual_load_weight = 0.05;
/// Failures in a row after which a target is ejected.
constexpr unsigned failures_to_eject = 3;
/// Failures to connect after which it is ejected: nothing can have run.
constexpr unsigned connect_failures_to_eject = 1;
/// Part of failed answers from which a target is ejected.
constexpr double failed_part_to_eject = 0.4;
/// Weight of one answer in the part of failed answers.
constexpr double failed_part_weight = 0.12;
/// First ejection; each further one without a success is twice as long.
constexpr duration first_ejection = std::chrono::milliseconds(500);
constexpr duration longest_ejection = std::chrono::seconds(4);
/// Bounds of the measured slowness of a target.
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 8;
constexpr double slowness_weight = 0.1;
/// Requests that a cold target may get at once from one VM.
constexpr double cold_burst = 1;
/// Time after which an object is taken to be forgotten by its target.
constexpr duration object_memory = std::chrono::seconds(20);
/// Targets remembered for one object.
constexpr std::size_t locations_per_object = 4;
/// Objects remembered for one service.
constexpr std::size_t most_objects = 20000;

constexpr std::array<std::string_view, 8> result_names = {
    "answered",    "failed", "rejected",  "misdirected",
    "unreachable", "broken", "no_answer", "abandoned"};

} // namespace

std::string_view name(attempt_result value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < result_names.size() ? result_names[index] : "unknown";
}

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

double target::load(time_point now, double usual) const
{
    const double age = to_seconds(now - reported_);
    const double trust = std::exp2(-age / load_half_life_s);
    return in_flight_ + others_ * trust + usual * (1 - trust);
}

bool target::admits(time_point now) const
{
    if (ejected(now) || (ejection_ > duration::zero() && trial_))
    {
        return false;
    }
    return !cold(now) || cold_rate_ < 0 || cold_bucket_.level(now) >= 1;
}

void target::on_sent(time_point now)
{
    ++in_flight_;
    tried_ = true;
    trial_ = ejection_ > duration::zero();
    if (cold(now))
    {
        cold_bucket_.take(1, now);
    }
}

void target::on_ended(attempt_result result, time_point now)
{
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
    trial_ = false;
    const bool answer = result == attempt_result::answered ||
                        result == attempt_result::failed ||
                        result == attempt_result::rejected;
    answered_at_ = answer ? now : answered_at_;
    switch (result)
    {
    case attempt_result::answered:
        failures_ = 0;
        ejection_ = duration::zero();
        failed_part_ -= failed_part_weight * failed_part_;
        break;
    case attempt_result::failed:
    case attempt_result::broken:
    case attempt_result::no_answer:
        on_failure(false, now);
        break;
    case attempt_result::rejected:
        others_ = record_.slots;
        reported_ = now;
        on_failure(false, now);
        break;
    case attempt_result::unreachable:
    case attempt_result::misdirected:
        on_failure(true, now);
        break;
    case attempt_result::abandoned:
        break;
    }
}

void target::on_failure(bool certain, time_point now)
{
    ++failures_;
    failed_part_ += failed_part_weight * (1 - failed_part_);
    const unsigned limit =
        certain ? connect_failures_to_eject : failures_to_eject;
    if (failures_ < limit && failed_part_ < failed_part_to_eject &&
        ejection_ == duration::zero())
    {
        return;
    }
    ejection_ = std::clamp(ejection_ * 2, first_ejection, longest_ejection);
    ejected_until_ = now + ejection_;
}

double target::on_load(const load_report& report, time_point now)
{
    const double total = report.running + report.waiting;
    // The report was made while this VM's request was still counted.
    const double own = in_flight_ + 1.0;
    others_ = std::max(0.0, total - own);
    reported_ = now;
    return others_;
}

void target::on_warm_up_left(duration left, time_point now)
{
    cold_until_ = now + left;
}

void target::on_work_time(duration taken, duration usual)
{
    if (usual <= duration::zero())
    {
        return;
    }
    const double ratio = to_seconds(taken) / to_seconds(usual);
    slowness_ += slowness_weight * (ratio - slowness_);
    slowness_ = std::clamp(slowness_, least_slowness, most_slowness);
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

void object_locations::remember(std::uint64_t object, const std::string& target,
                                time_point now)
{
    if (by_object_.size() >= most_objects)
    {
        by_object_.clear();
    }
    auto& known = by_object_[object];
    for (location& entry : known)
    {
        if (entry.target == target)
        {
            entry.at = now;
            return;
        }
    }
    if (known.size() >= locations_per_object)
    {
        known.erase(
            std::min_element(known.begin(), known.end(),
                             [](const location& left, const location& right)
                             { return left.at < right.at; }));
    }
    known.push_back({target, now});
}

bool object_locations::recent(std::uint64_t object, const std::string& target,
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
                                  now - entry.at < object_memory;
                       });
}

void object_locations::forget(const std::string& target)
{
    for (auto& [object, known] : by_object_)
    {
        std::erase_if(known, [&](const location& entry)
                      { return entry.target == target; });
    }
}

// Directory

target_directory::target_directory(vm_place place) : place_(std::move(place)) {}

bool target_directory::put(target_record record, time_point now)
{
    target_ptr known = find(record.id);
    const bool same = known != nullptr &&
                      known->record().service == record.service &&
                      known->record().address == record.address &&
                      known->record().failure_domain == record.failure_domain &&
                      known->record().started_at_ms == record.started_at_ms;
    if (same)
    {
        known->update(std::move(record), now);
        return false;
    }
    if (known != nullptr)
    {
        remove(record.id);
    }
    auto added = std::make_shared<target>(record);
    added->update(record, now);
    by_id_[record.id] = added;
    ++domain_sizes_[record.service][record.failure_domain];
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
    const std::string service = found->second->record().service;
    leave_domain(found->second->record());
    std::erase(by_service_[service], found->second);
    locations_[service].forget(id);
    by_id_.erase(found);
}

void target_directory::leave_domain(const target_record& record)
{
    auto& sizes = domain_sizes_[record.service];
    const auto found = sizes.find(record.failure_domain);
    if (found != sizes.end() && --found->second == 0)
    {
        sizes.erase(found);
    }
}

void target_directory::evacuate(std::set<std::string> failure_domains)
{
    evacuated_ = std::move(failure_domains);
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

double target_directory::usual_targets(const std::string& service) const
{
    const auto found = domain_sizes_.find(service);
    if (found == domain_sizes_.end() || found->second.empty())
    {
        return 0;
    }
    return static_cast<double>(of_service(service).size()) /
           static_cast<double>(found->second.size());
}

bool target_directory::in_service(const target& which) const
{
    return !which.record().draining &&
           evacuated_.count(which.record().failure_domain) == 0;
}

distance target_directory::where(const target& which) const
{
    if (which.record().failure_domain == place_.failure_domain)
    {
        return distance::same_domain;
    }
    return which.record().region == place_.region ? distance::same_region
                                                  : distance::other_region;
}

void target_directory::on_load(target& which, const load_report& report,
                               time_point now)
{
    const double others = which.on_load(report, now);
    double& usual = usual_load_[which.record().service];
    usual += usual_load_weight * (others - usual);
}

double target_directory::usual_load(const std::string& service) const
{
    const auto found = usual_load_.find(service);
    return found == usual_load_.end() ? 0 : found->second;
}

void target_directory::for_each(const std::function<void(target&)>& visit)
{
    for (auto& [id, entry] : by_id_)
    {
        visit(*entry);
    }
}

} // namespace siskinflow::gateway
