#ifndef BILBERRY_DIRECT_PLANFRESHNESS_H
#define BILBERRY_DIRECT_PLANFRESHNESS_H

#include "bilberry/base/time.h"

#include <optional>

namespace bilberry::direct {

/// Measures the time since the plan was last confirmed as the newest one. Includes time in which
/// the VM was suspended, which the steady clock leaves out.
class PlanFreshness
{
public:
    /// Records a confirmation.
    /// @param steadyTime when the plan was known to be the newest, on the steady clock
    void confirm(TimePoint steadyTime);

    /// @return time since the newest confirmation; Duration::max() when there is none
    Duration age() const;

private:
    std::optional<Duration> m_confirmedAt; ///< since boot, including suspension
};

} // namespace bilberry::direct

#endif
