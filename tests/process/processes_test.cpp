#include "processes.hpp"
#include "test_sections.hpp"

#include <set>
#include <sys/wait.h>
#include <unistd.h>

using test_sections::section;

// Guards against two test processes that choose the same port, one of them
// while a program of the other restarts.
Test(processes, are_given_different_ports)
{
    constexpr std::size_t ports = 300;
    constexpr int callers = 4;
    std::set<std::uint16_t> seen;
    int results[2];
    int release[2];
    EXPECT(::pipe(results) == 0 && ::pipe(release) == 0);
    for (int caller = 0; caller < callers; ++caller)
    {
        if (::fork() == 0)
        {
            const auto own = processes::free_ports(ports);
            const std::size_t bytes = own.size() * sizeof(own[0]);
            const bool told = ::write(results[1], own.data(), bytes) ==
                              static_cast<ssize_t>(bytes);
            char go = 0;
            (void)!::read(release[0], &go, 1); // Keeps its ports until then.
            ::_exit(told ? 0 : 1);
        }
    }
    for (std::size_t i = 0; i < ports * callers; ++i)
    {
        std::uint16_t port = 0;
        EXPECT(::read(results[0], &port, sizeof(port)) == sizeof(port));
        seen.insert(port);
    }
    for (int caller = 0; caller < callers; ++caller)
    {
        EXPECT(::write(release[1], "x", 1) == 1);
    }
    int status = -1;
    for (int caller = 0; caller < callers; ++caller)
    {
        EXPECT(::wait(&status) > 0 && status == 0);
    }
    EXPECT(seen.size() == ports * callers);
}
