#include "gateway_world.hpp"
#include "test_sections.hpp"

#include <string>

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

namespace
{

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

struct machine
{
    std::size_t memory_mb;
    std::size_t body_bytes; ///< The largest body that it takes.
};

constexpr machine machines[] = {
    {112, 29 * mebibyte}, {260, 64 * mebibyte}, {512, 64 * mebibyte}};
constexpr std::size_t answer_sizes[] = {0, 128 * kibibyte, 4 * mebibyte};
/// Parts of an answer; 0: one, with a length.
constexpr std::size_t part_counts[] = {0, 4, 64};

std::string name_of(std::size_t answer_bytes, std::size_t parts)
{
    return "an answer of " + std::to_string(answer_bytes) + " bytes in " +
           std::to_string(parts) + " parts";
}

/// Sends one order and one idempotent request of the largest size, one after
/// the other.
void expect_served(const machine& on, std::size_t answer_bytes,
                   std::size_t parts)
{
    gateway_world world(1);
    world.add_flag("--memory_limit=" + std::to_string(on.memory_mb));
    for (const char* service : {"orders", "maps"})
    {
        auto target = named(std::string(service) + "-1");
        target.min_answer_bytes = answer_bytes;
        target.answer_parts = parts;
        target.max_body_bytes = on.body_bytes;
        world.add_target(service, target);
    }
    world.set_max_body_bytes(64 * mebibyte);
    world.configure();
    EXPECT(world.start_all());
    for (const char* path : {"/orders/1", "/maps/1"})
    {
        caller_request request;
        request.path = path;
        request.method = "POST";
        request.body.assign(on.body_bytes, 'x');
        request.patience = 10s;
        const auto got = world.call(0, request);
        EXPECT(got.outcome == net::call_outcome::complete);
        EXPECT(got.response.status == 200);
        EXPECT(got.response.body.size() >= answer_bytes);
    }
    const std::size_t memory = on.memory_mb * mebibyte;
    EXPECT(world.vm(0).peak_resident_bytes() < memory);
}

} // namespace

// Guards against an answer that waits for the memory of the request that it
// answers, and is given up at the route's timeout.
Test(gateway_large_requests, are_served_in_calm)
{
    for (const machine& on : machines)
    {
        section("a machine of " + std::to_string(on.memory_mb) + " MB",
                [&]
                {
                    for (const std::size_t answer_bytes : answer_sizes)
                    {
                        for (const std::size_t parts : part_counts)
                        {
                            section(name_of(answer_bytes, parts),
                                    [&] {
                                        expect_served(on, answer_bytes, parts);
                                    });
                        }
                    }
                });
    }
}
