#ifndef BILBERRY_DECISION_INFLIGHTCHARGES_H
#define BILBERRY_DECISION_INFLIGHTCHARGES_H

#include "bilberry/decision/virtualtimetracker.h"

#include <unordered_map>

namespace bilberry::decision {

/// Charges requests while they run: the estimate at dispatch, what exceeds it as time passes, and
/// the difference to the true cost at the end. Keeps the error in flight bounded.
class InFlightCharges
{
public:
    /// @param ledger outlives this object
    explicit InFlightCharges(VirtualTimeTracker &ledger) : m_ledger(ledger) {}

    /// @param attempt the dispatched attempt
    /// @param estimate expected cost, milliseconds of capacity
    void chargeEstimate(AttemptId attempt, const ServiceKey &key, double share, double estimate);

    /// The attempt holds capacity from now on.
    void markStarted(AttemptId attempt, TimePoint now);

    /// Charges what started attempts used beyond the charge so far.
    void chargeElapsed(TimePoint now);

    /// @param cost true cost, milliseconds of capacity; 0 when the attempt did not run
    void chargeFinal(AttemptId attempt, double cost);

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

    VirtualTimeTracker &m_ledger;
    std::unordered_map<AttemptId, Running> m_running;
};

} // namespace bilberry::decision

#endif
