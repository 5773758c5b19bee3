#ifndef BILBERRY_BASE_TIME_H
#define BILBERRY_BASE_TIME_H

#include <chrono>

namespace bilberry {

/// Monotonic clock. Its time points have no meaning in another process.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

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
