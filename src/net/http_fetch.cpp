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
    buffering_observer(std::size_t max_bytes,
                       std::function<void(fetch_result)> done)
        : max_bytes_(max_bytes), done_(std::move(done))
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
        if (result_.response.body.size() + part.size() > max_bytes_)
        {
            too_large_ = true;
            return;
        }
        result_.response.body += part;
    }

    void on_end(call_outcome outcome) override
    {
        result_.outcome = too_large_ && outcome == call_outcome::complete
                              ? call_outcome::truncated
                              : outcome;
        done_(std::move(result_));
    }

private:
    std::size_t max_bytes_;
    std::function<void(fetch_result)> done_;
    fetch_result result_;
    bool too_large_ = false;
};

} // namespace

std::shared_ptr<http_call> fetch(http_caller& caller, client_request request,
                                 std::size_t max_bytes,
                                 std::function<void(fetch_result)> done)
{
    return caller.start(
        std::move(request),
        std::make_shared<buffering_observer>(max_bytes, std::move(done)));
}

} // namespace siskinflow::net
