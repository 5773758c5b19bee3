#include "bilberry/decision/inflightcharges.h"

namespace bilberry::decision {

void InFlightCharges::chargeEstimate(AttemptId attempt, const ServiceKey &key, double share,
                                     double estimate)
{
    m_ledger.charge(key, estimate, share);
    m_running[attempt] = {key, share, estimate, false, {}};
}

void InFlightCharges::markStarted(AttemptId attempt, TimePoint now)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end() || found->second.started)
        return;
    found->second.started = true;
    found->second.startedAt = now;
}

void InFlightCharges::chargeElapsed(TimePoint now)
{
    for (auto &[attempt, running] : m_running) {
        if (!running.started)
            continue;
        const double used = toMilliseconds(now - running.startedAt);
        if (used <= running.charged)
            continue;
        m_ledger.charge(running.key, used - running.charged, running.share);
        running.charged = used;
    }
}

void InFlightCharges::chargeFinal(AttemptId attempt, double cost)
{
    const auto found = m_running.find(attempt);
    if (found == m_running.end())
        return;
    const Running &running = found->second;
    m_ledger.charge(running.key, cost - running.charged, running.share);
    m_running.erase(found);
}

} // namespace bilberry::decision
