/// @file
/// @brief Client of the platform's list of live and leaving VMs.
#pragma once

#include <siskinflow/core/clock.hpp>
#include <siskinflow/net/endpoint.hpp>
#include <siskinflow/net/http_client.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinflow
{

/// @brief State of a VM according to the platform.
enum class vm_state : std::uint8_t
{
    live,
    leaving,
};

/// @brief Name of a state in snake_case.
std::string_view name(vm_state state) noexcept;

/// @brief VMs by name.
using vm_states = std::map<std::string, vm_state>;

/// @brief Parses the document of `GET /v1/vms`. Unknown states are an error,
/// because a VM missing from the result counts as absent.
/// @return the VMs, or `errc::parse_error` naming the field
result<vm_states> parse_vm_list(std::string_view json);

/// @brief Limits of the polling.
struct vm_list_options
{
    duration interval = std::chrono::seconds(1);
    duration timeout = std::chrono::seconds(2);
    std::size_t max_bytes = 1024 * 1024;
};

/// @brief Polls the platform's VM list; one call at a time.
class vm_list
{
public:
    /// @param caller makes the calls; must outlive the list
    vm_list(net::http_caller& caller, const clock& time, net::endpoint server,
            const vm_list_options& options = {});
    ~vm_list();

    /// @brief Starts a call if one is due.
    void tick();

    /// @brief The last valid answer; nothing before the first one.
    const std::optional<vm_states>& vms() const;

    /// @brief When the call that returned the last valid answer was sent.
    std::optional<time_point> requested_at() const;

    /// @brief Calls that failed or returned a malformed document.
    std::uint64_t failures() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace siskinflow
