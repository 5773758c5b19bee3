#ifndef BILBERRY_DIRECT_REQUESTHANDLER_H
#define BILBERRY_DIRECT_REQUESTHANDLER_H

#include "caller/callerconnection.h"
#include "crashes/crashguard.h"
#include "request/requestadmission.h"
#include "request/requestcontext.h"
#include "request/responserelay.h"
#include "server/serverattempt.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace bilberry::direct {

/// Handles one request of a caller from its last byte to the end of its response: sends it to
/// servers until one of them answers, or no further attempt is allowed.
class RequestHandler : public std::enable_shared_from_this<RequestHandler>
{
public:
    RequestHandler(RequestContext &context, CallerConnectionPtr caller, CallerRequest &&request);

    void start();

private:
    void admit(AdmittedRequest &&admitted);
    void selectServer();
    void sendToServer(const decision::ServerChoice &choice);

    void handleConnected();
    void handleResponseHeader(const ResponseHeader &header);
    void recordStatement(const ResponseHeader &header);
    void handleResponseBody(std::string &&data);
    void handleAttemptEnd(AttemptResult result);
    void abandonAttempt(decision::AttemptOutcome outcome, bool mayHaveRun);
    void handleProgress(ResponseRelay::Progress progress);
    void handleCompleteResponse();
    bool mayRetryServerError() const;
    void handleAttemptFailure(decision::AttemptOutcome outcome, bool mayHaveRun);
    bool mayRetry(bool needsBudget);
    void startSilenceTimer();
    void handleSilence();
    void dropSilentConnections();
    bool expectsBody() const;

    void refuse(RefusalReason reason);
    void failRequest();
    void handleCallerDisconnect();
    void handleDeadline();
    void endUnanswered(decision::AttemptOutcome outcome, RefusalReason reason);
    void releaseMemory();
    void reportMemory();
    void finish();
    void recordAttemptOutcome(decision::AttemptOutcome outcome);
    Duration remainingTime() const { return m_admitted.deadline - Clock::now(); }
    const DirectRoute &route() const { return *m_admitted.route; }
    std::optional<Duration> retryAfterDelay(RefusalReason reason);

    RequestContext &m_context;
    CallerConnectionPtr m_caller;
    std::shared_ptr<const CallerRequest> m_sharedRequest; ///< attempts share its body
    const CallerRequest &m_request;
    std::size_t m_requestBytes; ///< memory that the request takes
    MemoryHolder m_memory;
    std::string m_requestId;
    TimePoint m_receivedAt;
    TimePoint m_sentAt{};       ///< of the current attempt
    TimePoint m_firstByteAt{};  ///< of a streamed response
    AdmittedRequest m_admitted; ///< without a route until the request is admitted
    decision::RequestTraits m_traits;
    std::optional<ResponseRelay> m_relay; ///< set when the request is admitted
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;

    CrashGuard m_crashGuard;

    std::shared_ptr<ServerAttempt> m_attempt;
    decision::AttemptNumber m_attemptNumber = 0;
    decision::ServerChoice m_choice;
    std::uint32_t m_sentCount = 0;        ///< attempts that may have reached a server
    std::uint32_t m_attemptCount = 0;     ///< all attempts, including those that reached no server
    std::uint32_t m_possibleRunCount = 0; ///< attempts that a server may have run

    bool m_finished = false;
};

} // namespace bilberry::direct

#endif
