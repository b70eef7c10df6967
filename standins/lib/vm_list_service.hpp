/// @file
/// @brief The platform's list of live and leaving VMs, served with a delay.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/http_server.hpp>

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace standin
{

/// @brief Answers GET /v1/vms with the list as it was some time ago, and
/// replaces it by POST /standin/vms with a list of the same form.
class vm_list_service
{
public:
    /// @param time the current time
    /// @param lag age of the list that callers see
    vm_list_service(const siskinflow::clock& time, siskinflow::duration lag);

    /// @brief Answers a request.
    siskinflow::net::http_response handle(std::string_view method,
                                          std::string_view path,
                                          std::string_view body);

private:
    /// State ("live" or "leaving") by name of the VM.
    using vm_states = std::map<std::string, std::string>;

    siskinflow::net::http_response replace_list(std::string_view body);
    const vm_states& visible_states();

    const siskinflow::clock& time_;
    siskinflow::duration lag_;
    /// Versions of the list; the first one is visible.
    std::deque<std::pair<siskinflow::time_point, vm_states>> versions_;
    std::uint64_t calls_ = 0;
};

} // namespace standin
