#include "planproof.h"

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

void PlanProof::proven(TimePoint steady)
{
    const Duration at = sinceBoot() - (Clock::now() - steady);
    m_provenAt = std::max(m_provenAt.value_or(at), at);
}

Duration PlanProof::age() const
{
    return m_provenAt ? sinceBoot() - *m_provenAt : Duration::max();
}

} // namespace bilberry::direct
