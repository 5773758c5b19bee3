#ifndef BILBERRY_ROUTER_CALLEREVENTS_H
#define BILBERRY_ROUTER_CALLEREVENTS_H

#include "bilberry/decision/fairqueue.h"
#include "bilberry/wire/linkmessages.h"

#include <optional>
#include <string>
#include <variant>

/// What passes between the duty that serves callers and the router's core.
namespace bilberry::router {

using decision::RequestId;

// From callers.

/// A checked request: its customer and pool are known.
struct SubmittedRequest
{
    RequestId request = 0;
    CustomerId customer;
    PoolId pool;
    bool mayRepeat = true;
    std::string idempotencyKey;     ///< empty when the caller sent none
    std::optional<double> costHint; ///< milliseconds, as the caller says
    std::string method;
    std::string target;
    wire::Headers headers;
    std::string body;
};

struct CallerDisconnected
{
    RequestId request = 0;
};

/// The caller took bytes of the answer.
struct AnswerBytesWritten
{
    RequestId request = 0;
    std::uint32_t bytes = 0;
};

using CallerEvent = std::variant<SubmittedRequest, CallerDisconnected, AnswerBytesWritten>;

// To callers.

/// Why a request is refused.
enum class RefusalKind {
    MissingKey,
    UnknownKey,
    UnknownRoute,
    MalformedRequest,
    HeadTooLarge,
    BodyTooLarge,
    SlowSender,
    CustomerQueueFull,
    QueueFull,
    QueueTimeout,
    NoConfiguration,
    Stopping,
    Overloaded,
    Quarantined,
    ClaimUnavailable, ///< the platform can't record the request, so that it may not run
    AlreadyClaimed,   ///< a request with this key was accepted before
    ServerFailed,     ///< the attempt ended without a whole answer
};

/// What the caller may assume about the refused request.
enum class RequestOutcome { NotRun, Unknown };

struct ReplyHead
{
    RequestId request = 0;
    std::uint16_t status = 0;
    wire::Headers headers;
};

struct ReplyChunk
{
    RequestId request = 0;
    std::string data;
};

struct ReplyEnd
{
    RequestId request = 0;
    bool complete = true; ///< false: the connection must be cut, the answer is not whole
};

struct ReplyRefusal
{
    RequestId request = 0;
    RefusalKind kind{};
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::uint32_t retryAfterSeconds = 0; ///< 0: none
    std::string detail;                  ///< of a claim's state; may be empty
};

using CallerReply = std::variant<ReplyHead, ReplyChunk, ReplyEnd, ReplyRefusal>;

} // namespace bilberry::router

#endif
