#include "bilberry/decision/inflightcharges.h"

namespace bilberry::decision {

void InFlightCharges::chargeEstimate(AttemptId attempt, const ServiceKey &key, double share,
                                     double estimate)
{
    m_tracker.charge(key, estimate, share);
    m_attempts[attempt] = {key, share, estimate, false, {}};
}

void InFlightCharges::markStarted(AttemptId attempt, TimePoint now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.started)
        return;
    found->second.started = true;
    found->second.startedAt = now;
}

void InFlightCharges::chargeElapsed(TimePoint now)
{
    for (auto &[id, attempt] : m_attempts) {
        if (!attempt.started)
            continue;
        const double elapsedMs = toMilliseconds(now - attempt.startedAt);
        if (elapsedMs <= attempt.chargedMs)
            continue;
        m_tracker.charge(attempt.key, elapsedMs - attempt.chargedMs, attempt.share);
        attempt.chargedMs = elapsedMs;
    }
}

void InFlightCharges::chargeFinal(AttemptId attempt, double cost)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const Attempt &running = found->second;
    m_tracker.charge(running.key, cost - running.chargedMs, running.share);
    m_attempts.erase(found);
}

} // namespace bilberry::decision
