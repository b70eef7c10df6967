#include "loopback_proxy.hpp"

#include "refusal_copier.hpp"

// clang-format off
#include <utility> // Asio of Boost 1.74 uses std::exchange without it.
#include <boost/asio.hpp>
// clang-format on

#include <array>
#include <atomic>
#include <set>
#include <thread>
#include <vector>

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Time between two looks at a direction that is cut.
constexpr std::chrono::milliseconds cut_poll{10};
constexpr std::size_t part_bytes = 16384;
/// A refusal is copied on its idle connection this long after it.
constexpr std::chrono::milliseconds idle_copy_delay{40};

/// Faults of a proxy, set from other threads.
struct link_state
{
    std::atomic<std::chrono::milliseconds::rep> delay_ms{0};
    std::array<std::atomic<bool>, 2> is_cut{false, false};
    copy_state copies;
};

/// One direction of one connection. It keeps the connection alive while it
/// runs.
class pump : public std::enable_shared_from_this<pump>
{
public:
    pump(tcp::socket& from, tcp::socket& to, const link_state& state,
         direction which, refusal_copier& copier)
        : from_(from), to_(to), timer_(from.get_executor()),
          copy_timer_(from.get_executor()), state_(state), which_(which),
          copier_(copier)
    {
    }

    void run(std::shared_ptr<void> connection)
    {
        connection_ = std::move(connection);
        read();
    }

    /// Writes bytes of its own, unless others are being written.
    void inject(const std::string& bytes)
    {
        if (!stopped_ && !writing_)
        {
            error_code ignored;
            boost::asio::write(to_, boost::asio::buffer(bytes), ignored);
        }
    }

    /// Reads and writes nothing more; the sockets stay open.
    void stop()
    {
        stopped_ = true;
    }

private:
    void read()
    {
        from_.async_read_some(
            boost::asio::buffer(part_),
            [self = shared_from_this()](error_code failed, std::size_t bytes)
            { self->on_read(failed, bytes); });
    }

    void on_read(error_code failed, std::size_t bytes)
    {
        if (stopped_)
        {
            connection_.reset();
            return;
        }
        if (failed)
        {
            error_code ignored;
            if (which_ == direction::to_client)
            {
                inject(copier_.take_incomplete_head());
            }
            to_.shutdown(tcp::socket::shutdown_send, ignored);
            connection_.reset();
            return;
        }
        take(std::string_view(part_.data(), bytes));
        if (bytes_.empty())
        {
            read();
            return;
        }
        const std::chrono::milliseconds delay(state_.delay_ms.load());
        wait(delay);
    }

    void take(std::string_view part)
    {
        if (which_ == direction::to_server)
        {
            copier_.on_request();
            bytes_ = part;
            return;
        }
        bytes_ = copier_.on_answer(part);
        if (!copier_.take_idle_wish())
        {
            return;
        }
        copy_timer_.expires_after(idle_copy_delay);
        copy_timer_.async_wait(
            [weak = weak_from_this()](error_code failed)
            {
                const auto self = weak.lock();
                if (!failed && self != nullptr && !self->stopped_ &&
                    !self->writing_)
                {
                    self->inject(self->copier_.idle_copy());
                }
            });
    }

    void wait(std::chrono::milliseconds time)
    {
        timer_.expires_after(time);
        timer_.async_wait([self = shared_from_this()](error_code)
                          { self->write_unless_cut(); });
    }

    void write_unless_cut()
    {
        if (stopped_)
        {
            connection_.reset();
            return;
        }
        if (state_.is_cut[static_cast<std::size_t>(which_)])
        {
            wait(cut_poll);
            return;
        }
        writing_ = true;
        boost::asio::async_write(
            to_, boost::asio::buffer(bytes_),
            [self = shared_from_this()](error_code failed, std::size_t)
            {
                self->writing_ = false;
                if (failed)
                {
                    self->connection_.reset();
                    return;
                }
                self->read();
            });
    }

    tcp::socket& from_;
    tcp::socket& to_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer copy_timer_;
    const link_state& state_;
    direction which_;
    refusal_copier& copier_;
    std::array<char, part_bytes> part_{};
    std::string bytes_; ///< Being written.
    std::shared_ptr<void> connection_;
    bool stopped_ = false;
    bool writing_ = false;
};

struct connection
{
    /// @param number of the connection, from which its copies are drawn
    connection(tcp::socket accepted, link_state& state, std::uint64_t number)
        : client(std::move(accepted)), server(client.get_executor()),
          copier(state.copies, number),
          to_server(std::make_shared<pump>(client, server, state,
                                           direction::to_server, copier)),
          to_client(std::make_shared<pump>(server, client, state,
                                           direction::to_client, copier))
    {
    }

    void silence() const
    {
        to_server->stop();
        to_client->stop();
    }

    /// Closes both ends without the usual farewell.
    void reset()
    {
        silence();
        for (tcp::socket* socket : {&client, &server})
        {
            error_code ignored;
            socket->set_option(boost::asio::socket_base::linger(true, 0),
                               ignored);
            socket->close(ignored);
        }
    }

    tcp::socket client;
    tcp::socket server;
    refusal_copier copier;
    std::shared_ptr<pump> to_server;
    std::shared_ptr<pump> to_client;
};

} // namespace

struct loopback_proxy::impl
{
    explicit impl(std::uint16_t port)
        : server(boost::asio::ip::address_v4::loopback(), port),
          acceptor(context,
                   tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          own_port(acceptor.local_endpoint().port())
    {
    }

    void accept()
    {
        acceptor.async_accept(
            [this](error_code failed, tcp::socket accepted)
            {
                if (!failed)
                {
                    relay(std::move(accepted));
                }
                accept();
            });
    }

    void relay(tcp::socket accepted)
    {
        const auto added =
            std::make_shared<connection>(std::move(accepted), state, ++accepts);
        std::erase_if(open, [](const auto& entry) { return entry.expired(); });
        open.push_back(added);
        added->server.async_connect(
            server,
            [added](error_code failed)
            {
                if (failed)
                {
                    added->reset();
                    return;
                }
                const tcp::no_delay at_once(true);
                error_code ignored;
                added->client.set_option(at_once, ignored);
                added->server.set_option(at_once, ignored);
                added->to_server->run(added);
                added->to_client->run(added);
            });
    }

    void for_each_open(void (*act)(connection&))
    {
        boost::asio::post(context,
                          [this, act]
                          {
                              for (const auto& entry : open)
                              {
                                  if (const auto held = entry.lock())
                                  {
                                      act(*held);
                                      kept.insert(held);
                                  }
                              }
                              open.clear();
                          });
    }

    boost::asio::io_context context;
    tcp::endpoint server;
    tcp::acceptor acceptor;
    std::uint16_t own_port;
    std::uint64_t accepts = 0;
    link_state state;
    std::vector<std::weak_ptr<connection>> open;
    /// Silent connections stay open until the proxy ends.
    std::set<std::shared_ptr<connection>> kept;
    std::thread thread;
};

loopback_proxy::loopback_proxy(std::uint16_t server_port)
    : impl_(std::make_unique<impl>(server_port))
{
    impl_->accept();
    impl_->thread = std::thread([this] { impl_->context.run(); });
}

loopback_proxy::~loopback_proxy()
{
    impl_->context.stop();
    impl_->thread.join();
}

std::uint16_t loopback_proxy::port() const
{
    return impl_->own_port;
}

void loopback_proxy::delay(std::chrono::milliseconds time)
{
    impl_->state.delay_ms = time.count();
}

void loopback_proxy::cut(direction which, bool is_cut)
{
    impl_->state.is_cut[static_cast<std::size_t>(which)] = is_cut;
}

void loopback_proxy::silence_open()
{
    impl_->for_each_open([](connection& open) { open.silence(); });
}

void loopback_proxy::inject(const std::string& bytes)
{
    boost::asio::post(impl_->context,
                      [this, bytes]
                      {
                          for (const auto& entry : impl_->open)
                          {
                              if (const auto held = entry.lock())
                              {
                                  held->to_client->inject(bytes);
                              }
                          }
                      });
}

void loopback_proxy::reset_open()
{
    impl_->for_each_open([](connection& open) { open.reset(); });
}

void loopback_proxy::copy_refusals(unsigned per_hundred)
{
    impl_->state.copies.per_hundred = per_hundred;
}

const copy_state& loopback_proxy::copies() const
{
    return impl_->state.copies;
}
