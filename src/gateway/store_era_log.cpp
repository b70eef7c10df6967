#include "store_era_log.hpp"

namespace siskinflow::gateway
{

namespace
{

constexpr duration line_interval = std::chrono::minutes(1);

} // namespace

store_era_log::store_era_log(lease_store& store, const clock& time,
                             event_log& log, metrics& metric_set)
    : store_(store), time_(time), log_(log), metric_set_(metric_set)
{
    store_.on_new_era(
        [this](std::uint64_t era) {
            log_.write(event_id::store_era_begun, {{"era", era}});
        });
    store_.on_old_era([this](std::uint64_t era) { on_old_era(era); });
}

void store_era_log::update_gauge()
{
    metric_set_.gauge(metric_id::store_era)
        .set(static_cast<double>(store_.era()));
}

void store_era_log::on_old_era(std::uint64_t era)
{
    metric_set_.counter(metric_id::store_old_era_answers).add();
    if (time_.now() >= next_line_at_)
    {
        next_line_at_ = time_.now() + line_interval;
        log_.write(event_id::store_old_answer,
                   {{"era", era}, {"known", store_.era()}});
    }
}

} // namespace siskinflow::gateway
