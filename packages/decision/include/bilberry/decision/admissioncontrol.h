#ifndef BILBERRY_DECISION_ADMISSIONCONTROL_H
#define BILBERRY_DECISION_ADMISSIONCONTROL_H

#include "bilberry/decision/admissionwindow.h"
#include "bilberry/decision/grantbook.h"
#include "bilberry/model/ids.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// A router's wish to run one request on the agent's server.
struct AdmissionRequest
{
    AttemptId attempt = 0;
    LinkId link = 0;
    std::uint64_t grant = 0; ///< 0: without a grant
    double virtualTime = 0.0;
    bool operator==(const AdmissionRequest &) const = default;
};

enum class AdmissionDecision {
    Run,        ///< start it now
    Hold,       ///< start it when startReady() names it
    Full,       ///< no room, or others come first
    StaleGrant, ///< the grant can't be used any more
    Closed,     ///< the server takes no new work
};

struct AdmissionSettings
{
    WindowLimits limits;
    Duration grantLifetime = std::chrono::seconds(2);
    /// Grants made beyond the window. Their requests wait at the agent, so that a slot that
    /// becomes free finds work without a round trip.
    std::uint32_t extraGrants = 1;
    /// Grants are numbered from here. Random for each life of an agent, so that a grant of an
    /// earlier life is never taken for one of this life.
    std::uint64_t firstGrant = 1;
    bool operator==(const AdmissionSettings &) const = default;
};

/// What routers are told of the server's load.
struct AdmissionLoad
{
    std::uint32_t window = 0;
    std::uint32_t running = 0;
    std::uint32_t held = 0;
    double virtualTime = 0.0;
    bool cold = false;
    bool open = false;
    bool contended = false;
    bool operator==(const AdmissionLoad &) const = default;
};

/// Decides which requests run on one backend server. The only place that sees the load of all
/// routers on it; invariant: running + inherited never exceeds the window when a request starts.
class AdmissionControl
{
public:
    explicit AdmissionControl(AdmissionSettings settings);

    void setLimits(WindowLimits limits);

    /// Opens or closes the server for new work.
    void setOpen(bool open) { m_open = open; }
    bool isOpen() const { return m_open; }

    /// Decides on a request.
    AdmissionDecision tryAdmit(const AdmissionRequest &request, TimePoint now);

    /// @return held requests that start now
    std::vector<AttemptId> startReady();

    /// @return all held requests, for example to refuse them when the server closes
    std::vector<AttemptId> takeHeld();

    /// @return grants to send now; none while the server is closed
    std::vector<IssuedGrant> issueGrants(TimePoint now);

    /// A request ended.
    /// @param firstByte time to the first byte of a good answer, nothing for a bad one
    void finishAttempt(AttemptId attempt, std::optional<Duration> firstByte,
                       AnswerKind kind = AnswerKind::Streamed);

    /// Takes a held request out.
    /// @return false when it is not held
    bool removeHeld(AttemptId attempt);

    void setDemand(LinkId link, std::uint32_t waiting, std::vector<double> nextVirtualTimes);
    void returnGrant(std::uint64_t grant, LinkId link);

    /// A router is gone: its demand and grants end.
    void removeLink(LinkId link);

    /// The server restarted or failed.
    void handleServerCrash();

    /// Takes the server's load report in.
    /// @param running requests that it runs, also those of an earlier life of this agent
    void handleServerReport(bool cold, std::uint32_t running);

    AdmissionLoad load() const;

private:
    std::uint32_t used() const;
    bool hasRoom() const { return used() < m_window.size(); }
    void updateInherited(std::uint32_t others);
    void start(const AdmissionRequest &request);
    void hold(const AdmissionRequest &request);

    AdmissionSettings m_settings;
    AdmissionWindow m_window;
    GrantBook m_grants;
    bool m_open = false;
    bool m_heardReport = false;
    std::uint32_t m_inherited = 0; ///< requests of an earlier life that still run
    bool m_startedSinceReport = false;
    std::uint32_t m_doubtfulReports = 0; ///< in a row, with starts before each
    std::uint32_t m_doubtfulOthers = 0;  ///< largest number of others that they show
    double m_virtualTime = 0.0; ///< of the last grant, or the largest one started without a grant
    std::unordered_map<AttemptId, AdmissionRequest> m_running;
    std::multimap<double, AdmissionRequest> m_held;
};

} // namespace bilberry::decision

#endif
