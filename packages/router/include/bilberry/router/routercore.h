#ifndef BILBERRY_ROUTER_ROUTERCORE_H
#define BILBERRY_ROUTER_ROUTERCORE_H

#include "bilberry/base/log.h"
#include "bilberry/decision/answersequence.h"
#include "bilberry/decision/burnmeter.h"
#include "bilberry/decision/costestimator.h"
#include "bilberry/decision/inflightcharges.h"
#include "bilberry/decision/placement.h"
#include "bilberry/decision/quarantine.h"
#include "bilberry/decision/retrybudget.h"
#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"
#include "bilberry/router/claimevents.h"
#include "bilberry/router/routersettings.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace bilberry::router {

/// Outputs of RouterCore, called synchronously.
struct RouterCoreHooks
{
    std::function<void(const ServerId &, wire::LinkMessage &&)> sendToAgent;
    std::function<void(CallerReply &&)> replyToCaller;
    std::function<void(ClaimCommand &&)> sendClaimCommand;
    /// Reports the crashes of a request to the other routers.
    std::function<void(const wire::QuarantineNotice &)> gossipQuarantine;
};

/// Counters for the metrics, since the start of the process.
struct RouterCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t droppedParts = 0; ///< answer parts of unknown or ended attempts, and duplicates
    std::map<RefusalKind, std::uint64_t> refused;
};

/// Queues, dispatches, retries and answers the requests of one router. Does no I/O: events and the
/// time are passed in, output goes to the hooks.
class RouterCore
{
public:
    RouterCore(const RouterSettings &settings, Incarnation incarnation, RouterCoreHooks hooks,
               decision::RandomIndexHook random);

    void handleCallerEvent(CallerEvent &&event, TimePoint now);
    void handleOpenClaimReply(const OpenClaimReply &reply, TimePoint now);

    void addAgent(const wire::AgentHello &hello, TimePoint now);
    void removeAgent(const ServerId &server, TimePoint now);
    void handleAgentMessage(const ServerId &server, wire::LinkMessage &&message, TimePoint now);

    void setConfiguration(ConfigurationPtr configuration, TimePoint now);
    /// Applies the service that the other routers charged to a customer.
    /// @param aggregatorChanged whether the total is the first one of another aggregator
    void applyRemoteService(const decision::ServiceKey &key, const decision::RemoteService &remote,
                            bool aggregatorChanged, TimePoint now);
    void mergeQuarantine(const wire::QuarantineNotice &notice, TimePoint now);

    /// Updates running charges, sends changed demands and applies timeouts; called every 20 ms.
    void tick(TimePoint now);

    /// @return true when no request is queued or running
    bool isIdle() const { return m_requests.empty(); }

    /// @return this router's service counters, to be reported to the aggregators
    std::vector<decision::LocalServiceCounter> localService() const
    {
        return m_virtualTimes.localCounters();
    }
    std::vector<wire::QuarantineNotice> quarantineEntries() const;

    const RouterCounters &counters() const { return m_counters; }
    const decision::VirtualTimeTracker &virtualTimes() const { return m_virtualTimes; }
    const decision::BurnMeter &burn() const { return m_burn; }
    const decision::Placement &placement() const { return m_placement; }
    ConfigurationPtr configuration() const { return m_configuration; }
    /// @return number of queued requests of a pool
    std::size_t waitingRequests(const PoolId &pool) const;

private:
    enum class Stage { Queued, Claiming, Running };

    struct Request
    {
        SubmittedRequest submitted;
        std::uint64_t fingerprint = 0;
        std::string claimName; ///< empty when the request needs no claim
        bool claimHeld = false;
        Stage stage = Stage::Queued;
        bool callerDisconnected = false;
        bool headSent = false;
        bool attemptMayHaveRun = false; ///< an earlier attempt failed and may have run
        std::uint16_t status = 0;
        TimePoint arrivedAt{};
        std::set<ServerId> refusedBy;
        ServerId server; ///< runs the attempt or gave the grant
        AttemptId attempt = 0;
        std::uint64_t grantId = 0; ///< 0: dispatched without a grant
        decision::AnswerSequence sequence;
    };
    using Requests = std::unordered_map<RequestId, Request>;

    /// Queued requests of one pool, and the state of the demand sent to its agents.
    struct PoolQueue
    {
        decision::FairQueue queue;
        bool demandChanged = false;   ///< some agent has an outdated demand
        bool demandAnnounced = false; ///< the demand last sent was not empty
        TimePoint demandSentAt{};
    };

    void handleEvent(SubmittedRequest &submitted, TimePoint now);
    void handleEvent(CallerDisconnected &disconnected, TimePoint now);
    void handleEvent(AnswerBytesWritten &written, TimePoint now);

    void handle(const ServerId &server, wire::AgentHeartbeat &message, TimePoint now);
    void handle(const ServerId &server, wire::Grant &message, TimePoint now);
    void handle(const ServerId &server, wire::Refusal &message, TimePoint now);
    void handle(const ServerId &server, wire::AttemptStarted &message, TimePoint now);
    void handle(const ServerId &server, wire::AnswerHead &message, TimePoint now);
    void handle(const ServerId &server, wire::AnswerChunk &message, TimePoint now);
    void handle(const ServerId &server, wire::AnswerEnd &message, TimePoint now);
    void handle(const ServerId &server, wire::QuarantineNotice &message, TimePoint now);
    /// Ignores messages that only routers send and those that AgentLinks handles.
    template <typename T>
    void handle(const ServerId &, T &, TimePoint)
    {
    }

    PoolQueue &poolQueue(const PoolId &pool);
    decision::PriorityLookup customerPriorities(const PoolId &pool, TimePoint now) const;
    double share(const CustomerId &customer) const;
    decision::ServiceKey keyOf(const Request &request) const;

    bool dispatchWithoutGrant(RequestId id, Request &request, TimePoint now);
    void dispatch(RequestId id, Request &request, const ServerId &server, std::uint64_t grantId,
                  TimePoint now);
    void enqueue(RequestId id, Request &request, TimePoint now);
    void requeue(RequestId id, Request &request, TimePoint now);
    void useGrant(const ServerId &server, std::uint64_t grantId, TimePoint now);
    void returnGrant(const ServerId &server, std::uint64_t grantId, TimePoint now);
    void updateAfterDequeue(const PoolId &pool, const CustomerId &customer);
    Requests::iterator findRequest(const ServerId &server, AttemptId attempt);
    void failAttempt(RequestId id, Request &request, TimePoint now);
    void completeAttempt(Requests::iterator found, const wire::AnswerEnd &end);
    void refuse(RequestId id, RefusalKind kind, RequestOutcome outcome,
                std::uint32_t retryAfterSeconds, TimePoint now, const std::string &detail = "");
    bool isRunning(decision::Fingerprint fingerprint) const;
    void endClaim(Request &request, bool ran);
    static void releaseBody(Request &request);
    void applyLoad(const ServerId &server, const wire::ServerLoad &load);
    wire::Demand currentDemand(const PoolId &pool, TimePoint now);
    void sendDemand(const PoolId &pool, PoolQueue &queue, TimePoint now);
    void sendChangedDemands(TimePoint now);
    void expireQueued(TimePoint now);

    struct Agent
    {
        Incarnation incarnation = 0;
        PoolId pool;
        ZoneId zone;
        TimePoint demandSentAt{}; ///< when this router last sent it a demand
    };

    RouterSettings m_settings;
    RouterCoreHooks m_hooks;
    Log m_log{"router.core"};
    ConfigurationPtr m_configuration;
    AttemptId m_lastAttempt;
    decision::VirtualTimeTracker m_virtualTimes;
    decision::InFlightCharges m_inFlightCharges{m_virtualTimes};
    decision::CostEstimator m_estimator;
    decision::Placement m_placement;
    decision::Quarantine m_quarantine{{}};
    decision::BurnMeter m_burn;
    std::map<PoolId, decision::RetryBudget> m_retryBudgets;
    std::map<ServerId, Agent> m_agents;
    std::map<PoolId, PoolQueue> m_queues;
    Requests m_requests;
    std::unordered_map<AttemptId, RequestId> m_requestByAttempt;
    RouterCounters m_counters;
};

} // namespace bilberry::router

#endif
