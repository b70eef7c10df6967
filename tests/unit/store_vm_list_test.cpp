#include "test_sections.hpp"
#include "vm_list_service.hpp"

using namespace siskinflow;
using namespace std::chrono_literals;
using test_sections::section;

// Guards against a stand-in list that lags less than the platform's, which
// would hide faults of VMs that rely on a current list.
Test(store_vm_list, shows_changes_after_the_lag)
{
    manual_clock time;
    standin::vm_list_service service(time, 5s);
    const auto list = [&] { return service.handle("GET", "/v1/vms", "").body; };
    EXPECT(list() == "{\"vms\":[]}\n");
    const std::string live = R"({"vms":[{"name":"vm1","state":"live"}]})";
    const std::string leaving = R"({"vms":[{"name":"vm1","state":"leaving"}]})";
    EXPECT(service.handle("POST", "/standin/vms", live).status == 200);
    time.advance(3s);
    EXPECT(service.handle("POST", "/standin/vms", leaving).status == 200);
    EXPECT(list() == "{\"vms\":[]}\n");
    time.advance(2s);
    EXPECT(list() == live + "\n");
    time.advance(3s);
    EXPECT(list() == leaving + "\n");
    section("a malformed change is refused and changes nothing",
            [&]
            {
                for (const char* bad :
                     {"", "[]", R"({"vms":1})", R"({"vms":[{"name":1}]})",
                      R"({"vms":[{"name":"vm1","state":"gone"}]})"})
                {
                    EXPECT(service.handle("POST", "/standin/vms", bad).status ==
                           400);
                }
                time.advance(10s);
                EXPECT(list() == leaving + "\n");
            });
}
