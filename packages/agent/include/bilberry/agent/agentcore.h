#ifndef BILBERRY_AGENT_AGENTCORE_H
#define BILBERRY_AGENT_AGENTCORE_H

#include "bilberry/agent/agentsettings.h"
#include "bilberry/agent/backendevents.h"
#include "bilberry/agent/healthtracker.h"
#include "bilberry/base/log.h"
#include "bilberry/decision/admissioncontrol.h"
#include "bilberry/decision/costestimator.h"
#include "bilberry/decision/messageagetracker.h"
#include "bilberry/decision/quarantine.h"
#include "bilberry/model/configuration.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace bilberry::agent {

/// Where the core's output goes.
struct AgentHooks
{
    std::function<void(decision::LinkId, wire::LinkMessage &&)> send;
    std::function<void(BackendCommand &&)> backend;
};

/// Numbers for the metrics.
struct AgentCounts
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t repeatedDispatches = 0; ///< of attempts that are here already; dropped
    std::map<wire::RefusalReason, std::uint64_t> refused;
};

/// Everything that an agent decides. No I/O: messages and time come in, hooks carry them out.
class AgentCore
{
public:
    AgentCore(AgentSettings settings, Incarnation incarnation, AgentHooks hooks);

    void linkUp(decision::LinkId link, TimePoint now);
    void linkDown(decision::LinkId link, TimePoint now);
    void received(decision::LinkId link, wire::LinkMessage &&message, TimePoint now);
    void backend(BackendEvent &&event, TimePoint now);

    /// Heartbeats, expiry and changes of state; called every 50 ms.
    void tick(TimePoint now);

    /// @return whether some router's link is up
    bool hasRouter() const { return !m_links.empty(); }

    /// Puts a configuration in force unless it is older than the present one.
    void offerConfiguration(const Configuration &configuration, TimePoint now);

    /// Graceful shutdown: no new work from now on.
    void drain(TimePoint now);
    /// @return true when nothing runs any more
    bool idle() const { return m_attempts.empty(); }

    const AgentCounts &counts() const { return m_counts; }
    ConfigurationPtr configuration() const { return m_configuration; }
    wire::ServerLoad load() const;
    bool mayAdmit(TimePoint now) const { return m_freshness.mayAdmit(now); }

private:
    struct Link
    {
        RouterId router;
        bool greeted = false;
        bool asked = false; ///< for a newer configuration
    };
    struct Attempt
    {
        decision::LinkId link = 0;
        std::uint64_t fingerprint = 0;
        bool mayRepeat = true;
        RunRequest request; ///< kept until the request starts
        bool started = false;
        TimePoint startedAt{};
        std::optional<TimePoint> firstByteAt;
        std::uint32_t chunks = 0;
    };

    void handle(decision::LinkId link, wire::RouterHello &message, TimePoint now);
    void handle(decision::LinkId link, wire::RouterHeartbeat &message, TimePoint now);
    void handle(decision::LinkId link, wire::Demand &message, TimePoint now);
    void handle(decision::LinkId link, wire::Dispatch &message, TimePoint now);
    void handle(decision::LinkId link, wire::GrantReturn &message, TimePoint now);
    void handle(decision::LinkId link, wire::Cancel &message, TimePoint now);
    void handle(decision::LinkId link, wire::AnswerCredit &message, TimePoint now);
    void handle(decision::LinkId link, wire::QuarantineNotice &message, TimePoint now);
    void handle(decision::LinkId link, wire::ConfigurationRequest &message, TimePoint now);
    void handle(decision::LinkId link, wire::ConfigurationOffer &message, TimePoint now);
    /// Messages that only agents send.
    template <typename T>
    void handle(decision::LinkId, T &, TimePoint)
    {
    }

    void event(BackendHead &head, TimePoint now);
    void event(BackendChunk &chunk, TimePoint now);
    void event(BackendEnd &end, TimePoint now);
    void event(BackendHealth &health, TimePoint now);

    /// @param sinceMade longest possible time since the router made the stamp, if it is bounded
    void takeStamp(decision::LinkId link, const wire::ConfigurationStamp &stamp,
                   std::optional<Duration> sinceMade, TimePoint now);
    wire::ConfigurationStamp stamp(TimePoint now) const;
    std::optional<wire::RefusalReason> closedReason(TimePoint now) const;
    void send(decision::LinkId link, wire::LinkMessage &&message);
    void refuse(decision::LinkId link, AttemptId attempt, wire::RefusalReason reason);
    void refuseHeld(wire::RefusalReason reason);
    void start(AttemptId attempt, Attempt &state, TimePoint now);
    static decision::AnswerKind kindOf(const Attempt &attempt, TimePoint now);
    void finish(AttemptId attempt, wire::AttemptEnd end, TimePoint now);
    void serverCrashed(TimePoint now);
    bool suspectRuns() const;
    void advance(TimePoint now);
    void updateOpen(TimePoint now);
    void heartbeat(TimePoint now);

    AgentSettings m_settings;
    Incarnation m_incarnation;
    AgentHooks m_hooks;
    Log m_log{"agent.core"};
    decision::AdmissionControl m_admission;
    decision::Quarantine m_quarantine{{}};
    decision::ConfigurationFreshness m_freshness;
    decision::MessageAgeTracker m_echoes;
    decision::CostFunction m_cost;
    ConfigurationPtr m_configuration;
    std::map<decision::LinkId, Link> m_links;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    HealthTracker m_health;
    bool m_draining = false;
    std::uint32_t m_crashes = 0;
    wire::ServerLoad m_sentLoad;
    TimePoint m_heartbeatAt{};
    AgentCounts m_counts;
};

} // namespace bilberry::agent

#endif
