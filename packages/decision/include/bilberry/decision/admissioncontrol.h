#ifndef BILBERRY_DECISION_ADMISSIONCONTROL_H
#define BILBERRY_DECISION_ADMISSIONCONTROL_H

#include "bilberry/decision/admissionwindow.h"
#include "bilberry/decision/grantissuer.h"
#include "bilberry/model/ids.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// A router's request to run one attempt on the agent's server.
struct AdmissionRequest
{
    AttemptId attempt = 0;
    LinkId link = 0;
    std::uint64_t grant = 0;  ///< 0: dispatched without a grant
    double virtualTime = 0.0; ///< of the customer, normalised milliseconds
    bool operator==(const AdmissionRequest &) const = default;
};

/// Result of AdmissionControl::tryAdmit().
enum class AdmissionDecision {
    Run,        ///< start now
    Hold,       ///< start when startReady() returns it
    Full,       ///< rejected: the window is full, or requests with a smaller virtual time wait
    StaleGrant, ///< rejected: the grant expired, was used or belongs to another link
    Closed,     ///< rejected: the server accepts no new requests
};

struct AdmissionSettings
{
    WindowLimits limits;
    Duration grantLifetime = std::chrono::seconds(2);
    /// Grants issued beyond the window. Their requests wait at the agent, so that a free slot is
    /// filled without a round trip.
    std::uint32_t extraGrants = 1;
    /// Grants are numbered upwards from the value after this one. Random per incarnation of an
    /// agent, so that a grant of an earlier incarnation is never accepted by this one.
    std::uint64_t grantIdBase = 1;
    bool operator==(const AdmissionSettings &) const = default;
};

/// Load of the server as reported to the routers.
struct AdmissionLoad
{
    std::uint32_t window = 0;  ///< maximum number of concurrent requests
    std::uint32_t running = 0; ///< including those of an earlier incarnation of the agent
    std::uint32_t held = 0;    ///< held requests and open grants
    /// Of the last grant, or the largest one of a request started without a grant.
    double virtualTime = 0.0;
    bool cold = false;
    bool open = false;
    bool contended = false; ///< some router's demand is not met
    bool operator==(const AdmissionLoad &) const = default;
};

/// Admits requests to one backend server. The only component that sees the load of all routers on
/// the server. Invariant: when a request starts, running + inherited does not exceed the window.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionSettings settings);

    void setLimits(WindowLimits limits);

    /// Opens or closes the server for new requests.
    void setOpen(bool open) { m_open = open; }
    bool isOpen() const { return m_open; }

    /// Admits, holds or rejects a request.
    AdmissionDecision tryAdmit(const AdmissionRequest &request, TimePoint now);

    /// Starts held requests while the window has room.
    /// @return the started requests
    std::vector<AttemptId> startReady();

    /// Removes all held requests, for example to refuse them when the server closes.
    /// @return the removed requests
    std::vector<AttemptId> takeHeld();

    /// Issues grants for the available capacity, smallest virtual time first.
    /// @return the issued grants; none while the server is closed
    std::vector<IssuedGrant> issueGrants(TimePoint now);

    /// Removes a running request that has ended.
    /// @param firstByte time to the first byte of a good answer, nothing for a bad one
    void finishAttempt(AttemptId attempt, std::optional<Duration> firstByte,
                       AnswerKind kind = AnswerKind::Streamed);

    /// Removes a held request.
    /// @return false when it is not held
    bool removeHeld(AttemptId attempt);

    /// See GrantIssuer::setDemand().
    void setDemand(LinkId link, std::uint32_t waiting, std::vector<double> nextVirtualTimes);
    /// See GrantIssuer::returnGrant().
    void returnGrant(std::uint64_t grant, LinkId link);

    /// Removes the demand and the grants of a router that disconnected.
    void removeLink(LinkId link);

    /// Handles a restart or failure of the server.
    void handleServerCrash();

    /// Handles a load report of the server.
    /// @param running requests that it runs, including those of an earlier incarnation of the agent
    void handleServerReport(bool cold, std::uint32_t running);

    AdmissionLoad load() const;

private:
    std::uint32_t occupiedSlots() const;
    bool hasRoom() const { return occupiedSlots() < m_window.size(); }
    void updateInherited(std::uint32_t others);
    void start(const AdmissionRequest &request);
    void hold(const AdmissionRequest &request);

    AdmissionSettings m_settings;
    AdmissionWindow m_window;
    GrantIssuer m_grants;
    bool m_open = false;
    bool m_receivedReport = false;
    std::uint32_t m_inherited = 0; ///< running requests of an earlier incarnation
    bool m_startedSinceReport = false;
    std::uint32_t m_uncertainReports = 0;   ///< consecutive, each preceded by starts
    std::uint32_t m_maxUncertainOthers = 0; ///< maximum number of others in them
    /// Virtual time of the last grant, or the largest one of a request started without a grant.
    double m_virtualTime = 0.0;
    std::unordered_map<AttemptId, AdmissionRequest> m_running;
    std::multimap<double, AdmissionRequest> m_held;
};

} // namespace bilberry::decision

#endif
