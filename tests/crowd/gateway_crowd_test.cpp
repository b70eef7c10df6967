#include "crowd.hpp"
#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace siskinflow;
using namespace std::chrono_literals;

// Each test plays one kind of client that nobody controls against a gateway
// with lowered limits. The clients and the bounds were fixed before the gateway
// had limits, and are independent of the machine's speed.

namespace
{

constexpr std::size_t mebibyte = 1U << 20;
/// The memory of the machine that `--memory_limit` states.
constexpr std::size_t memory_bound = 64 * mebibyte;
/// The descriptors that `--descriptor_limit` states.
constexpr std::size_t descriptor_bound = 512;
/// Part of that memory which the process and the bytes that wait unread for it
/// in the kernel may take together.
constexpr double used_part = 0.9;
/// Descriptors beyond those before the crowd that remain when it has left:
/// connections to targets that are kept open.
constexpr std::size_t remaining_descriptors = 40;
constexpr std::size_t max_body = 4 * mebibyte;
constexpr std::size_t block_bytes = 64U << 10;
/// After this time without any byte, a crowd is taken to have done its worst.
constexpr std::chrono::milliseconds quiet_time{1500};
/// A crowd that goes on longer is judged by what it did until then.
constexpr std::chrono::milliseconds crowd_limit{15000};
constexpr std::chrono::milliseconds leave_limit{20000};

std::string head_of(const std::string& method, const std::string& path,
                    const std::string& fields)
{
    return method + " " + path +
           " HTTP/1.1\r\nhost: site.example\r\n"
           "authorization: Bearer key-of-acme\r\n"
           "siskinflow-request-id: crowd-{client}\r\n"
           "siskinflow-affinity-key: {client}\r\n" +
           fields + "\r\n";
}

std::string body_head(std::size_t length)
{
    return head_of("POST", "/maps/1",
                   "content-length: " + std::to_string(length) + "\r\n");
}

std::string chunked_head()
{
    return head_of("POST", "/maps/1", "transfer-encoding: chunked\r\n");
}

std::string chunk(std::size_t size)
{
    char length[32];
    std::snprintf(length, sizeof(length), "%zx\r\n", size);
    return length + std::string(size, 'x') + "\r\n";
}

/// Bodies of 1 MB without their last block, on more connections than the
/// machine bears.
crowd::plan many_unfinished_bodies()
{
    crowd::plan out;
    out.clients = 1200;
    out.head = body_head(mebibyte);
    out.block = std::string(block_bytes, 'x');
    out.blocks = mebibyte / block_bytes - 1;
    return out;
}

/// Leaves out flags that the program does not know.
std::vector<std::string> known(const std::vector<std::string>& flags)
{
    std::string help;
    (void)processes::run("siskinflow_gateway", {"--help"}, help);
    std::vector<std::string> out;
    for (const std::string& flag : flags)
    {
        if (help.find(flag.substr(0, flag.find('='))) != std::string::npos)
        {
            out.push_back(flag);
        }
    }
    return out;
}

/// One gateway with lowered limits, two targets, and bodies of up to 4 MB.
class crowded_gateway
{
public:
    explicit crowded_gateway(std::size_t answer_bytes = 0,
                             std::size_t descriptors = descriptor_bound)
        : descriptor_bound_(descriptors)
    {
        for (const std::string& flag :
             known({"--memory_limit=64",
                    "--descriptor_limit=" + std::to_string(descriptors)}))
        {
            world_.add_flag(flag);
        }
        auto maps = named("m1");
        maps.slots = 100;
        maps.min_answer_bytes = answer_bytes;
        world_.add_target("maps", maps);
        world_.add_target("orders", named("o1"));
        world_.set_max_body_bytes(max_body);
        world_.configure();
        EXPECT(world_.start_all());
        EXPECT(ordinary_request() == 200);
        descriptors_before_ = gateway().open_descriptors();
    }

    const gateway_ports& ports() const
    {
        return world_.ports(0);
    }

    /// Plays a crowd that comes to a port while the process does not run, for
    /// as long as the crowd sends.
    void survive_while_stopped(std::uint16_t port, const crowd::plan& plan)
    {
        stopped_ = true;
        port_ = port;
        survive(plan);
    }

    /// Plays a crowd and checks what must hold during and after it.
    void survive(const crowd::plan& plan)
    {
        std::size_t most_descriptors = 0;
        std::size_t most_used = 0;
        const auto watch = [&]
        {
            most_used = std::max<std::size_t>(
                most_used, gateway().resident_bytes() + unread_bytes());
            most_descriptors =
                std::max(most_descriptors, gateway().open_descriptors());
        };
        if (stopped_)
        {
            gateway().signal(SIGSTOP);
        }
        {
            crowd::clients clients(port_, plan);
            world_.until(
                [&]
                {
                    watch();
                    return clients.quiet_for(quiet_time);
                },
                crowd_limit);
            report("crowd", most_descriptors, clients.open(),
                   clients.bytes_sent());
        }
        if (stopped_)
        {
            gateway().signal(SIGCONT);
        }
        const bool left = world_.until(
            [&]
            {
                return gateway().open_descriptors() <=
                       descriptors_before_ + remaining_descriptors;
            },
            leave_limit);
        report("after", gateway().open_descriptors(), 0, 0);
        EXPECT(gateway().running());
        std::fprintf(stderr, "most used with unread bytes: %.1f MB\n",
                     megabytes(most_used));
        EXPECT(gateway().peak_resident_bytes() < memory_bound);
        EXPECT(static_cast<double>(most_used) <
               used_part * static_cast<double>(memory_bound));
        EXPECT(most_descriptors < descriptor_bound_);
        EXPECT(left);
        EXPECT(ordinary_request() == 200);
    }

private:
    processes::child& gateway()
    {
        return world_.vm(0);
    }

    std::size_t unread_bytes()
    {
        return processes::unread_bytes(port_);
    }

    int ordinary_request()
    {
        caller_request request;
        request.path = "/orders/1";
        request.method = "POST";
        request.body = "an order";
        return world_.call(0, request).response.status;
    }

    void report(const char* when, std::size_t descriptors, std::size_t open,
                std::uint64_t sent)
    {
        std::fprintf(stderr,
                     "%s: peak %.1f MB, resident %.1f MB, descriptors %zu "
                     "(before %zu), clients open %zu, sent %.1f MB\n",
                     when, megabytes(gateway().peak_resident_bytes()),
                     megabytes(gateway().resident_bytes()), descriptors,
                     descriptors_before_, open, megabytes(sent));
    }

    static double megabytes(std::uint64_t bytes)
    {
        return static_cast<double>(bytes) / static_cast<double>(mebibyte);
    }

    gateway_world world_{1};
    std::size_t descriptor_bound_;
    std::size_t descriptors_before_ = 0;
    std::uint16_t port_ = ports().requests; ///< That a crowd connects to.
    bool stopped_ = false;                  ///< While a crowd is there.
};

} // namespace

// Guards against the end of the process by bodies of legal size that are held
// while their clients never send the last bytes.
Test(gateway_crowd, bodies_with_a_length_that_stop_short)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = body_head(max_body);
    plan.block = std::string(block_bytes, 'x');
    plan.blocks = max_body / block_bytes - 1;
    plan.tail = std::string(block_bytes - 1024, 'x');
    crowded_gateway().survive(plan);
}

// As above, without a length that could be refused before the body arrives.
Test(gateway_crowd, bodies_in_chunks_that_stop_short)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = chunked_head();
    plan.block = chunk(block_bytes);
    plan.blocks = max_body / block_bytes - 1;
    crowded_gateway().survive(plan);
}

// Guards against bodies that are received although their announced length is
// over every limit.
Test(gateway_crowd, bodies_announced_as_too_long)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = body_head(400 * mebibyte);
    plan.block = std::string(block_bytes, 'x');
    plan.blocks = 8 * mebibyte / block_bytes;
    crowded_gateway().survive(plan);
}

// Guards against bodies that grow over the limit of the configuration and are
// received nevertheless.
Test(gateway_crowd, bodies_that_grow_too_long)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = chunked_head();
    plan.block = chunk(block_bytes);
    plan.blocks = 16 * mebibyte / block_bytes;
    crowded_gateway().survive(plan);
}

// Guards against answers that are held for clients that don't read them.
Test(gateway_crowd, answers_that_are_not_read)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = head_of("GET", "/maps/1", "");
    plan.receive_buffer = 4096;
    crowded_gateway(max_body).survive(plan);
}

// As above, with clients that read a little at a time and so are never idle.
Test(gateway_crowd, answers_that_are_read_slowly)
{
    crowd::plan plan;
    plan.clients = 60;
    plan.head = head_of("GET", "/maps/1", "");
    plan.bytes_read_per_tick = 512;
    plan.receive_buffer = 4096;
    crowded_gateway(max_body).survive(plan);
}

// Guards against answers that take their whole memory until their last byte is
// read, while the account counts what is unread only.
Test(gateway_crowd, answers_whose_last_part_is_read_slowly)
{
    constexpr std::size_t slow_part = 350UL * 1024;
    crowd::plan plan;
    plan.clients = 200;
    plan.head = head_of("GET", "/maps/1", "");
    plan.receive_buffer = 64 * 1024;
    plan.bytes_read_at_once = max_body - slow_part;
    plan.start_interval = 40ms;
    plan.bytes_read_per_tick = 160;
    crowded_gateway(max_body).survive(plan);
}

// Guards against bytes that wait unread in the kernel, which no account has.
Test(gateway_crowd, bodies_that_stop_short_on_many_connections)
{
    crowd::plan plan = many_unfinished_bodies();
    plan.tail = std::string(block_bytes - 1024, 'x');
    crowded_gateway(0, 2000).survive(plan);
}

// Guards against bytes of connections that the process has not accepted yet,
// which count as its memory like those of the others.
Test(gateway_crowd, bodies_on_connections_that_are_not_accepted)
{
    const crowd::plan plan = many_unfinished_bodies();
    for (const auto port : {&gateway_ports::requests, &gateway_ports::directory,
                            &gateway_ports::readiness, &gateway_ports::metrics})
    {
        crowded_gateway gateway(0, 2000);
        gateway.survive_while_stopped(gateway.ports().*port, plan);
    }
}

// Guards against connections without requests that use up the descriptors, so
// that the process can reach neither targets nor the store.
Test(gateway_crowd, connections_that_say_nothing)
{
    crowd::plan plan;
    plan.clients = 900;
    crowded_gateway().survive(plan);
}

// Guards against heads that are stored without a limit.
Test(gateway_crowd, heads_without_end)
{
    crowd::plan plan;
    plan.clients = 250;
    plan.head = "GET /maps/1 HTTP/1.1\r\nhost: site.example\r\n";
    plan.block = "x-filler-field: " + std::string(1000, 'x') + "\r\n";
    plan.blocks = 1024;
    crowded_gateway().survive(plan);
}

// Guards against requests that are read without a limit while the answers to
// earlier ones of the same connection are not.
Test(gateway_crowd, many_small_pipelined_requests)
{
    crowd::plan plan;
    plan.clients = 100;
    plan.block = head_of("GET", "/maps/1", "");
    plan.blocks = 2000;
    plan.receive_buffer = 4096;
    crowded_gateway().survive(plan);
}
