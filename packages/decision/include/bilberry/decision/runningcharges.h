#ifndef BILBERRY_DECISION_RUNNINGCHARGES_H
#define BILBERRY_DECISION_RUNNINGCHARGES_H

#include "bilberry/decision/serviceledger.h"

#include <unordered_map>

namespace bilberry::decision {

/// Charges requests while they run: the estimate at dispatch, what exceeds it as time passes, and
/// the difference to the true cost at the end. Keeps the error in flight bounded.
class RunningCharges
{
public:
    /// @param ledger outlives this object
    explicit RunningCharges(ServiceLedger &ledger) : m_ledger(ledger) {}

    /// @param attempt the dispatched attempt
    /// @param estimate expected cost, milliseconds of capacity
    void dispatch(AttemptId attempt, const ServiceKey &key, double share, double estimate);

    /// The attempt holds capacity from now on.
    void start(AttemptId attempt, TimePoint now);

    /// Charges what started attempts used beyond the charge so far.
    void tick(TimePoint now);

    /// @param cost true cost, milliseconds of capacity; 0 when the attempt did not run
    void finish(AttemptId attempt, double cost);

    /// @return the attempts being charged
    std::size_t size() const { return m_running.size(); }

private:
    struct Running
    {
        ServiceKey key;
        double share = 1.0;
        double charged = 0.0;
        bool started = false;
        TimePoint startedAt{};
    };

    ServiceLedger &m_ledger;
    std::unordered_map<AttemptId, Running> m_running;
};

} // namespace bilberry::decision

#endif
