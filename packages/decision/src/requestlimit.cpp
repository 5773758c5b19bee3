#include "bilberry/decision/requestlimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberry::decision {

namespace {

/// Limits below this count as this one, so that answers go on telling the limit.
constexpr double minPerSecond = 0.1;
/// Time for which a turn is valid: a second and the time of two requests. It bounds what may come
/// at once after a pause.
constexpr double turnValidityS = 1.0;
constexpr double turnValidityTurns = 2.0;
/// Shares below this count as this one.
constexpr double minShare = 1e-4;
constexpr double msPerS = 1000.0;

} // namespace

RequestLimit::Change RequestLimit::record(std::optional<double> perSecond, TimePoint saidAt)
{
    if (saidAt < m_saidAt || (!perSecond && !m_perSecond))
        return Change::None;
    m_saidAt = saidAt;
    if (perSecond)
        perSecond = std::max(*perSecond, minPerSecond);
    const auto before = std::exchange(m_perSecond, perSecond);
    if (before == m_perSecond)
        return Change::None;
    return before ? Change::Other : Change::Began;
}

void RequestLimit::startTurns(std::size_t routersBefore, TimePoint now)
{
    m_nextTurnAt = now + static_cast<int>(routersBefore) * interval(1.0);
}

bool RequestLimit::allows(double share, double leftFor, TimePoint now)
{
    if (!m_perSecond)
        return true;
    const Duration validity
            = fromMilliseconds(msPerS * (turnValidityS + turnValidityTurns / *m_perSecond));
    const double expired = toMilliseconds(now - validity - m_nextTurnAt);
    if (expired > 0.0) {
        const double step = toMilliseconds(interval(share));
        m_nextTurnAt += fromMilliseconds(step * std::ceil(expired / step));
    }
    return m_nextTurnAt + fromMilliseconds(leftFor * toMilliseconds(validity)) <= now;
}

void RequestLimit::recordSent(double share)
{
    if (m_perSecond)
        m_nextTurnAt += interval(share);
}

/// @return time between two turns of a router with this share
Duration RequestLimit::interval(double share) const
{
    return fromMilliseconds(msPerS / (std::max(share, minShare) * *m_perSecond));
}

} // namespace bilberry::decision
