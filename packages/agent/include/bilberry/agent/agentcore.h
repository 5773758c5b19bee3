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

/// Callbacks for the core's output.
struct AgentHooks
{
    std::function<void(decision::LinkId, wire::LinkMessage &&)> sendMessage;
    std::function<void(BackendCommand &&)> sendCommand;
    /// Accounts for the memory of a request. May be unset.
    /// @return what holds it
    std::function<std::shared_ptr<void>(std::size_t bytes)> holdMemory{};
    /// @return false when the agent has no memory for more requests. May be unset.
    std::function<bool()> hasMemory{};
};

/// Counters for the metrics; all count since the agent's start.
struct AgentCounters
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t crashes = 0;
    std::uint64_t duplicateDispatches = 0; ///< ignored: the attempt is already held or running
    std::map<wire::RefusalReason, std::uint64_t> refused;
};

/// Decision logic of an agent. Does no I/O: callers pass messages and the time in, and the hooks
/// carry the output.
class AgentCore
{
public:
    AgentCore(AgentSettings settings, Incarnation incarnation, AgentHooks hooks);

    /// Registers a new link and sends the agent's hello on it.
    void addLink(decision::LinkId link, TimePoint now);
    /// Removes the link's held requests. Stops its running ones, except those that may not be
    /// repeated.
    void removeLink(decision::LinkId link, TimePoint now);
    void handleMessage(decision::LinkId link, wire::LinkMessage &&message, TimePoint now);
    void handleBackendEvent(BackendEvent &&event, TimePoint now);

    /// Sends heartbeats, expires quarantine records and updates admission; called every 50 ms.
    void tick(TimePoint now);

    /// @return true when at least one router is linked
    bool hasRouterLink() const { return !m_links.empty(); }

    /// Puts a configuration in force if its revision is higher than the current one.
    void applyConfiguration(const Configuration &configuration, TimePoint now);

    /// Starts the graceful shutdown: refuses held and new requests.
    void drain(TimePoint now);
    /// @return true when no attempt is held or running
    bool idle() const { return m_attempts.empty(); }

    const AgentCounters &counters() const { return m_counters; }
    ConfigurationPtr configuration() const { return m_configuration; }
    wire::ServerLoad load() const;
    bool mayAdmit(TimePoint now) const { return m_freshness.mayAdmit(now); }

private:
    struct Link
    {
        RouterId router;
        bool helloReceived = false;
        bool configurationRequested = false; ///< no offer received since the request
    };
    struct Attempt
    {
        decision::LinkId link = 0;
        std::uint64_t fingerprint = 0;
        bool mayRepeat = true;
        RunCommand request; ///< moved out when the request starts
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
    /// Ignores messages that only agents send.
    template <typename T>
    void handle(decision::LinkId, T &, TimePoint)
    {
    }

    void handleEvent(BackendAnswerHead &head, TimePoint now);
    void handleEvent(BackendAnswerChunk &chunk, TimePoint now);
    void handleEvent(BackendAnswerEnd &end, TimePoint now);
    void handleEvent(BackendHealth &health, TimePoint now);

    /// @param maxStampAge upper bound for the time since the router created the stamp; empty when
    /// unknown
    void processStamp(decision::LinkId link, const wire::ConfigurationStamp &stamp,
                      std::optional<Duration> maxStampAge, TimePoint now);
    wire::ConfigurationStamp stamp(TimePoint now) const;
    /// @return why the agent refuses all requests at present, nothing when it admits them
    std::optional<wire::RefusalReason> currentRefusalReason(TimePoint now) const;
    void send(decision::LinkId link, wire::LinkMessage &&message);
    void refuse(decision::LinkId link, AttemptId attempt, wire::RefusalReason reason);
    void refuseHeld(wire::RefusalReason reason);
    void start(AttemptId attempt, Attempt &state, TimePoint now);
    static decision::AnswerKind answerKind(const Attempt &attempt, TimePoint now);
    void finish(AttemptId attempt, wire::AttemptEnd end, TimePoint now);
    void serverCrashed(TimePoint now);
    bool isSuspectRunning() const;
    bool hasMemory() const { return !m_hooks.hasMemory || m_hooks.hasMemory(); }
    /// Starts the held requests that admission has released, and sends new grants.
    void processAdmissions(TimePoint now);
    /// Opens or closes admission; refuses the held requests when it closes.
    void updateAdmission(TimePoint now);
    void sendHeartbeatIfDue(TimePoint now);

    AgentSettings m_settings;
    Incarnation m_incarnation;
    AgentHooks m_hooks;
    Log m_log{"agent.core"};
    decision::AdmissionControl m_admission;
    decision::Quarantine m_quarantine{{}};
    decision::ConfigurationFreshness m_freshness;
    decision::MessageAgeTracker m_messageAges;
    decision::CostFunction m_costFunction;
    ConfigurationPtr m_configuration;
    std::map<decision::LinkId, Link> m_links;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    HealthTracker m_health;
    bool m_draining = false;
    std::uint32_t m_crashCount = 0;
    wire::ServerLoad m_lastSentLoad;
    TimePoint m_lastHeartbeatAt{};
    AgentCounters m_counters;
};

} // namespace bilberry::agent

#endif
