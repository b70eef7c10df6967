#include "deployment.hpp"
#include "test_sections.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

using namespace std::chrono_literals;
using nlohmann::json;
using processes::deployment;
using processes::deployment_plan;
using test_sections::section;

namespace
{

constexpr std::chrono::milliseconds map_limit = 10s;

/// Revision of the map that the first VM uses; empty: it has loaded none.
std::string loaded_revision(deployment& run)
{
    const auto got =
        run.caller().get(run.http_port(0), "/siskinflow/v1/metrics");
    std::istringstream lines(got.response.body);
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("siskinflow_revision_known{") &&
            line.find("sitemap") != std::string::npos)
        {
            return line.substr(line.rfind(' ') + 1);
        }
    }
    return "";
}

/// Publishes a map of the two clients' blocks and waits until the first VM uses
/// it. Without a map, the order of the VMs is drawn for each client, and names
/// the expected ones first in some of the runs.
/// @return whether the VM uses it
bool publish(deployment& run, const std::string& second_site)
{
    const std::string before = loaded_revision(run);
    char path[] = "/tmp/siskinflow-map-XXXXXX";
    const int descriptor = ::mkstemp(path);
    std::ofstream(path) << "site north region-0\n"
                           "site south region-1\n"
                           "127.0.0.0/8 south\n"
                           "192.0.2.0/24 north\n"
                           "198.51.100.0/24 " +
                               second_site + "\n";
    std::string output;
    const int code = run.control({"sitemap", "publish", path}, output);
    ::close(descriptor);
    ::unlink(path);
    for (auto waited = 0ms; code == 0 && waited < map_limit; waited += 100ms)
    {
        const std::string revision = loaded_revision(run);
        if (!revision.empty() && revision != before)
        {
            return true;
        }
        run.pause(100ms);
    }
    return false;
}

/// Name of the first VM in the lookup of a client; empty: of the peer.
std::string first_vm(deployment& run, const std::string& client)
{
    const std::string query = client.empty() ? "" : "?client=" + client;
    const auto got = run.get(0, "/siskinflow/v1/lookup" + query);
    const json document = json::parse(got.response.body, nullptr, false);
    std::cout << "lookup of '" << client
              << "': " << siskinflow::net::name(got.outcome) << ' '
              << got.response.body << std::endl;
    return document.is_object() && !document["vms"].empty()
               ? document["vms"][0]["vm"].get<std::string>()
               : "";
}

bool wait_first_vm(deployment& run, const std::string& client,
                   const std::string& vm)
{
    for (auto waited = 0ms; waited < map_limit; waited += 100ms)
    {
        if (first_vm(run, client) == vm)
        {
            return true;
        }
        run.pause(100ms);
    }
    return false;
}

} // namespace

// Guards against a break on the way from the operator's file to the lookup.
Test(process_site_map, lookups_follow_the_published_map)
{
    deployment_plan plan;
    plan.vms = 4;
    plan.regions = 2;
    plan.sites = {"north", "south"};
    deployment run(plan);
    EXPECT(run.ready());
    section("clients of two sites get different VMs first",
            [&]
            {
                EXPECT(publish(run, "south"));
                EXPECT(wait_first_vm(run, "192.0.2.1", "vm0"));
                EXPECT(wait_first_vm(run, "198.51.100.1", "vm1"));
                EXPECT(first_vm(run, "") == "vm1");
            });
    section("a one-block change moves that client only",
            [&]
            {
                EXPECT(publish(run, "north"));
                EXPECT(wait_first_vm(run, "198.51.100.1", "vm0"));
                EXPECT(first_vm(run, "192.0.2.1") == "vm0");
                EXPECT(first_vm(run, "") == "vm1");
            });
    section("an address that is none is refused",
            [&]
            {
                const auto got = run.get(0, "/siskinflow/v1/lookup?client=x");
                EXPECT(got.response.status == 400);
            });
}
