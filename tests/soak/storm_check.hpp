/// @file
/// @brief A storm of large configurations behind a VM that was paused.
#pragma once

#include "promise_checker.hpp"

#include <csignal>

namespace soak
{

/// @brief Writes large configurations in quick succession over a slow link to
/// the store while one VM is paused and wakes, and checks during the storm
/// which keys that VM honours.
class storm_check
{
public:
    storm_check(gateway_world& world, promise_checker& promises, std::size_t vm)
        : world_(world), promises_(promises), vm_(vm)
    {
    }

    void run()
    {
        world_.add_unused_routes(unused_routes);
        world_.set_keys({kept_key, withdrawn_key});
        world_.configure();
        world_.run_for(contact_time);
        world_.store_link().delay(part_delay);
        world_.vm(vm_).signal(SIGSTOP);
        auto storm = world_.caller().loop().every(version_gap, [this]
                                                  { world_.configure(); });
        world_.run_for(pause_time);
        world_.vm(vm_).signal(SIGCONT);
        world_.set_keys({kept_key, added_key});
        world_.run_for(contact_time + config_time);
        require_status(withdrawn_key, 401, "a withdrawn key is honoured");
        require_status(added_key, 200, "a key that was added is refused");
        storm.reset();
        world_.store_link().delay(0ms);
        world_.set_keys({kept_key});
        world_.add_unused_routes(0);
        world_.configure();
        world_.run_for(contact_time);
    }

private:
    static constexpr const char* kept_key = "key-of-acme";
    static constexpr const char* withdrawn_key = "key-to-withdraw";
    static constexpr const char* added_key = "key-of-the-storm";
    /// Each version takes less than the gap on the link, and a dozen take more.
    static constexpr std::size_t unused_routes = 400;
    static constexpr std::chrono::milliseconds version_gap{330};
    static constexpr std::chrono::milliseconds part_delay{15};
    static constexpr std::chrono::milliseconds pause_time{4000};
    /// A configuration is in force within this time on a VM in touch.
    static constexpr std::chrono::milliseconds config_time{2500};

    void require_status(const std::string& key, int status,
                        const std::string& otherwise)
    {
        caller_request request;
        request.id = "look-in-a-storm-with-" + key;
        request.key = key;
        promises_.on_sent(request, vm_, world_.caller().loop().now());
        const auto got = world_.call(vm_, request);
        const int seen = got.outcome == net::call_outcome::complete
                             ? got.response.status
                             : 0;
        promises_.require(seen == status, request,
                          otherwise + " in a storm: status " +
                              std::to_string(seen));
    }

    gateway_world& world_;
    promise_checker& promises_;
    std::size_t vm_;
};

} // namespace soak
