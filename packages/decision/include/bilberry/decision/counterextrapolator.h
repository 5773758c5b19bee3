#ifndef BILBERRY_DECISION_COUNTEREXTRAPOLATOR_H
#define BILBERRY_DECISION_COUNTEREXTRAPOLATOR_H

#include "bilberry/base/time.h"

namespace bilberry::decision {

/// Dead reckoning of one counter between its reports. The reporter and the aggregator keep the same
/// reckoning, so that the reporter knows what the aggregator expects, and reports only what is
/// off by much.
class CounterExtrapolator
{
public:
    /// Takes a reported value in.
    void report(double value, TimePoint now);

    /// @return the value that is expected now
    double expected(TimePoint now) const;

    /// @return the expected growth a second; 0 when the last report is too old
    double rate(TimePoint now) const;

    double reported() const { return m_value; }
    TimePoint reportedAt() const { return m_at; }

private:
    double m_value = 0.0;
    double m_rate = 0.0;
    TimePoint m_at{};
    bool m_known = false;
};

} // namespace bilberry::decision

#endif
