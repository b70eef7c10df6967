#include <siskinflow/routing/shift_limiter.hpp>

#include <algorithm>
#include <cmath>

namespace siskinflow::routing
{

namespace
{

// Of the moving averages and of the decay of an unused ceiling.
constexpr double time_constant_s = 1;
// Largest weight of one request in the measured fraction, so that a few
// requests per second don't move the fraction to 0 or 1.
constexpr double max_sample_weight = 1.0 / 32;
// Longest time for which a ceiling grows without demand, so that it does not
// reach 100% while the route is idle.
constexpr double max_idle_growth_s = 1;
// Credit is kept for the requests of this time. Requests for another region
// arrive at random: with a steady 20% of 200 requests per second for it and a
// cap of 20 points/s, 5% were refused without kept credit, 0.1% with 0.25 s.
constexpr double credit_window_s = 0.25;
// A ceiling counts as unused when its credit is within this of the maximum.
constexpr double full_credit_margin = 0.5;
// Rounding errors of the sum of many ceilings must not refuse a request that
// the exact sum allows.
constexpr double rounding_tolerance = 1e-9;

struct region_state
{
    std::string region;
    double ceiling = 0;           ///< 0 to 1.
    double credit = 1;            ///< Requests.
    double measured_fraction = 0; ///< Of the requests, 0 to 1.

    bool exhausted() const
    {
        return credit < 1 - rounding_tolerance;
    }
};

} // namespace

struct shift_limiter::impl
{
    region_state* find(std::string_view region)
    {
        const auto it = std::find_if(regions.begin(), regions.end(),
                                     [region](const auto& state)
                                     { return state.region == region; });
        return it == regions.end() ? nullptr : &*it;
    }

    /// The state of a region after `seconds` without events.
    region_state state_after(region_state state, double seconds) const
    {
        if (state.exhausted())
        {
            const double growth =
                has_demand() ? seconds : std::min(seconds, max_idle_growth_s);
            const double old_ceiling = state.ceiling;
            state.ceiling = std::min(1.0, old_ceiling + cap_per_s * growth);
            state.credit += waiting_requests * (state.ceiling - old_ceiling);
            return state;
        }
        const double min_ceiling =
            state.measured_fraction +
            fraction_uncertainty(state.measured_fraction);
        const bool unused =
            state.credit >= max_credit(state) - full_credit_margin;
        if (unused && min_ceiling < state.ceiling)
        {
            const double decay = std::exp(-seconds / time_constant_s);
            state.ceiling = min_ceiling + (state.ceiling - min_ceiling) * decay;
            state.credit = std::min(state.credit, max_credit(state));
        }
        return state;
    }

    double max_credit(const region_state& state) const
    {
        return 1 + state.ceiling *
                       (waiting_requests + request_rate * credit_window_s);
    }

    bool has_demand() const
    {
        return waiting_requests > 0 || last_refused_by_cap;
    }

    /// Two standard deviations of a measured fraction: a moving average
    /// with weight w has the variance of 2/w independent requests.
    double fraction_uncertainty(double fraction) const
    {
        return 2 * std::sqrt(std::max(0.0, fraction * (1 - fraction)) *
                             last_weight / 2);
    }

    double elapsed(time_point now) const
    {
        return std::max(0.0, to_seconds(now - last_update));
    }

    void advance(time_point now)
    {
        const double seconds = elapsed(now);
        for (auto& state : regions)
        {
            state = state_after(state, seconds);
        }
        last_update = std::max(last_update, now);
    }

    void limit_credit()
    {
        for (auto& state : regions)
        {
            state.credit = std::min(state.credit, max_credit(state));
        }
    }

    /// Updates the measured fractions after a request to one region, or to none
    /// if `destination` is null.
    void update_fractions(const region_state* destination, time_point now)
    {
        const double seconds =
            std::max(0.0, to_seconds(now - last_measurement));
        last_weight = std::min(1 - std::exp(-seconds / time_constant_s),
                               max_sample_weight);
        last_measurement = std::max(last_measurement, now);
        for (auto& state : regions)
        {
            const double sample = &state == destination ? 1 : 0;
            state.measured_fraction +=
                last_weight * (sample - state.measured_fraction);
        }
    }

    void update_request_rate(time_point now)
    {
        const double seconds = std::max(0.0, to_seconds(now - last_offer));
        request_rate = request_rate * std::exp(-seconds / time_constant_s) + 1;
        last_offer = std::max(last_offer, now);
    }

    void remove_waiting()
    {
        waiting_requests = std::max(0.0, waiting_requests - 1);
        limit_credit();
    }

    std::string home;
    double cap_per_s = 1; ///< Fraction per second.
    /// Requests offered and neither sent nor withdrawn.
    double waiting_requests = 0;
    /// Requests offered, each counted with a weight that decays with
    /// `time_constant_s`; an estimate of requests per second.
    double request_rate = 0;
    /// The last request was refused by the cap.
    bool last_refused_by_cap = false;
    double last_weight = max_sample_weight; ///< Of the last request.
    time_point last_update{};
    time_point last_measurement{};
    time_point last_offer{};
    std::vector<region_state> regions;
};

shift_limiter::shift_limiter(std::string home,
                             const std::vector<std::string>& regions,
                             double cap_percent_per_s, time_point now)
    : impl_(std::make_unique<impl>())
{
    impl_->home = std::move(home);
    impl_->last_update = now;
    impl_->last_measurement = now;
    impl_->last_offer = now;
    configure(regions, cap_percent_per_s, now);
    const bool has_home = impl_->find(impl_->home) != nullptr;
    for (auto& state : impl_->regions)
    {
        if (!has_home || state.region == impl_->home)
        {
            state.ceiling = 1;
            state.measured_fraction = 1;
        }
    }
}

shift_limiter::~shift_limiter() = default;
shift_limiter::shift_limiter(shift_limiter&&) noexcept = default;
shift_limiter& shift_limiter::operator=(shift_limiter&&) noexcept = default;

void shift_limiter::configure(const std::vector<std::string>& regions,
                              double cap_percent_per_s, time_point now)
{
    impl_->advance(now);
    impl_->cap_per_s = cap_percent_per_s / 100;
    std::erase_if(impl_->regions,
                  [&](const auto& state)
                  {
                      return std::find(regions.begin(), regions.end(),
                                       state.region) == regions.end();
                  });
    for (const auto& region : regions)
    {
        if (!impl_->find(region))
        {
            impl_->regions.push_back({region});
        }
    }
}

void shift_limiter::offered(time_point now)
{
    impl_->advance(now);
    ++impl_->waiting_requests;
    impl_->update_request_rate(now);
    for (auto& state : impl_->regions)
    {
        state.credit += state.ceiling;
    }
    impl_->limit_credit();
}

bool shift_limiter::allows(std::string_view region, time_point now) const
{
    const auto* state = impl_->find(region);
    return state &&
           !impl_->state_after(*state, impl_->elapsed(now)).exhausted();
}

void shift_limiter::sent(std::string_view region, time_point now)
{
    impl_->advance(now);
    auto* state = impl_->find(region);
    if (state)
    {
        state->credit -= 1;
    }
    impl_->last_refused_by_cap = false;
    impl_->update_fractions(state, now);
    impl_->remove_waiting();
}

void shift_limiter::withdrawn(bool shift_capped, time_point now)
{
    impl_->advance(now);
    impl_->last_refused_by_cap = shift_capped;
    if (shift_capped)
    {
        impl_->update_fractions(nullptr, now);
    }
    impl_->remove_waiting();
}

double shift_limiter::ceiling(std::string_view region, time_point now) const
{
    const auto* state = impl_->find(region);
    return state ? impl_->state_after(*state, impl_->elapsed(now)).ceiling : 0;
}

} // namespace siskinflow::routing
