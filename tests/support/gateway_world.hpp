/// @file
/// @brief A small platform on loopback with gateways as separate processes.
#pragma once

#include "kv_service.hpp"
#include "loopback_proxy.hpp"
#include "platform_target.hpp"
#include "processes.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

/// @brief Where one gateway process listens.
struct gateway_ports
{
    std::uint16_t requests = 0;
    std::uint16_t peers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t directory = 0;
    std::uint16_t metrics = 0;
};

/// @brief What a caller sends.
struct caller_request
{
    std::string path = "/maps/1";
    std::string method = "GET";
    std::string key = "key-of-acme";
    std::string id; ///< Drawn if empty.
    std::string object = "1";
    std::string body;
    std::chrono::milliseconds patience{3000};
    bool kept_connection = false; ///< One that served an earlier request.
};

/// @brief Options of an ordinary target with this id.
inline standin::platform_target_options named(const std::string& id)
{
    standin::platform_target_options out;
    out.id = id;
    return out;
}

/// @brief How gateways are connected with callers, targets and the store.
enum class link_kind : std::uint8_t
{
    direct,
    proxied, ///< Each through a proxy, which can disturb it.
};

/// @brief Store and targets run in the test's own loop, gateways in processes.
/// Routes: `/maps/` is idempotent, `/orders/` is not.
class gateway_world
{
public:
    /// @brief Start of a target's first incarnation, in Unix milliseconds.
    static constexpr std::int64_t first_born = 1000;

    /// @param vms gateway processes; they are started by `start`
    explicit gateway_world(std::size_t vms,
                           link_kind links = link_kind::direct);
    ~gateway_world();

    /// @brief Starts the gateway of an index, or starts it again.
    void start(std::size_t vm);

    /// @brief Starts all gateways and waits until they are ready.
    bool start_all();

    /// @brief Writes a configuration of the next version.
    /// @param extra fields that replace those of the first route
    void configure(const nlohmann::json& extra = nlohmann::json::object());

    /// @brief Starts and registers a target.
    standin::platform_target& add_target(const std::string& service,
                                         standin::platform_target_options);

    /// @brief Registers a target that the test itself runs on a port.
    void add_entry(const std::string& id, const std::string& service,
                   std::uint16_t port, unsigned slots = 6,
                   const std::string& state = "ready");

    /// @brief Removes a target's entry.
    void remove_entry(const std::string& id)
    {
        store_->remove("servers/" + id);
    }

    /// @brief Writes a target's entry again.
    /// @param born start of the target's incarnation, in Unix milliseconds
    void register_target(const std::string& id, const std::string& state,
                         std::int64_t born = first_born);

    /// @brief Starts a request; the answer goes to `done`.
    std::shared_ptr<siskinflow::net::http_call>
    send(std::size_t vm, const caller_request& request,
         std::function<void(siskinflow::net::fetch_result)> done);

    /// @brief Sends a request and waits for the answer.
    siskinflow::net::fetch_result call(std::size_t vm,
                                       const caller_request& request = {});

    /// @brief Status of the readiness check, 0 without an answer.
    int readiness(std::size_t vm);

    /// @brief Addresses that the directory of a VM names.
    std::vector<std::string> lookup(std::size_t vm);

    /// @brief Runs the loop until a condition holds.
    bool until(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(10));

    /// @brief Runs the loop for a time.
    void run_for(std::chrono::milliseconds time);

    standin::kv_service& store()
    {
        return *store_;
    }
    processes::child& vm(std::size_t index)
    {
        return *vms_.at(index);
    }
    const gateway_ports& ports(std::size_t index) const
    {
        return ports_.at(index);
    }
    processes::http& caller()
    {
        return http_;
    }
    /// @brief Standard output of a gateway so far.
    std::string log(std::size_t vm) const;

    /// @brief Proxies of a proxied world.
    loopback_proxy& caller_link(std::size_t vm)
    {
        return *caller_links_.at(vm);
    }
    loopback_proxy& target_link(const std::string& id)
    {
        return *target_links_.at(id);
    }
    loopback_proxy& store_link()
    {
        return *store_link_;
    }

    /// @brief Cuts the store from all gateways of a proxied world, or heals it.
    void cut_store(bool is_cut)
    {
        for (const auto which : {direction::to_server, direction::to_client})
        {
            store_link_->cut(which, is_cut);
        }
    }

    /// @brief Runs of a request id over all targets.
    int runs(const std::string& id) const;

    /// @brief Adds a flag for gateways started from now on.
    void add_flag(const std::string& flag)
    {
        flags_.push_back(flag);
    }

    /// @brief Runs another build of the gateway from now on.
    /// @param path absolute path of the program
    void gateway_program(std::string path)
    {
        gateway_program_ = std::move(path);
    }

    /// @brief Makes the configurations larger from the next version on.
    void add_unused_routes(std::size_t count)
    {
        unused_routes_ = count;
    }

    /// @brief Sets the keys of the organisation from the next version on.
    void set_keys(std::vector<std::string> keys)
    {
        keys_ = std::move(keys);
    }

    /// @brief Adds an organisation with one key, `key-of-` and its name, from
    /// the next version on.
    void add_organisation(const std::string& name, double rate_per_s,
                          double burst);

    /// @brief Adds a service with a route `/name/` that is not idempotent, from
    /// the next version on.
    void add_order_service(std::string name)
    {
        order_services_.push_back(std::move(name));
    }

    /// @brief Sets the timeout of orders from the next version on.
    void set_order_timeout(std::chrono::milliseconds value)
    {
        order_timeout_ = value;
    }

    /// @brief Sets the limit of bodies from the next version on.
    void set_max_body_bytes(std::size_t value)
    {
        max_body_bytes_ = value;
    }

    /// @brief Replaces the store's address for gateways started from now on.
    void store_port(std::uint16_t port)
    {
        store_port_ = port;
    }
    std::uint16_t store_port() const
    {
        return store_port_;
    }

private:
    struct target_entry
    {
        std::string service;
        std::uint16_t port = 0;
        unsigned slots = 0;
        std::string state;
        std::int64_t born = first_born;
    };
    void write_entry(const std::string& id, const target_entry& entry);

    siskinflow::boot_clock time_;
    link_kind links_;
    processes::http http_;
    std::unique_ptr<standin::kv_service> store_;
    std::unique_ptr<siskinflow::net::http_server> store_server_;
    std::shared_ptr<void> ticking_;
    std::uint16_t store_port_ = 0;
    std::vector<gateway_ports> ports_;
    std::vector<std::unique_ptr<processes::child>> vms_;
    std::vector<std::string> logs_;
    std::vector<std::string> flags_;
    std::map<std::string, std::unique_ptr<standin::platform_target>> targets_;
    std::map<std::string, std::string> services_; ///< By target.
    std::vector<std::unique_ptr<loopback_proxy>> caller_links_;
    std::map<std::string, std::unique_ptr<loopback_proxy>> target_links_;
    std::unique_ptr<loopback_proxy> store_link_;
    std::string gateway_program_ = "siskinflow_gateway";
    std::vector<std::string> keys_ = {"key-of-acme"};
    std::vector<nlohmann::json> other_organisations_;
    std::vector<std::string> order_services_;
    std::size_t unused_routes_ = 0;
    std::chrono::milliseconds order_timeout_{3000};
    std::size_t max_body_bytes_ = 65536;
    unsigned version_ = 0;
    unsigned last_request_ = 0;
};
