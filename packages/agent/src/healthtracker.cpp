#include "bilberry/agent/healthtracker.h"

namespace bilberry::agent {

namespace {

/// A server that answers no health check for this long is taken for dead, requests and all.
constexpr Duration unresponsiveLimit = std::chrono::seconds(10);

} // namespace

bool HealthTracker::report(const BackendHealth &health, TimePoint now)
{
    const std::uint64_t known = m_health.serverIncarnation;
    m_health = health;
    if (health.reachable) {
        const bool restarted
                = known != 0 && health.serverIncarnation != 0 && health.serverIncarnation != known;
        const bool crashed = restarted && !m_down;
        m_down = false;
        m_unreachableSince.reset();
        if (!crashed)
            m_broken.clear();
        return crashed;
    }
    m_health.serverIncarnation = known;
    if (!m_unreachableSince)
        m_unreachableSince = now;
    const bool dead = health.gone || now - *m_unreachableSince >= unresponsiveLimit;
    if (!dead || m_down)
        return false;
    m_down = true;
    return true;
}

} // namespace bilberry::agent
