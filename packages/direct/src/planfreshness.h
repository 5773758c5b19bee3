#ifndef BILBERRY_DIRECT_PLANFRESHNESS_H
#define BILBERRY_DIRECT_PLANFRESHNESS_H

#include "bilberry/base/time.h"

#include <optional>

namespace bilberry::direct {

/// Knows how old the newest proof is that the plan is the newest one. Counts the time for which
/// the whole machine was suspended, which the steady clock leaves out.
class PlanFreshness
{
public:
    /// @param steady when the plan was known to be the newest, on the steady clock
    void confirm(TimePoint steady);

    /// @return age of the newest proof; the largest duration when there is none
    Duration age() const;

private:
    std::optional<Duration> m_confirmedAt; ///< on the clock that counts suspension
};

} // namespace bilberry::direct

#endif
