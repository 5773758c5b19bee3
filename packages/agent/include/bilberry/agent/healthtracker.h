#ifndef BILBERRY_AGENT_HEALTHTRACKER_H
#define BILBERRY_AGENT_HEALTHTRACKER_H

#include "bilberry/agent/backendevents.h"
#include "bilberry/base/time.h"
#include "bilberry/decision/quarantine.h"

#include <optional>
#include <vector>

namespace bilberry::agent {

/// Distinguishes a crash of the backend server from a failed health check: a server that is too
/// busy to answer still runs its requests.
class HealthTracker
{
public:
    /// Records the result of a health check.
    /// @return true when the server has crashed or restarted since the last result; once per crash
    bool update(const BackendHealth &health, TimePoint now);

    /// Records a request whose connection broke; it counts as in flight if a crash is detected
    /// before the next successful health check.
    void addBrokenRequest(decision::Fingerprint fingerprint)
    {
        m_brokenRequests.push_back(fingerprint);
    }

    /// Returns and clears the recorded requests.
    /// @return requests broken since the last successful health check
    std::vector<decision::Fingerprint> takeBrokenRequests()
    {
        return std::exchange(m_brokenRequests, {});
    }

    /// @return the last result; keeps the last known incarnation while the server is unreachable
    const BackendHealth &health() const { return m_health; }

private:
    BackendHealth m_health;
    bool m_down = true; ///< crash already reported, or never reachable so far
    std::optional<TimePoint> m_unreachableSince;
    std::vector<decision::Fingerprint> m_brokenRequests;
};

} // namespace bilberry::agent

#endif
