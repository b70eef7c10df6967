#include <siskinflow/net/http_client.hpp>

namespace siskinflow::net
{

std::string_view name(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::complete:
        return "complete";
    case call_outcome::connect_failed:
        return "connect_failed";
    case call_outcome::connect_timed_out:
        return "connect_timed_out";
    case call_outcome::broken:
        return "broken";
    case call_outcome::truncated:
        return "truncated";
    case call_outcome::timed_out:
        return "timed_out";
    case call_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool never_sent(call_outcome outcome)
{
    return outcome == call_outcome::connect_failed ||
           outcome == call_outcome::connect_timed_out;
}

namespace
{

/// Buffers the whole answer of a call.
class buffering_observer final : public call_observer
{
public:
    explicit buffering_observer(std::function<void(fetch_result)> done)
        : done_(std::move(done))
    {
    }

    void on_head(int status, const http_headers& headers,
                 std::optional<std::size_t> /*content_length*/) override
    {
        result_.response.status = status;
        result_.response.headers = headers;
    }

    void on_body(std::string_view part) override
    {
        result_.response.body += part;
    }

    void on_end(call_outcome outcome) override
    {
        result_.outcome = outcome;
        done_(std::move(result_));
    }

private:
    std::function<void(fetch_result)> done_;
    fetch_result result_;
};

} // namespace

std::shared_ptr<http_call> fetch(http_caller& caller, client_request request,
                                 std::size_t max_bytes,
                                 std::function<void(fetch_result)> done)
{
    request.max_body_bytes = max_bytes;
    return caller.start(std::move(request),
                        std::make_shared<buffering_observer>(std::move(done)));
}

} // namespace siskinflow::net
