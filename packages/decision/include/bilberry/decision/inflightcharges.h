#ifndef BILBERRY_DECISION_INFLIGHTCHARGES_H
#define BILBERRY_DECISION_INFLIGHTCHARGES_H

#include "bilberry/decision/virtualtimetracker.h"

#include <unordered_map>

namespace bilberry::decision {

/// Charges running attempts to a VirtualTimeTracker: the estimate at dispatch, elapsed time beyond
/// it while the attempt runs, and the difference to the true cost at the end. Bounds the error of
/// the virtual time that attempts in flight cause.
class InFlightCharges
{
public:
    /// @param tracker must outlive this object
    explicit InFlightCharges(VirtualTimeTracker &tracker) : m_tracker(tracker) {}

    /// Charges the estimate of a dispatched attempt.
    /// @param share the customer's share for all charges of this attempt, positive
    /// @param estimate expected cost, milliseconds of capacity
    void chargeEstimate(AttemptId attempt, const ServiceKey &key, double share, double estimate);

    /// Records that the attempt uses capacity from now on.
    void markStarted(AttemptId attempt, TimePoint now);

    /// Charges the time that started attempts have run beyond their charge so far.
    void chargeElapsed(TimePoint now);

    /// Corrects the charge to the true cost and removes the attempt.
    /// @param cost true cost, milliseconds of capacity; 0 when the attempt did not run
    void chargeFinal(AttemptId attempt, double cost);

    /// Keeps the charge so far and removes the attempt, whose true cost is unknown: the estimate,
    /// or the time that it has run if that is longer.
    void keepCharge(AttemptId attempt) { m_attempts.erase(attempt); }

    /// @return number of attempts in flight
    std::size_t size() const { return m_attempts.size(); }

private:
    struct Attempt
    {
        ServiceKey key;
        double share = 1.0;
        double chargedMs = 0.0;
        bool started = false;
        TimePoint startedAt{};
    };

    VirtualTimeTracker &m_tracker;
    std::unordered_map<AttemptId, Attempt> m_attempts;
};

} // namespace bilberry::decision

#endif
