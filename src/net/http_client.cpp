#include "client_call.hpp"

namespace siskinflow::net
{

namespace
{

/// h2o's own I/O timeout; calls have deadlines of their own.
constexpr std::uint64_t io_timeout_ms = 24ULL * 3600 * 1000;

} // namespace

http_client::impl::impl(event_loop& loop)
    : loop(loop), pool(std::make_shared<connection_pool>(loop))
{
    h2o_timeout_init(loop.handle().loop, &io_timeout, io_timeout_ms);
    context.loop = loop.handle().loop;
    context.getaddr_receiver = &loop.handle().getaddr_receiver;
    context.io_timeout = &io_timeout;
}

http_client::http_client(event_loop& loop) : impl_(std::make_shared<impl>(loop))
{
}

http_client::~http_client()
{
    const auto active = impl_->active;
    for (const auto& call : active)
    {
        call->cancel();
    }
}

namespace
{

/// Cancels a call when its last handle is destroyed.
class call_handle final : public http_call
{
public:
    explicit call_handle(std::shared_ptr<client_call> call)
        : call_(std::move(call))
    {
    }
    ~call_handle() override
    {
        call_->cancel();
    }
    void cancel() override
    {
        call_->cancel();
    }
    void pause() override
    {
        call_->pause();
    }
    void resume() override
    {
        call_->resume();
    }
    bool sent() const override
    {
        return call_->sent();
    }
    bool fully_sent() const override
    {
        return call_->fully_sent();
    }
    std::size_t received_bytes() const override
    {
        return call_->received_bytes();
    }
    answer_position position() const override
    {
        return call_->position();
    }

private:
    std::shared_ptr<client_call> call_;
};

} // namespace

std::shared_ptr<http_call>
http_client::start(client_request request,
                   std::shared_ptr<call_observer> observer)
{
    auto call = std::make_shared<client_call>(impl_.get(), std::move(request),
                                              std::move(observer));
    impl_->active.insert(call);
    call->start();
    return std::make_shared<call_handle>(std::move(call));
}

void http_client::close_idle_connections(const endpoint& peer)
{
    impl_->pool->close_idle(peer);
}

} // namespace siskinflow::net
