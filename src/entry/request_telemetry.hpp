/// @file
/// @brief Translates events of the data path into metrics and log events.
#pragma once

#include <siskinflow/entry/request.hpp>
#include <siskinflow/telemetry/log.hpp>
#include <siskinflow/telemetry/metrics.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace siskinflow::entry
{

/// @brief `data_path_observer` of the entry daemon.
class request_telemetry final : public data_path_observer
{
public:
    request_telemetry(metrics& registry, event_log& log, const clock& time);

    /// @brief Called for each record, after metrics and log.
    void on_record(std::function<void(const request_record&)> callback);

    /// @brief Called for each request for a known route.
    void on_arrival(std::function<void(const request&)> callback);

    void on_received(const request& arrived) override;
    void on_finished(const request_record& record) override;
    void on_retry(const request& repeated, retry_reason reason) override;
    void on_permit(permit_disposition disposition) override;
    void on_health_change(const routing::health_change& change) override;

private:
    metric_counter& request_counter(const request_record& record);

    metrics& registry_;
    event_log& log_;
    const clock& time_;
    std::function<void(const request_record&)> on_record_;
    std::function<void(const request&)> on_arrival_;
    std::unordered_map<std::string, metric_counter*> request_counters_;
    std::unordered_map<std::string, metric_latency*> latencies_;
    std::map<std::string, time_point> ejected_at_;
};

} // namespace siskinflow::entry
