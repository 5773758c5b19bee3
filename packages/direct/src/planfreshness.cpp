#include "planfreshness.h"

#include <algorithm>
#include <ctime>

namespace bilberry::direct {

namespace {

/// Time since the machine's start, suspension included.
Duration sinceBoot()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

void PlanFreshness::confirm(TimePoint steady)
{
    const Duration at = sinceBoot() - (Clock::now() - steady);
    m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
}

Duration PlanFreshness::age() const
{
    return m_confirmedAt ? sinceBoot() - *m_confirmedAt : Duration::max();
}

} // namespace bilberry::direct
