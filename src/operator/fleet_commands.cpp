#include "command.hpp"
#include "report_text.hpp"
#include <siskinflow/core/ids.hpp>

#include <algorithm>
#include <istream>
#include <sstream>

namespace siskinflow::operator_detail
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_report_bytes = 16 * 1024 * 1024;
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr std::size_t name_column = 16;
constexpr std::size_t value_column = 10;

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size() + 1), ' ');
    return text;
}

const char* yes_no(bool value)
{
    return value ? "yes" : "no";
}

std::string unresponsive_text(const fleet_view& view)
{
    std::string out;
    for (const auto& vm : view.unresponsive)
    {
        out += "No answer from " + net::to_string(vm.address) + ": " +
               vm.reason + "\n";
    }
    return out;
}

/// @brief Shows the release note in force and the state of each VM.
class status_command final : public command
{
public:
    using command::command;

    void start() override
    {
        resolve_entries(
            [this] {
                query_status([this](fleet_view view)
                             { show(std::move(view)); });
            });
    }

private:
    void show(fleet_view view)
    {
        // Answers arrive in any order.
        std::sort(view.statuses.begin(), view.statuses.end(),
                  [](const vm_status& left, const vm_status& right)
                  { return left.vm < right.vm; });
        if (view.statuses.empty())
        {
            fail_with(exit_code::unavailable,
                      "no entry VM answered; check --entry and the network\n" +
                          unresponsive_text(view),
                      {{"silent", unresponsive_json(view)}});
            return;
        }
        finish(exit_code::ok, document(view), text(view));
    }

    static json in_force_json(const fleet_view& view)
    {
        const vm_status* newest = view.newest_in_force();
        if (newest == nullptr)
        {
            return nullptr;
        }
        return {{"note_id", newest->note_id},
                {"sequence", newest->config_sequence},
                {"revision", newest->config_revision},
                {"since_ms", newest->since_ms}};
    }

    static json document(const fleet_view& view)
    {
        json vms = json::array();
        for (const auto& vm : view.statuses)
        {
            vms.push_back({{"vm", vm.vm},
                           {"incarnation", vm.incarnation},
                           {"state", vm.state},
                           {"fresh", vm.fresh},
                           {"revision", vm.config_revision},
                           {"sequence", vm.config_sequence},
                           {"in_force", vm.in_force},
                           {"epoch", vm.epoch}});
        }
        return {{"in_force", in_force_json(view)},
                {"newest_revision", view.newest_known()},
                {"vms", std::move(vms)},
                {"lagging", view.lagging(view.newest_known())},
                {"silent", unresponsive_json(view)}};
    }

    static std::string in_force_text(const fleet_view& view)
    {
        const vm_status* newest = view.newest_in_force();
        if (newest == nullptr)
        {
            return view.newest_known() == 0
                       ? "In force: nothing; no VM knows a release note yet\n"
                       : "In force: nothing that a VM knows of\n";
        }
        std::string out =
            "In force: note '" + newest->note_id + "', sequence " +
            std::to_string(newest->config_sequence) + ", revision " +
            std::to_string(newest->config_revision);
        if (newest->since_ms >= 0)
        {
            out += ", for " + std::to_string(newest->since_ms) + " ms on " +
                   newest->vm;
        }
        return out + "\n";
    }

    static std::string text(const fleet_view& view)
    {
        std::string out = in_force_text(view);
        const auto known = view.newest_known();
        if (known != 0 && !view.in_force(known))
        {
            out += "Pending: revision " + std::to_string(known) +
                   " is known but not yet in force\n";
        }
        out += padded("VM", name_column) + padded("state", value_column) +
               padded("fresh", value_column) +
               padded("revision", value_column) + "in force\n";
        for (const auto& vm : view.statuses)
        {
            out += padded(vm.vm, name_column) + padded(vm.state, value_column) +
                   padded(yes_no(vm.fresh), value_column) +
                   padded(std::to_string(vm.config_revision), value_column) +
                   yes_no(vm.in_force) + "\n";
        }
        out += unresponsive_text(view);
        const auto lagging_vms = view.lagging(known);
        if (!lagging_vms.empty())
        {
            out += "Lagging VMs: " + join_names(lagging_vms) + "\n";
        }
        return out;
    }
};

/// @brief Polls until no VM runs requests on a withdrawn target.
class drain_command final : public command
{
public:
    drain_command(command_environment environment, std::string target,
                  exit_handler done)
        : command(std::move(environment), std::move(done)),
          target_(std::move(target))
    {
    }

    void start() override
    {
        started_at_ = environment_.time.now();
        resolve_entries([this] { poll(); });
    }

private:
    /// @brief State of the target, summarized over all VMs.
    struct drain_state
    {
        bool known = false;
        bool active = false; ///< A VM still sends it new requests.
        std::int64_t in_flight = 0;
        std::vector<std::string> busy;         ///< VMs with running requests.
        std::vector<std::string> unresponsive; ///< Members without an answer.
    };

    void poll()
    {
        query_status([this](const fleet_view& view) { on_status(view); });
    }

    drain_state summarize(const fleet_view& view) const
    {
        drain_state out;
        for (const auto& vm : view.statuses)
        {
            for (const auto& target : vm.targets)
            {
                if (target.name == target_)
                {
                    add(out, vm, target);
                }
            }
        }
        for (const auto& vm : view.vms())
        {
            if (view.find(vm) == nullptr)
            {
                out.unresponsive.push_back(vm);
            }
        }
        for (const auto& vm : view.unresponsive)
        {
            out.unresponsive.push_back(net::to_string(vm.address));
        }
        return out;
    }

    static void add(drain_state& out, const vm_status& vm,
                    const reported_target& target)
    {
        out.known = true;
        out.active = out.active || target.state == "active";
        out.in_flight += target.in_flight;
        // `draining_done` is always false for an active target, so it is
        // ignored.
        const bool draining =
            target.state != "active" && target.draining_done == false;
        if (target.in_flight > 0 || draining)
        {
            out.busy.push_back(vm.vm);
        }
    }

    void on_status(const fleet_view& fleet)
    {
        const duration elapsed = environment_.time.now() - started_at_;
        const drain_state state = summarize(fleet);
        if (fleet.statuses.empty() && !had_response_)
        {
            fail_with(exit_code::unavailable,
                      "no entry VM answered; check --entry and the network\n" +
                          unresponsive_text(fleet));
            return;
        }
        if (!fleet.statuses.empty() && !state.known)
        {
            fail_with(exit_code::usage,
                      "target '" + target_ +
                          "' is not in the configuration of any entry VM that "
                          "answered; check the name");
            return;
        }
        had_response_ = true;
        if (is_drained(state))
        {
            finish(exit_code::ok, document(state),
                   "Target '" + target_ +
                       "' is drained: no VM runs requests "
                       "on it.\n");
            return;
        }
        if (elapsed + environment_.poll_interval > environment_.max_wait)
        {
            fail_with(exit_code::pending, "not drained yet: " + text(state),
                      document(state));
            return;
        }
        report_progress(text(state));
        environment_.run_after(environment_.poll_interval,
                               [this, keep_alive = shared_from_this()]
                               { poll(); });
    }

    static bool is_drained(const drain_state& state)
    {
        return state.known && !state.active && state.busy.empty() &&
               state.unresponsive.empty();
    }

    void report_progress(const std::string& line)
    {
        if (line != last_progress_)
        {
            last_progress_ = line;
            progress(line);
        }
    }

    std::string text(const drain_state& state) const
    {
        std::string out = "target '" + target_ +
                          "': " + std::to_string(state.in_flight) +
                          " requests are running";
        out += state.busy.empty() ? "" : " (" + join_names(state.busy) + ")";
        if (state.active)
        {
            out += "; at least one VM still sends it requests, withdraw it by "
                   "a note first";
        }
        if (!state.unresponsive.empty())
        {
            out += "; not heard from " + join_names(state.unresponsive);
        }
        return out;
    }

    json document(const drain_state& state) const
    {
        return {{"target", target_},      {"drained", is_drained(state)},
                {"active", state.active}, {"in_flight", state.in_flight},
                {"busy", state.busy},     {"unheard", state.unresponsive}};
    }

    std::string target_;
    time_point started_at_;
    bool had_response_ = false;
    std::string last_progress_;
};

/// @brief Prints the final report of a route from the first VM that has it.
class report_command final : public command
{
public:
    report_command(command_environment environment, std::string route,
                   exit_handler done)
        : command(std::move(environment), std::move(done)),
          route_(std::move(route))
    {
    }

    void start() override
    {
        resolve_entries([this] { query_next_entry(); });
    }

private:
    void query_next_entry()
    {
        if (next_entry_ == environment_.entries.size())
        {
            fail_with(exit_code::unavailable,
                      "no entry VM gave the report of route '" + route_ +
                          "'\n" + failures_);
            return;
        }
        const auto& entry = environment_.entries[next_entry_++];
        net::client_request request;
        request.peer = entry;
        request.target = "/siskinflow/v1/report?route=" + route_;
        request.timeout = environment_.call_timeout;
        call_ = net::fetch(environment_.caller, std::move(request),
                           max_report_bytes,
                           [this, keep_alive = shared_from_this(),
                            entry](const net::fetch_result& answer)
                           { on_answer(entry, answer); });
    }

    void on_answer(const net::endpoint& entry, const net::fetch_result& answer)
    {
        const auto finished_call = std::move(call_);
        const auto& response = answer.response;
        const bool complete = answer.outcome == net::call_outcome::complete;
        if (complete && response.status == http_not_found)
        {
            fail_with(exit_code::usage,
                      "route '" + route_ + "' has no report; check the name");
            return;
        }
        if (complete && response.status == http_ok && show(response.body))
        {
            return;
        }
        failures_ += net::to_string(entry) + ": " +
                     (complete ? "status " + std::to_string(response.status)
                               : std::string(name(answer.outcome))) +
                     "\n";
        query_next_entry();
    }

    /// @return whether the body is a report
    bool show(const std::string& body)
    {
        json document = json::parse(body, nullptr, false);
        if (!document.is_object())
        {
            return false;
        }
        const std::string text = report_text(document);
        finish(exit_code::ok, {{"report", std::move(document)}}, text);
        return true;
    }

    std::string route_;
    std::size_t next_entry_ = 0;
    std::string failures_;
    std::shared_ptr<net::http_call> call_;
};

/// @brief Prints the digest of a key; notes hold only the digest.
class hash_key_command final : public command
{
public:
    using command::command;

    void start() override
    {
        std::string key;
        std::getline(environment_.in, key);
        if (key.ends_with('\r'))
        {
            key.pop_back();
        }
        const bool printable =
            std::all_of(key.begin(), key.end(),
                        [](unsigned char c) { return c > 0x20 && c < 0x7F; });
        if (key.empty() || !printable)
        {
            fail_with(exit_code::usage,
                      "standard input must hold one key of printable "
                      "characters without spaces on its first line");
            return;
        }
        const std::string digest = sha256_hex(key);
        finish(exit_code::ok, {{"key_sha256", digest}}, digest + "\n");
    }
};

} // namespace

std::shared_ptr<command> make_status(command_environment environment,
                                     exit_handler done)
{
    return std::make_shared<status_command>(std::move(environment),
                                            std::move(done));
}

std::shared_ptr<command> make_drain(command_environment environment,
                                    const std::string& target,
                                    exit_handler done)
{
    return std::make_shared<drain_command>(std::move(environment), target,
                                           std::move(done));
}

std::shared_ptr<command> make_report(command_environment environment,
                                     const std::string& route,
                                     exit_handler done)
{
    return std::make_shared<report_command>(std::move(environment), route,
                                            std::move(done));
}

std::shared_ptr<command> make_hash_key(command_environment environment,
                                       exit_handler done)
{
    return std::make_shared<hash_key_command>(std::move(environment),
                                              std::move(done));
}

} // namespace siskinflow::operator_detail
