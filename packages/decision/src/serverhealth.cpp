#include "bilberry/decision/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// Backoff stops doubling here, so that the shift can't overflow.
constexpr std::uint32_t maxDoublings = 10;
/// An error that the server itself reports may be the request's fault.
constexpr double serverErrorWeight = 0.6;

} // namespace

void ServerHealth::recordOutcome(AttemptOutcome outcome, TimePoint now)
{
    decay(now);
    switch (outcome) {
    case AttemptOutcome::Answered:
        m_good += 1.0;
        return;
    case AttemptOutcome::ConnectFailed: {
        const std::uint32_t doublings = std::min(m_connectFailures++, maxDoublings);
        m_unreachableUntil
                = now
                  + std::min(m_settings.firstBackoff * (1U << doublings), m_settings.maxBackoff);
        return;
    }
    case AttemptOutcome::WrongServer:
    case AttemptOutcome::Cancelled:
        return;
    case AttemptOutcome::ServerError:
        m_bad += serverErrorWeight;
        m_good += 1.0 - serverErrorWeight;
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::BrokenAnswer:
    case AttemptOutcome::TimedOut:
        m_bad += 1.0;
        break;
    }
    if (m_bad < m_settings.minFailures || m_bad < m_settings.failureShare * (m_good + m_bad))
        return;
    m_ejectedUntil = now + m_settings.ejection;
    // A server that is tried again is judged by its new answers.
    m_good = 0.0;
    m_bad = m_settings.minFailures / 2.0;
}

void ServerHealth::decay(TimePoint now)
{
    const double halves = toMilliseconds(now - m_decayedAt) / toMilliseconds(m_settings.halfLife);
    const double kept = m_decayedAt == TimePoint() ? 0.0 : std::exp2(-halves);
    m_good *= kept;
    m_bad *= kept;
    m_decayedAt = now;
}

} // namespace bilberry::decision
