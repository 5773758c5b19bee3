#include "planfreshness.h"

#include <algorithm>
#include <ctime>

namespace bilberry::direct {

namespace {

/// @return time since the boot of the VM, including suspension
Duration timeSinceBoot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

void PlanFreshness::confirm(TimePoint steadyTime)
{
    const Duration confirmedAt = timeSinceBoot() - (Clock::now() - steadyTime);
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

Duration PlanFreshness::age() const
{
    return m_confirmedAt ? timeSinceBoot() - *m_confirmedAt : Duration::max();
}

} // namespace bilberry::direct
