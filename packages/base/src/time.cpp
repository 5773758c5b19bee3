#include "bilberry/base/time.h"

#include <ctime>

namespace bilberry {

BootTime BootClock::now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return BootTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace bilberry
