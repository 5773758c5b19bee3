#ifndef BILBERRY_DIRECT_REQUESTHANDLER_H
#define BILBERRY_DIRECT_REQUESTHANDLER_H

#include "callerconnection.h"
#include "crashguard.h"
#include "refusal.h"
#include "serverattempt.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/decision/windowedretrybudget.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/direct/eventsplitter.h"
#include "bilberry/direct/headernames.h"
#include "bilberry/http/eventboundary.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace bilberry::direct {

/// Numbers of requests since the start of the router.
struct RequestCounters
{
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0; ///< further attempts after a failed one
    std::uint64_t resumed = 0; ///< streams continued by another attempt
    std::uint64_t callerDisconnects = 0;
    std::uint64_t truncated = 0; ///< responses cut off after their header was sent
    std::map<RefusalReason, std::uint64_t> refused;
};

/// State that all requests of a router share.
struct RequestContext
{
    boost::asio::io_context &io;
    const DirectSettings &settings;
    const HeaderNames &headerNames;
    ServerConnections &connections;
    decision::ServerSelector &serverSelector;
    decision::CustomerUsageMeter &usageMeter;
    decision::CrashSuspicion &crashSuspicion;
    CrashDetector &crashDetector;
    std::map<PoolId, decision::WindowedRetryBudget> &retryBudgets;
    RequestCounters &counters;
    Log &log;
    std::mt19937_64 &random;
    std::function<TrafficPlanPtr()> currentPlan;
    std::function<bool()> planIsFresh; ///< false: the plan may still contain withdrawn keys
    /// @return when all requests must have ended, once a shutdown has come so far that a request
    ///         received now may not end in time by itself
    std::function<std::optional<TimePoint>()> stopsAt;
    std::function<void(const PoolId &, Duration)> recordFirstByteLatency;
    /// @return true while a refused caller should return on another connection
    std::function<bool()> shouldCloseAfterRefusal;
};

/// Handles one request of a caller from its last byte to the end of its response: validates it,
/// selects a server, retries where that is allowed, and forwards the response.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(RequestContext &context, CallerConnectionPtr caller, CallerRequest &&request);

    void start();

private:
    std::optional<RefusalReason> validateRequest();
    bool mayOutlastRouter() const;
    void collectTraits();
    void selectServer();
    void sendToServer(const decision::ServerChoice &choice);

    void handleResponseHeader(const ResponseHeader &header);
    void recordStatement(const ResponseHeader &header);
    void handleResponseBody(std::string &&data);
    void handleAttemptEnd(AttemptResult result);
    void abandonAttempt(decision::AttemptOutcome outcome, bool mayHaveRun);
    void handleCompleteResponse();
    bool isBrokenOff() const;
    void handleAttemptFailure(decision::AttemptOutcome outcome, bool mayHaveRun);
    bool mayRetry(bool needsBudget);
    void startResponse();
    void forwardBody(std::string &&data);
    void startSilenceTimer();
    void handleSilence();
    void dropSilentConnections();
    /// @return true when the event stream being received ends inside an event so far
    bool isInsideEvent() const { return m_eventBoundary && !m_eventBoundary->isAtEventEnd(); }

    void refuse(RefusalReason reason);
    void failRequest();
    void handleCallerDisconnect();
    void handleDeadline();
    void finish();
    void recordAttemptOutcome(decision::AttemptOutcome outcome);
    Duration remainingTime() const { return m_deadline - Clock::now(); }
    std::optional<Duration> retryAfterDelay(RefusalReason reason);

    RequestContext &m_context;
    CallerConnectionPtr m_caller;
    CallerRequest m_request;
    std::string m_requestId;
    TimePoint m_receivedAt;
    TimePoint m_deadline{};
    TimePoint m_sentAt{};      ///< of the current attempt
    TimePoint m_firstByteAt{}; ///< of a streamed response
    TrafficPlanPtr m_plan;
    const DirectRoute *m_route = nullptr;
    CustomerId m_customer;
    decision::RequestTraits m_traits;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;

    CrashGuard m_crashGuard;

    std::shared_ptr<ServerAttempt> m_attempt;
    decision::AttemptNumber m_attemptNumber = 0;
    decision::ServerChoice m_choice;
    std::uint32_t m_sentCount = 0;        ///< attempts that may have reached a server
    std::uint32_t m_attemptCount = 0;     ///< all attempts, including those that reached no server
    std::uint32_t m_possibleRunCount = 0; ///< attempts that a server may have run

    std::optional<CallerResponseHeader> m_responseHeader; ///< of the response being received
    std::string m_bufferedBody; ///< not forwarded yet, so that another attempt can replace it
    bool m_isStreaming = false; ///< forwards the body as it arrives
    bool m_responseStarted = false;
    bool m_notRun = false; ///< the response states that the server did not run the request
    bool m_finished = false;
    std::optional<EventSplitter> m_eventSplitter; ///< set for a resumable stream
    std::optional<bilberry::http::EventBoundary>
            m_eventBoundary; ///< set while an event stream is received
    std::optional<CallerResponseHeader>
            m_serverErrorHeader; ///< of a 5xx response, sent if no other attempt succeeds
    std::string m_serverErrorBody;
};

} // namespace bilberry::direct

#endif
