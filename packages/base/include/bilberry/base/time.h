#ifndef BILBERRY_BASE_TIME_H
#define BILBERRY_BASE_TIME_H

#include <chrono>

namespace bilberry {

/// Monotonic clock. Its time points have no meaning in another process.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// Monotonic clock that also counts the time in which the VM was suspended, which Clock leaves out.
/// Measures how old a permission is.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static time_point now();
};
using BootTime = BootClock::time_point;

/// @return the duration in milliseconds, with fraction
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// @param milliseconds may have a fraction
/// @return the duration, truncated to the clock's resolution
constexpr Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace bilberry

#endif
