#include "http_server_impl.hpp"
#include "request_framing.hpp"

#include <algorithm>
#include <new>

namespace siskinflow::net
{

namespace
{

/// The head of a request as it arrived. h2o 2.2 uses the first of several
/// lengths, prefers chunks to a length and hides both fields from the handler,
/// but keeps the head at the front of the input until the answer is complete.
std::string_view raw_request_head(const h2o_req_t& request)
{
    const h2o_socket_t* socket =
        request.conn->callbacks->get_socket(request.conn);
    std::string_view text(socket->input->bytes, socket->input->size);
    text.remove_prefix(std::min(text.find_first_not_of("\r\n"), text.size()));
    return text;
}

} // namespace

int http_server::impl::on_native_request(h2o_handler_t* handler,
                                         h2o_req_t* request)
{
    impl* self = reinterpret_cast<native_handler*>(handler)->server;
    const std::string_view head = raw_request_head(*request);
    if (!head.starts_with(view(request->input.method)) ||
        is_framing_ambiguous(head))
    {
        // What follows on the connection may be part of the body.
        request->http1_is_persistent = 0;
        h2o_send_error_400(request, "Bad Request", "Bad Request", 0);
        return 0;
    }
    auto exchange = std::make_shared<server_exchange>(request);
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(pooled_exchange),
                                        on_request_released);
    new (memory) pooled_exchange{self, exchange};
    self->in_progress.insert(exchange.get());
    self->on_request(exchange);
    return 0;
}

void http_server::impl::on_request_released(void* memory)
{
    auto* owner = static_cast<pooled_exchange*>(memory);
    owner->server->in_progress.erase(owner->exchange.get());
    owner->exchange->on_native_released();
    owner->~pooled_exchange();
}

void http_server::impl::check_disconnected_callers()
{
    const std::vector<server_exchange*> exchanges(in_progress.begin(),
                                                  in_progress.end());
    for (server_exchange* exchange : exchanges)
    {
        if (in_progress.count(exchange) != 0)
        {
            exchange->check_disconnected();
        }
    }
}

} // namespace siskinflow::net
