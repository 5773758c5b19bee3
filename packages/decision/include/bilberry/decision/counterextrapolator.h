#ifndef BILBERRY_DECISION_COUNTEREXTRAPOLATOR_H
#define BILBERRY_DECISION_COUNTEREXTRAPOLATOR_H

#include "bilberry/base/time.h"

namespace bilberry::decision {

/// Extrapolates a counter linearly between its reports (dead reckoning). The reporting router and
/// the aggregator keep the same extrapolation, so that the reporter knows the aggregator's value
/// and reports only when the two differ significantly.
class CounterExtrapolator
{
public:
    /// Stores a reported value and updates the rate.
    void update(double value, TimePoint now);

    /// @return the extrapolated value
    double valueAt(TimePoint now) const;

    /// @return the estimated growth per second, never negative; 0 when the last report is too old
    double rateAt(TimePoint now) const;

    double lastValue() const { return m_value; }
    TimePoint lastUpdate() const { return m_updatedAt; }

private:
    double m_value = 0.0;
    double m_ratePerSecond = 0.0;
    TimePoint m_updatedAt{};
    bool m_hasValue = false;
};

} // namespace bilberry::decision

#endif
