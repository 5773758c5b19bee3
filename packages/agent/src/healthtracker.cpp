#include "bilberry/agent/healthtracker.h"

namespace bilberry::agent {

namespace {

/// Time without an answered health check after which the server and its requests count as crashed.
constexpr Duration unresponsiveLimit = std::chrono::seconds(10);

} // namespace

bool HealthTracker::update(const BackendHealth &health, TimePoint now)
{
    const std::uint64_t knownIncarnation = m_health.serverIncarnation;
    m_health = health;
    if (health.reachable) {
        const bool restarted = knownIncarnation != 0 && health.serverIncarnation != 0
                               && health.serverIncarnation != knownIncarnation;
        const bool crashed = restarted && !m_down;
        m_down = false;
        m_unreachableSince.reset();
        if (!crashed)
            m_brokenRequests.clear();
        return crashed;
    }
    m_health.serverIncarnation = knownIncarnation;
    if (!m_unreachableSince)
        m_unreachableSince = now;
    const bool dead = health.connectionRefused || now - *m_unreachableSince >= unresponsiveLimit;
    if (!dead || m_down)
        return false;
    m_down = true;
    return true;
}

} // namespace bilberry::agent
