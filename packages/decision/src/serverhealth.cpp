#include "bilberry/decision/serverhealth.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// Limits the number of times the backoff doubles, so that the shift can't overflow.
constexpr std::uint32_t maxDoublings = 10;
/// Weight as a failure of an error that the server reports; less than 1 because the request may
/// have caused it.
constexpr double serverErrorWeight = 0.6;

} // namespace

void ServerHealth::recordOutcome(AttemptOutcome outcome, TimePoint now)
{
    decay(now);
    switch (outcome) {
    case AttemptOutcome::Answered:
        m_successWeight += 1.0;
        return;
    case AttemptOutcome::ConnectFailed: {
        const std::uint32_t doublings = std::min(m_connectFailures++, maxDoublings);
        m_unreachableUntil
                = now
                  + std::min(m_settings.initialBackoff * (1U << doublings), m_settings.maxBackoff);
        return;
    }
    case AttemptOutcome::WrongServer:
    case AttemptOutcome::Cancelled:
        return;
    case AttemptOutcome::ServerError:
        m_failureWeight += serverErrorWeight;
        m_successWeight += 1.0 - serverErrorWeight;
        break;
    case AttemptOutcome::Shed:
    case AttemptOutcome::BrokenAnswer:
    case AttemptOutcome::TimedOut:
        m_failureWeight += 1.0;
        break;
    }
    if (m_failureWeight < m_settings.minFailures
        || m_failureWeight < m_settings.ejectionFailureRatio * (m_successWeight + m_failureWeight))
        return;
    m_ejectedUntil = now + m_settings.ejectionDuration;
    // New outcomes decide about the next ejection; half of the required failures remain counted.
    m_successWeight = 0.0;
    m_failureWeight = m_settings.minFailures / 2.0;
}

void ServerHealth::decay(TimePoint now)
{
    const double halfLives
            = toMilliseconds(now - m_decayedAt) / toMilliseconds(m_settings.halfLife);
    const double factor = m_decayedAt == TimePoint() ? 0.0 : std::exp2(-halfLives);
    m_successWeight *= factor;
    m_failureWeight *= factor;
    m_decayedAt = now;
}

} // namespace bilberry::decision
