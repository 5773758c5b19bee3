#ifndef BILBERRY_AGENT_HEALTHTRACKER_H
#define BILBERRY_AGENT_HEALTHTRACKER_H

#include "bilberry/agent/backendevents.h"
#include "bilberry/base/time.h"
#include "bilberry/decision/quarantine.h"

#include <optional>
#include <vector>

namespace bilberry::agent {

/// Tells a crash of the backend server from a health check that merely failed: a server that is too
/// busy to answer still runs its requests.
class HealthTracker
{
public:
    /// Takes in the result of a health check.
    /// @return true when the server crashed or restarted since the last result; once for each crash
    bool report(const BackendHealth &health, TimePoint now);

    /// The server broke a request's connection; it counts as in flight if a crash shows next.
    void broke(decision::Fingerprint fingerprint) { m_broken.push_back(fingerprint); }

    /// @return requests broken since the last good health check
    std::vector<decision::Fingerprint> takeBroken() { return std::exchange(m_broken, {}); }

    /// @return the last result, with the last known incarnation
    const BackendHealth &health() const { return m_health; }

private:
    BackendHealth m_health;
    bool m_down = true; ///< its crash was told already, or it was never up
    std::optional<TimePoint> m_unreachableSince;
    std::vector<decision::Fingerprint> m_broken;
};

} // namespace bilberry::agent

#endif
