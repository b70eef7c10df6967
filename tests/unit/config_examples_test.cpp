#include "test_sections.hpp"
#include <siskinflow/config/release_note.hpp>
#include <siskinflow/core/ids.hpp>

#include <fstream>
#include <iterator>
#include <set>

using namespace siskinflow;
using test_sections::section;

namespace
{

std::string read_example(const std::string& file)
{
    std::ifstream in(std::string(SISKINFLOW_SOURCE_DIR) + "/examples/" + file);
    return {std::istreambuf_iterator<char>(in),
            std::istreambuf_iterator<char>()};
}

configuration apply_example(const configuration& current,
                            const std::string& file)
{
    const auto note = parse_release_note(read_example(file));
    cr_assert(note.has_value(), "%s: %s", file.c_str(),
              note ? "" : note.error().message.c_str());
    auto next = apply_note(current, note.value());
    cr_assert(next.has_value(), "%s: %s", file.c_str(),
              next ? "" : next.error().message.c_str());
    return std::move(next).value();
}

/// Number of targets of a route and the sum of their slots.
std::pair<std::size_t, std::uint32_t> capacity(const configuration& value,
                                               const std::string& route)
{
    std::pair<std::size_t, std::uint32_t> out{0, 0};
    for (const auto& target : value.targets)
    {
        if (target.routes == std::vector<std::string>{route})
        {
            ++out.first;
            out.second += target.slots;
        }
    }
    return out;
}

void check_deployment(const std::string& folder, const std::string& drained,
                      const std::string& closed, const std::string& key)
{
    const auto initial = apply_example({}, folder + "/initial.json");
    std::set<std::string> domains;
    for (const auto& target : initial.targets)
    {
        domains.insert(target.failure_domain);
    }
    EXPECT(domains.size() == 6);
    EXPECT(initial.organisations.size() == 8);
    EXPECT(initial.links.size() == 6);
    EXPECT(warnings(initial).empty());
    const auto withdrawn =
        apply_example(initial, folder + "/withdraw-key.json");
    EXPECT(initial.organisations[0].key_sha256[0] == sha256_hex(key));
    EXPECT(withdrawn.organisations[0].key_sha256.size() == 1);
    const auto drain = apply_example(withdrawn, folder + "/drain-target.json");
    EXPECT(drain.find_target(drained)->state == target_state::leaving);
    const auto closing = apply_example(drain, folder + "/close-service.json");
    EXPECT(closing.find_route(closed)->state == route_state::closing);
}

} // namespace

// Guards against examples that the code refuses, or that differ in size from
// the deployments of the design page.
Test(config_examples, both_deployments_apply_in_order)
{
    using count = std::pair<std::size_t, std::uint32_t>;
    section("landshut-isar",
            []
            {
                check_deployment("landshut-isar", "map-01", "reprint",
                                 "demo-only-landshut-1");
                const auto value =
                    apply_example({}, "landshut-isar/initial.json");
                EXPECT((capacity(value, "map") == count{20, 120}));
                EXPECT((capacity(value, "reprint") == count{12, 72}));
                EXPECT((capacity(value, "reservation") == count{12, 36}));
            });
    section("bagmati",
            []
            {
                check_deployment("bagmati", "catalogue-01", "dispatch",
                                 "demo-only-bansbari-1");
                const auto value = apply_example({}, "bagmati/initial.json");
                EXPECT((capacity(value, "catalogue") == count{16, 80}));
                EXPECT((capacity(value, "booking") == count{12, 36}));
                EXPECT((capacity(value, "dispatch") == count{12, 36}));
            });
}
