#ifndef BILBERRY_DIRECT_REQUESTFLOW_H
#define BILBERRY_DIRECT_REQUESTFLOW_H

#include "callerconnection.h"
#include "refusal.h"
#include "serverattempt.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/decision/windowedretrybudget.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/direct/eventsplitter.h"
#include "bilberry/direct/headernames.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>

namespace bilberry::direct {

/// What was counted since the start.
struct DirectCounts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumed = 0;
    std::uint64_t callersGone = 0;
    std::uint64_t brokenOff = 0; ///< answers cut after their head was sent
    std::map<RefusalReason, std::uint64_t> refused;
};

/// What all requests of a router share.
struct RequestContext
{
    boost::asio::io_context &io;
    const DirectSettings &settings;
    const HeaderNames &names;
    ServerConnections &connections;
    decision::ServerSelector &fleet;
    decision::CustomerUsageMeter &meter;
    std::map<PoolId, decision::WindowedRetryBudget> &retries;
    DirectCounts &counts;
    Log &log;
    std::mt19937_64 &random;
    std::function<TrafficPlanPtr()> plan;
    std::function<bool()> planIsFresh; ///< false: withdrawn keys may be unknown here
    std::function<void(const PoolId &, Duration)> firstByteTook;
};

/// One request of a caller, from its last byte to the end of its answer: checks it, chooses a
/// server, sends it again where that is allowed, and passes the answer on.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(RequestContext &context, CallerConnectionPtr caller, CallerMessage &&message);

    void start();

private:
    std::optional<RefusalReason> admit();
    void readTraits();
    void place();
    void send(const decision::ServerChoice &choice);
    std::string bytesFor(const DirectServer &server) const;

    void headArrived(const ResponseHeader &header);
    void dataArrived(std::string &&data);
    void attemptEnded(AttemptEnd end);
    void answerComplete();
    void attemptFailed(decision::AttemptOutcome outcome, bool mayHaveRun);
    bool maySendAgain(bool needsBudget);
    void startAnswer();
    void passOn(std::string &&data);
    void watchSilence();

    void refuse(RefusalReason reason);
    void giveUp();
    void callerGone();
    void deadlinePassed();
    void over();
    void endAttempt(decision::AttemptOutcome outcome);
    Duration remaining() const { return m_deadline - Clock::now(); }
    std::optional<Duration> retryAfter(RefusalReason reason);

    RequestContext &m_context;
    CallerConnectionPtr m_caller;
    CallerMessage m_message;
    std::string m_id;
    TimePoint m_receivedAt;
    TimePoint m_deadline{};
    TimePoint m_firstByteAt{}; ///< of a streamed answer
    TrafficPlanPtr m_plan;
    const DirectRoute *m_route = nullptr;
    CustomerId m_customer;
    decision::RequestTraits m_traits;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_silenceTimer;

    std::shared_ptr<ServerAttempt> m_attempt;
    decision::AttemptNumber m_ticket = 0;
    decision::ServerChoice m_choice;
    std::uint32_t m_sends = 0; ///< attempts that may have reached a server
    std::uint32_t m_tries = 0; ///< all attempts
    std::uint32_t m_runs = 0;  ///< attempts that may have run

    std::optional<AnswerHeader> m_header; ///< of the answer being received
    std::string m_body;                   ///< held back until it is worth an answer's start
    bool m_streaming = false;             ///< pass the body on as it comes
    bool m_answerStarted = false;
    bool m_notRun = false; ///< the answer says that the server did not run the request
    bool m_over = false;
    std::optional<EventSplitter> m_events; ///< of a resumable stream
    std::optional<AnswerHeader>
            m_failedHeader; ///< a server's own failure, kept while another tries
    std::string m_failedBody;
};

} // namespace bilberry::direct

#endif
