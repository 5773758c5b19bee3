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

/// Where the core's output goes.
struct RouterCoreHooks
{
    std::function<void(const ServerId &, wire::LinkMessage &&)> sendToAgent;
    std::function<void(CallerReply &&)> replyToCaller;
    std::function<void(ClaimCommand &&)> sendClaimCommand;
    /// A request crashed servers; other routers want to know.
    std::function<void(const wire::QuarantineNotice &)> gossipQuarantine;
};

/// Numbers for the metrics.
struct RouterCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t droppedParts = 0; ///< parts of unknown or ended attempts
    std::map<RefusalKind, std::uint64_t> refused;
};

/// Everything that a router decides about requests. No I/O: messages and time come in, hooks
/// carry them out.
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
    void applyRemoteService(const decision::ServiceKey &key, const decision::RemoteService &remote,
                            bool aggregatorChanged, TimePoint now);
    void mergeQuarantine(const wire::QuarantineNotice &notice, TimePoint now);

    /// Progressive charges, demand and time limits; called every 20 ms.
    void tick(TimePoint now);

    /// @return true when no request waits or runs
    bool isIdle() const { return m_requests.empty(); }

    /// @return own counters for the aggregators
    std::vector<decision::LocalServiceCounter> ownService() const
    {
        return m_ledger.localCounters();
    }
    std::vector<wire::QuarantineNotice> quarantineEntries() const;

    const RouterCounters &counts() const { return m_counts; }
    const decision::VirtualTimeTracker &ledger() const { return m_ledger; }
    const decision::BurnMeter &burn() const { return m_burn; }
    const decision::Placement &placement() const { return m_placement; }
    ConfigurationPtr configuration() const { return m_configuration; }
    /// @return waiting requests of a pool
    std::size_t waitingRequests(const PoolId &pool) const;

private:
    enum class Stage { Queued, Claiming, Running };

    struct Request
    {
        SubmittedRequest submitted;
        std::uint64_t fingerprint = 0;
        std::string claimName; ///< empty: needs no claim
        bool claimHeld = false;
        Stage stage = Stage::Queued;
        bool callerDisconnected = false;
        bool headSent = false;
        bool attemptMayHaveRun = false; ///< an attempt may have run
        std::uint16_t status = 0;
        TimePoint arrivedAt{};
        std::set<ServerId> refusedBy;
        ServerId server; ///< of the attempt or the grant
        AttemptId attempt = 0;
        std::uint64_t grant = 0;
        decision::AnswerSequence sequence;
    };
    using Requests = std::unordered_map<RequestId, Request>;

    /// Waiting requests of one pool and what its agents were told of them.
    struct PoolQueue
    {
        decision::FairQueue queue;
        bool demandChanged = false;
        bool demandAnnounced = false;
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
    /// Messages that only routers send, and those that the links handle themselves.
    template <typename T>
    void handle(const ServerId &, T &, TimePoint)
    {
    }

    PoolQueue &poolQueue(const PoolId &pool);
    decision::PriorityLookup customerStandings(const PoolId &pool, TimePoint now) const;
    double share(const CustomerId &customer) const;
    decision::ServiceKey keyOf(const Request &request) const;

    bool dispatchWithoutGrant(RequestId id, Request &request, TimePoint now);
    void dispatch(RequestId id, Request &request, const ServerId &server, std::uint64_t grant,
                  TimePoint now);
    void enqueue(RequestId id, Request &request, TimePoint now);
    void requeue(RequestId id, Request &request, TimePoint now);
    void useGrant(const ServerId &server, std::uint64_t grant, TimePoint now);
    void returnGrant(const ServerId &server, std::uint64_t grant, TimePoint now);
    void updateAfterDequeue(const PoolId &pool, const CustomerId &customer);
    Requests::iterator findRequest(const ServerId &server, AttemptId attempt);
    void failAttempt(RequestId id, Request &request, TimePoint now);
    void completeAttempt(Requests::iterator found, const wire::AnswerEnd &end);
    void refuse(RequestId id, RefusalKind kind, RequestOutcome outcome,
                std::uint32_t retryAfterSeconds, TimePoint now, const std::string &detail = "");
    bool isRunning(decision::Fingerprint fingerprint) const;
    void endClaim(Request &request, bool ran);
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
        TimePoint demandSentAt{}; ///< when it was last told of this router's demand
    };

    RouterSettings m_settings;
    RouterCoreHooks m_hooks;
    Log m_log{"router.core"};
    ConfigurationPtr m_configuration;
    AttemptId m_lastAttempt;
    decision::VirtualTimeTracker m_ledger;
    decision::InFlightCharges m_runningCharges{m_ledger};
    decision::CostEstimator m_estimator;
    decision::Placement m_placement;
    decision::Quarantine m_quarantine{{}};
    decision::BurnMeter m_burn;
    std::map<PoolId, decision::RetryBudget> m_retryBudgets;
    std::map<ServerId, Agent> m_agents;
    std::map<PoolId, PoolQueue> m_queues;
    Requests m_requests;
    std::unordered_map<AttemptId, RequestId> m_requestByAttempt;
    RouterCounters m_counts;
};

} // namespace bilberry::router

#endif
