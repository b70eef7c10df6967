#include <siskinflow/fleet/vm_list.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace siskinflow
{

namespace
{

constexpr int status_ok = 200;
constexpr const char* vms_path = "/v1/vms";

std::optional<vm_state> parse_vm_state(std::string_view text)
{
    for (const vm_state state : {vm_state::live, vm_state::leaving})
    {
        if (text == name(state))
        {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view name(vm_state state) noexcept
{
    switch (state)
    {
    case vm_state::live:
        return "live";
    case vm_state::leaving:
        return "leaving";
    }
    return "unknown";
}

result<vm_states> parse_vm_list(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("vms") ||
        !document["vms"].is_array())
    {
        return fail(errc::parse_error,
                    "VM list field 'vms' is missing or not an array");
    }
    vm_states out;
    for (const auto& item : document["vms"])
    {
        if (!item.is_object() || !item.contains("name") ||
            !item["name"].is_string())
        {
            return fail(errc::parse_error,
                        "VM list field 'name' is missing or not a string");
        }
        const auto vm = item["name"].get<std::string>();
        const auto state =
            item.contains("state") && item["state"].is_string()
                ? parse_vm_state(item["state"].get<std::string>())
                : std::nullopt;
        if (!state)
        {
            return fail(errc::parse_error,
                        "VM list field 'state' of VM '" + vm +
                            "' is neither 'live' nor 'leaving'");
        }
        out[vm] = *state;
    }
    return out;
}

struct vm_list::impl
{
    impl(net::http_caller& http, const clock& source, net::endpoint peer,
         const vm_list_options& settings)
        : caller(http), time(source), server(std::move(peer)), options(settings)
    {
    }

    net::http_caller& caller;
    const clock& time;
    net::endpoint server;
    vm_list_options options;
    std::shared_ptr<net::http_call> call;
    bool in_flight = false;
    std::optional<time_point> sent;
    std::optional<time_point> requested_at;
    std::optional<vm_states> vms;
    std::uint64_t failures = 0;

    void on_response(const net::fetch_result& answer)
    {
        in_flight = false;
        if (answer.outcome != net::call_outcome::complete ||
            answer.response.status != status_ok)
        {
            ++failures;
            return;
        }
        auto parsed = parse_vm_list(answer.response.body);
        if (!parsed)
        {
            ++failures;
            return;
        }
        vms = std::move(parsed.value());
        requested_at = sent;
    }
};

vm_list::vm_list(net::http_caller& caller, const clock& time,
                 net::endpoint server, const vm_list_options& options)
    : impl_(std::make_shared<impl>(caller, time, std::move(server), options))
{
}

vm_list::~vm_list() = default;

void vm_list::tick()
{
    const time_point now = impl_->time.now();
    if (impl_->in_flight ||
        (impl_->sent && now - *impl_->sent < impl_->options.interval))
    {
        return;
    }
    net::client_request request;
    request.peer = impl_->server;
    request.target = vms_path;
    request.timeout = impl_->options.timeout;
    impl_->in_flight = true;
    impl_->sent = now;
    impl_->call = net::fetch(
        impl_->caller, std::move(request), impl_->options.max_bytes,
        [weak = std::weak_ptr<impl>(impl_)](const net::fetch_result& answer)
        {
            if (auto state = weak.lock())
            {
                state->on_response(answer);
            }
        });
}

const std::optional<vm_states>& vm_list::vms() const
{
    return impl_->vms;
}

std::optional<time_point> vm_list::requested_at() const
{
    return impl_->requested_at;
}

std::uint64_t vm_list::failures() const
{
    return impl_->failures;
}

} // namespace siskinflow
