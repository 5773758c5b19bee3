#ifndef BILBERRY_ROUTER_CLAIMMANAGER_H
#define BILBERRY_ROUTER_CLAIMMANAGER_H

#include "bilberry/base/log.h"
#include "bilberry/decision/claim.h"
#include "bilberry/router/claimevents.h"
#include "bilberry/store/objectstore.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

namespace bilberry::router {

/// Stores the claims of requests that may not be repeated as objects at the platform. Runs on one
/// event loop.
///
/// A claim is created before the dispatch and stays for as long as the request may have run. A
/// release that the platform does not answer is retried until it is settled, one call at a time,
/// so that an outage leaves no claim that blocks a repeat. One case can't be undone: a router that
/// fails between the creation and the dispatch leaves a claim that looks like one of a request
/// that ran, so that repeats are refused with an unknown outcome.
class ClaimManager
{
public:
    using ReplyHook = std::function<void(OpenClaimReply &&)>;

    /// @param context event loop that the calls run on
    /// @param store outlives this object
    /// @param onReply called once for each OpenClaim
    ClaimManager(boost::asio::io_context &context, store::ObjectStore &store, ReplyHook onReply);

    /// Starts the retries of failed writes.
    void start();

    /// Executes a command asynchronously.
    void execute(ClaimCommand &&command);

private:
    /// A claim that this process created, or may have created when the answer was lost.
    struct ClaimObject
    {
        std::string name;
        std::string token;
        store::ObjectVersion version = 0; ///< 0: unknown
        bool inDoubt = false;
    };

    /// The last write to a claim: its deletion, or its finished state.
    struct ClaimEnd
    {
        ClaimObject claimObject;
        bool release = true;
        std::uint16_t status = 0; ///< HTTP status of a finished request
        decision::ClaimStep step = decision::ClaimStep::None;
        TimePoint inDoubtUntil{};
        TimePoint retryAt{}; ///< earliest time of the next attempt
    };

    enum class EndResult {
        Settled,
        InDoubt, ///< the object is absent, but an unanswered creation may still create it
        Failed,  ///< the platform did not answer
    };

    store::Awaitable<void> openClaim(OpenClaim command);
    store::Awaitable<decision::ClaimCallResult> readClaim(ClaimObject &claimObject,
                                                          std::string &detail);
    void endClaim(decision::RequestId request, bool release, std::uint16_t status);
    store::Awaitable<void> runEnd(ClaimEnd claimEnd);
    store::Awaitable<EndResult> tryEnd(ClaimEnd &claimEnd);
    store::Awaitable<EndResult> tryRelease(ClaimEnd &claimEnd);
    store::Awaitable<EndResult> tryFinish(const ClaimEnd &claimEnd);
    store::Awaitable<decision::ClaimCallResult> deleteClaim(const ClaimObject &claimObject);
    void queueEnd(ClaimEnd claimEnd);
    store::Awaitable<void> retryLoop();
    store::Awaitable<void> pause(Duration duration);

    boost::asio::io_context &m_context;
    store::ObjectStore &m_store;
    ReplyHook m_onReply;
    Log m_log{"router.claims"};
    std::unordered_map<decision::RequestId, ClaimObject> m_claimObjects;
    std::deque<ClaimEnd> m_pendingEnds;
};

} // namespace bilberry::router

#endif
