#include <siskinflow/core/clock.hpp>

#include <ctime>

namespace siskinflow
{

time_point boot_clock::now() const
{
    timespec value{};
    ::clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace siskinflow
