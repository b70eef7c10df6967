#include <siskinflow/core/enum_name.hpp>
#include <siskinflow/core/state_chart.hpp>
#include <siskinflow/routing/target_health.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <unordered_map>

namespace siskinflow::routing
{

namespace
{

namespace acc = boost::accumulators;

constexpr double latency_quantile = 0.9;
constexpr double ewma_weight = 0.1;
// Older reports are ignored; less than 2^-8 of their load would count.
constexpr double max_hint_age_s = 8;
constexpr double penalty_per_failure = 0.5; // Requests per slot.
constexpr double shed_penalty = 2;          // Requests per slot.
constexpr duration shed_penalty_duration = std::chrono::seconds(1);

struct observation_window
{
    using latency_set = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;
    using error_set =
        acc::accumulator_set<double,
                             acc::stats<acc::tag::count, acc::tag::mean>>;

    latency_set latency{acc::quantile_probability = latency_quantile};
    error_set errors;
};

struct target_record
{
    std::string name;
    health_state state = health_state::healthy;
    bool in_service = true;
    bool draining = false;
    bool probed_by_requests = false; ///< Serves an idempotent route.
    std::vector<std::size_t> routes; ///< Positions in the configuration.

    observation_window current_window;
    observation_window previous_window;
    time_point window_start{};
    double latency_ewma_s = 0;
    std::uint32_t consecutive_failures = 0;
    std::optional<time_point> last_success;
    std::optional<time_point> last_shed;

    std::optional<load_hint> hint;
    time_point hint_requested_at{};
    std::uint32_t consecutive_hint_failures = 0;

    duration warm_up{0};
    std::optional<time_point> cold_since;

    time_point ejected_at{};
    time_point next_probe_at{};
    time_point probe_started{};
    duration backoff{0};
    /// Since the last successful probe.
    std::uint32_t consecutive_ejections = 0;
};

std::uint64_t sample_count(const target_record& target)
{
    return acc::count(target.current_window.errors) +
           acc::count(target.previous_window.errors);
}

double error_rate_of(const target_record& target)
{
    const auto current_count =
        static_cast<double>(acc::count(target.current_window.errors));
    const auto previous_count =
        static_cast<double>(acc::count(target.previous_window.errors));
    const double total = current_count + previous_count;
    const double errors =
        (current_count > 0
             ? current_count * acc::mean(target.current_window.errors)
             : 0) +
        (previous_count > 0
             ? previous_count * acc::mean(target.previous_window.errors)
             : 0);
    return total > 0 ? errors / total : 0;
}

/// Quantile of the newest window that has enough samples.
std::optional<double> latency_of(const target_record& target,
                                 std::uint32_t min_samples)
{
    for (const auto* window : {&target.current_window, &target.previous_window})
    {
        if (acc::count(window->latency) >= std::max(min_samples, 1U))
        {
            return acc::p_square_quantile(window->latency);
        }
    }
    return std::nullopt;
}

std::optional<double> median(std::vector<double> values)
{
    if (values.empty())
    {
        return std::nullopt;
    }
    const auto median_position = std::next(
        values.begin(), static_cast<std::ptrdiff_t>((values.size() - 1) / 2));
    std::nth_element(values.begin(), median_position, values.end());
    return *median_position;
}

state_chart load_chart()
{
    auto chart = state_chart::parse(
        chart_text("target_health"),
        {name(health_state::healthy), name(health_state::ejected),
         name(health_state::probing)},
        {name(health_event::eject), name(health_event::probe),
         name(health_event::succeed), name(health_event::fail),
         name(health_event::reset)});
    if (!chart)
    {
        // The chart is part of the library; it can't differ from the enums.
        std::abort();
    }
    return std::move(chart).value();
}

} // namespace

std::string_view name(health_state state) noexcept
{
    static constexpr std::array<std::string_view, 3> names{"healthy", "ejected",
                                                           "probing"};
    return enum_name(names, state);
}

std::string_view name(health_event event) noexcept
{
    static constexpr std::array<std::string_view, 5> names{
        "eject", "probe", "succeed", "fail", "reset"};
    return enum_name(names, event);
}

std::string_view name(health_reason reason) noexcept
{
    static constexpr std::array<std::string_view, 9> names{
        "consecutive_failures", "error_rate", "latency",
        "unreachable",          "probe_sent", "probe_succeeded",
        "probe_failed",         "probe_lost", "ejection_limit"};
    return enum_name(names, reason);
}

std::string_view name(attempt_outcome outcome) noexcept
{
    static constexpr std::array<std::string_view, 5> names{
        "success", "failure", "timed_out", "shed", "cancelled"};
    return enum_name(names, outcome);
}

struct target_health::impl
{
    using change_list = std::vector<health_change>;

    explicit impl(health_settings initial_settings)
        : settings(initial_settings), chart(load_chart())
    {
    }

    target_record* find(std::string_view target)
    {
        const auto it = by_name.find(std::string(target));
        return it == by_name.end() ? nullptr : &records[it->second];
    }

    void apply_event(target_record& target, health_event event,
                     health_reason reason, change_list& out)
    {
        const auto to = chart.next(static_cast<std::size_t>(target.state),
                                   static_cast<std::size_t>(event));
        if (!to)
        {
            return;
        }
        const auto state = static_cast<health_state>(to.value());
        out.push_back({target.name, target.state, state, reason});
        target.state = state;
    }

    void rotate_windows(target_record& target, time_point now) const
    {
        if (now - target.window_start < settings.window)
        {
            return;
        }
        const bool adjacent = now - target.window_start < 2 * settings.window;
        target.previous_window =
            adjacent ? target.current_window : observation_window();
        target.current_window = observation_window();
        target.window_start = now;
    }

    /// Largest number of ejected targets of a route.
    std::size_t ejection_limit(std::size_t in_service) const
    {
        if (in_service == 0)
        {
            return 0;
        }
        const auto limit = static_cast<std::size_t>(
            settings.max_ejected_fraction * static_cast<double>(in_service));
        return std::min(limit, in_service - 1);
    }

    std::size_t ejected_count(std::size_t route) const
    {
        std::size_t count = 0;
        for (const auto index : by_route[route])
        {
            const auto& target = records[index];
            count += target.in_service && target.state != health_state::healthy;
        }
        return count;
    }

    std::size_t in_service_count(std::size_t route) const
    {
        std::size_t count = 0;
        for (const auto index : by_route[route])
        {
            count += records[index].in_service;
        }
        return count;
    }

    bool may_eject(const target_record& target) const
    {
        return std::all_of(target.routes.begin(), target.routes.end(),
                           [this](std::size_t route) {
                               return ejected_count(route) <
                                      ejection_limit(in_service_count(route));
                           });
    }

    /// Draws the backoff: full jitter under an exponentially growing bound, so
    /// that the VMs of the fleet don't probe a target at the same time.
    void start_backoff(target_record& target, time_point now,
                       random_source& rng) const
    {
        const double bound =
            std::min(to_seconds(settings.base_backoff) *
                         std::exp2(std::min(target.consecutive_ejections, 30U)),
                     to_seconds(settings.max_backoff));
        std::uniform_real_distribution<double> distribution(0, bound);
        target.backoff = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(distribution(rng)));
        target.next_probe_at = now + target.backoff;
        ++target.consecutive_ejections;
    }

    void try_eject(target_record& target, health_reason reason, time_point now,
                   random_source& rng, change_list& out)
    {
        if (target.state != health_state::healthy || !target.in_service ||
            !may_eject(target))
        {
            return;
        }
        apply_event(target, health_event::eject, reason, out);
        target.ejected_at = now;
        start_backoff(target, now, rng);
    }

    void reset_observations(target_record& target)
    {
        target.current_window = observation_window();
        target.previous_window = observation_window();
        target.consecutive_failures = 0;
        target.consecutive_hint_failures = 0;
    }

    void finish_probe(target_record& target, bool succeeded,
                      health_reason reason, time_point now, random_source& rng,
                      change_list& out)
    {
        if (!succeeded)
        {
            apply_event(target, health_event::fail, reason, out);
            start_backoff(target, now, rng);
            return;
        }
        apply_event(target, health_event::succeed, reason, out);
        reset_observations(target);
        target.consecutive_ejections = 0;
        if (target.warm_up > duration(0))
        {
            target.cold_since = now;
        }
    }

    /// Resets the oldest ejections of every route that is over its limit.
    void enforce_ejection_limit(change_list& out)
    {
        for (std::size_t route = 0; route < by_route.size(); ++route)
        {
            const auto limit = ejection_limit(in_service_count(route));
            while (ejected_count(route) > limit)
            {
                auto& target = oldest_ejection(route);
                apply_event(target, health_event::reset,
                            health_reason::ejection_limit, out);
                reset_observations(target);
            }
        }
    }

    target_record& oldest_ejection(std::size_t route)
    {
        target_record* oldest = nullptr;
        for (const auto index : by_route[route])
        {
            auto& target = records[index];
            const bool is_ejected =
                target.in_service && target.state != health_state::healthy;
            if (is_ejected &&
                (!oldest || target.ejected_at < oldest->ejected_at))
            {
                oldest = &target;
            }
        }
        return *oldest;
    }

    void add_sample(target_record& target, attempt_outcome outcome,
                    duration latency, time_point now) const
    {
        const bool succeeded = outcome == attempt_outcome::success;
        rotate_windows(target, now);
        target.current_window.errors(succeeded ? 0.0 : 1.0);
        if (!succeeded)
        {
            ++target.consecutive_failures;
            return;
        }
        const double seconds = to_seconds(latency);
        target.current_window.latency(seconds);
        target.latency_ewma_s =
            target.latency_ewma_s == 0
                ? seconds
                : target.latency_ewma_s +
                      ewma_weight * (seconds - target.latency_ewma_s);
        target.consecutive_failures = 0;
        target.consecutive_hint_failures = 0;
        target.last_success = now;
    }

    /// Ejects the targets of a route whose error rate or latency is far above
    /// the median of the route.
    void eject_outliers(std::size_t route, time_point now, random_source& rng,
                        change_list& out)
    {
        std::vector<double> error_rates;
        std::vector<double> latencies;
        for (const auto index : by_route[route])
        {
            const auto& target = records[index];
            if (!target.in_service ||
                sample_count(target) < settings.min_samples)
            {
                continue;
            }
            error_rates.push_back(error_rate_of(target));
            const auto latency = latency_of(target, settings.min_samples);
            if (latency)
            {
                latencies.push_back(*latency);
            }
        }
        const auto median_error_rate = median(std::move(error_rates));
        const auto median_latency = median(std::move(latencies));
        for (const auto index : by_route[route])
        {
            eject_outlier(records[index], median_error_rate, median_latency,
                          now, rng, out);
        }
    }

    void eject_outlier(target_record& target,
                       std::optional<double> median_error_rate,
                       std::optional<double> median_latency, time_point now,
                       random_source& rng, change_list& out)
    {
        if (sample_count(target) < settings.min_samples)
        {
            return;
        }
        if (median_error_rate &&
            error_rate_of(target) >
                *median_error_rate + settings.error_rate_margin)
        {
            try_eject(target, health_reason::error_rate, now, rng, out);
            return;
        }
        const auto latency = latency_of(target, settings.min_samples);
        if (latency && median_latency &&
            *latency > to_seconds(settings.latency_floor) &&
            *latency > *median_latency * settings.latency_factor)
        {
            try_eject(target, health_reason::latency, now, rng, out);
        }
    }

    void index_routes()
    {
        by_route.assign(config->routes.size(), {});
        by_name.clear();
        for (target_index i = 0; i < records.size(); ++i)
        {
            by_name.emplace(records[i].name, i);
            for (const auto route : records[i].routes)
            {
                by_route[route].push_back(i);
            }
        }
    }

    health_settings settings;
    state_chart chart;
    std::shared_ptr<const configuration> config;
    std::vector<target_record> records; ///< In the order of the configuration.
    std::unordered_map<std::string, target_index> by_name;
    std::vector<std::vector<target_index>> by_route;
};

target_health::target_health(health_settings settings)
    : impl_(std::make_unique<impl>(settings))
{
}

target_health::~target_health() = default;

namespace
{

void apply_configuration(target_record& target, const target_config& configured,
                         const configuration& config)
{
    target.name = configured.name;
    target.warm_up = configured.warm_up;
    target.in_service =
        configured.state == target_state::active && !target.draining;
    target.routes.clear();
    target.probed_by_requests = false;
    for (std::size_t i = 0; i < config.routes.size(); ++i)
    {
        const auto& route = config.routes[i];
        if (std::find(configured.routes.begin(), configured.routes.end(),
                      route.name) != configured.routes.end())
        {
            target.routes.push_back(i);
            target.probed_by_requests |= route.idempotent;
        }
    }
}

} // namespace

std::vector<health_change>
target_health::configure(std::shared_ptr<const configuration> config,
                         time_point now)
{
    const bool first_configuration = impl_->config == nullptr;
    std::vector<target_record> records;
    for (const auto& configured : config->targets)
    {
        auto* existing = impl_->find(configured.name);
        auto& target = records.emplace_back(existing ? std::move(*existing)
                                                     : target_record());
        apply_configuration(target, configured, *config);
        if (!existing && !first_configuration && target.warm_up > duration(0))
        {
            target.cold_since = now;
        }
    }
    impl_->config = std::move(config);
    impl_->records = std::move(records);
    impl_->index_routes();
    std::vector<health_change> out;
    impl_->enforce_ejection_limit(out);
    return out;
}

const configuration* target_health::config() const
{
    return impl_->config.get();
}

std::vector<health_change>
target_health::record(std::string_view target, attempt_outcome outcome,
                      duration latency, time_point now, random_source& rng)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record)
    {
        return out;
    }
    const bool probing = record->state == health_state::probing;
    if (outcome == attempt_outcome::cancelled)
    {
        if (probing)
        {
            // The probe got no answer; it may be repeated at once.
            impl_->apply_event(*record, health_event::fail,
                               health_reason::probe_lost, out);
            record->next_probe_at = now;
        }
        return out;
    }
    if (outcome == attempt_outcome::shed)
    {
        record->last_shed = now;
    }
    else
    {
        impl_->add_sample(*record, outcome, latency, now);
    }
    if (probing)
    {
        // A target that sheds load answers, so it is alive.
        const bool succeeded = outcome == attempt_outcome::success ||
                               outcome == attempt_outcome::shed;
        impl_->finish_probe(*record, succeeded,
                            succeeded ? health_reason::probe_succeeded
                                      : health_reason::probe_failed,
                            now, rng, out);
        return out;
    }
    if (record->consecutive_failures >= impl_->settings.consecutive_failures)
    {
        impl_->try_eject(*record, health_reason::consecutive_failures, now, rng,
                         out);
    }
    return out;
}

std::vector<health_change> target_health::record_hint(std::string_view target,
                                                      const load_hint& hint,
                                                      time_point requested_at)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record || (record->hint && requested_at <= record->hint_requested_at))
    {
        return out;
    }
    record->hint = hint;
    record->hint_requested_at = requested_at;
    record->consecutive_hint_failures = 0;
    record->draining = hint.draining;
    if (!hint.cold)
    {
        if (record->cold_since && requested_at > *record->cold_since)
        {
            record->cold_since.reset();
        }
    }
    else if (!record->cold_since && record->warm_up > duration(0))
    {
        record->cold_since = requested_at;
    }
    const auto* configured = impl_->config->find_target(record->name);
    record->in_service =
        configured->state == target_state::active && !record->draining;
    impl_->enforce_ejection_limit(out);
    return out;
}

std::vector<health_change>
target_health::record_unreachable(std::string_view target, time_point now,
                                  random_source& rng)
{
    std::vector<health_change> out;
    auto* record = impl_->find(target);
    if (!record)
    {
        return out;
    }
    ++record->consecutive_hint_failures;
    const bool recently_succeeded =
        record->last_success &&
        now - *record->last_success < impl_->settings.recent_success_window;
    if (record->consecutive_hint_failures >=
            impl_->settings.consecutive_hint_failures &&
        !recently_succeeded)
    {
        impl_->try_eject(*record, health_reason::unreachable, now, rng, out);
    }
    return out;
}

std::vector<health_change> target_health::evaluate(time_point now,
                                                   random_source& rng)
{
    std::vector<health_change> out;
    for (auto& target : impl_->records)
    {
        impl_->rotate_windows(target, now);
        if (target.state == health_state::probing &&
            now - target.probe_started >= impl_->settings.probe_timeout)
        {
            impl_->finish_probe(target, false, health_reason::probe_lost, now,
                                rng, out);
        }
    }
    for (std::size_t route = 0; route < impl_->by_route.size(); ++route)
    {
        impl_->eject_outliers(route, now, rng, out);
    }
    return out;
}

std::optional<health_change> target_health::begin_probe(std::string_view target,
                                                        time_point now)
{
    auto* record = impl_->find(target);
    if (!record || record->state != health_state::ejected ||
        !record->in_service || now < record->next_probe_at)
    {
        return std::nullopt;
    }
    std::vector<health_change> out;
    impl_->apply_event(*record, health_event::probe, health_reason::probe_sent,
                       out);
    record->probe_started = now;
    return out.front();
}

std::vector<std::string>
target_health::endpoint_probes_due(time_point now) const
{
    std::vector<std::string> out;
    for (target_index i = 0; i < impl_->records.size(); ++i)
    {
        if (probe_due(i, now) && !impl_->records[i].probed_by_requests)
        {
            out.push_back(impl_->records[i].name);
        }
    }
    return out;
}

std::optional<target_observation>
target_health::observation(std::string_view target, time_point now) const
{
    const auto* record = impl_->find(target);
    if (!record)
    {
        return std::nullopt;
    }
    target_observation out;
    out.state = record->state;
    out.leaving =
        impl_->config->find_target(target)->state != target_state::active;
    out.draining = record->draining;
    out.samples = sample_count(*record);
    out.error_rate = error_rate_of(*record);
    out.latency_ewma_s = record->latency_ewma_s;
    out.latency_quantile_s = latency_of(*record, 1).value_or(0);
    out.consecutive_failures = record->consecutive_failures;
    out.hint = record->hint;
    out.hint_age = record->hint ? now - record->hint_requested_at : duration(0);
    out.backoff = record->backoff;
    return out;
}

bool target_health::eligible(target_index target) const
{
    const auto& record = impl_->records[target];
    return record.in_service && record.state == health_state::healthy;
}

bool target_health::probe_due(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    return record.in_service && record.state == health_state::ejected &&
           now >= record.next_probe_at;
}

double target_health::warm_fraction(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    if (!record.cold_since || record.warm_up <= duration(0))
    {
        return 1;
    }
    const double fraction =
        to_seconds(now - *record.cold_since) / to_seconds(record.warm_up);
    return std::clamp(fraction, 0.0, 1.0);
}

double target_health::reported_load(target_index target,
                                    std::uint32_t own_in_flight,
                                    time_point now) const
{
    const auto& record = impl_->records[target];
    if (!record.hint || record.hint->slots == 0)
    {
        return 0;
    }
    const double age_s =
        std::max(0.0, to_seconds(now - record.hint_requested_at));
    if (age_s > max_hint_age_s)
    {
        return 0;
    }
    const auto others = record.hint->running > own_in_flight
                            ? record.hint->running - own_in_flight
                            : 0;
    const double load =
        std::min(1.0, static_cast<double>(others) /
                          static_cast<double>(record.hint->slots));
    return load * std::exp2(-age_s);
}

double target_health::failure_penalty(target_index target, time_point now) const
{
    const auto& record = impl_->records[target];
    const bool shed =
        record.last_shed && now - *record.last_shed < shed_penalty_duration;
    return penalty_per_failure * std::min(record.consecutive_failures, 10U) +
           (shed ? shed_penalty : 0);
}

} // namespace siskinflow::routing
