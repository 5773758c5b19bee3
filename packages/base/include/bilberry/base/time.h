#ifndef BILBERRY_BASE_TIME_H
#define BILBERRY_BASE_TIME_H

#include <chrono>

namespace bilberry {

/// Monotonic clock of one process; its time points never leave the process.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// @param duration any duration
/// @return milliseconds with fraction
constexpr double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// @param milliseconds with fraction
/// @return the same as a Duration
constexpr Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

} // namespace bilberry

#endif
