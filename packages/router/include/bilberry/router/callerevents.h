#ifndef BILBERRY_ROUTER_CALLEREVENTS_H
#define BILBERRY_ROUTER_CALLEREVENTS_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/decision/fairqueue.h"
#include "bilberry/wire/linkmessages.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

/// Events and replies exchanged between CallerServer and RouterCore.
namespace bilberry::router {

using decision::RequestId;

// From CallerServer to RouterCore.

/// A validated request whose customer and pool are known.
struct SubmittedRequest
{
    RequestId request = 0;
    CustomerId customer;
    PoolId pool;
    bool mayRepeat = true;
    std::string idempotencyKey;     ///< Idempotency-Key header; empty when absent
    std::optional<double> costHint; ///< milliseconds of capacity, estimated by the caller
    std::string method;
    std::string target;
    wire::Headers headers;
    std::string body;
    /// Accounts for what the request takes as long as the core keeps it. May be null.
    std::shared_ptr<MemoryHolder> memory{};
};

struct CallerDisconnected
{
    RequestId request = 0;
};

/// Bytes of the answer were written to the caller's connection.
struct AnswerBytesWritten
{
    RequestId request = 0;
    std::uint32_t bytes = 0;
};

using CallerEvent = std::variant<SubmittedRequest, CallerDisconnected, AnswerBytesWritten>;

// From RouterCore to CallerServer.

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
    MemoryFull, ///< the router needs the memory that the request takes
    Quarantined,
    ClaimUnavailable, ///< the platform can't store the claim, so the request may not run
    AlreadyClaimed,   ///< a request with this idempotency key was accepted before
    ServerFailed,     ///< the attempt ended without a complete answer
};

/// Whether a refused request may have run.
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
    bool complete = true; ///< false: the answer is truncated, so the connection must be reset
};

struct ReplyRefusal
{
    RequestId request = 0;
    RefusalKind kind{};
    RequestOutcome outcome = RequestOutcome::NotRun;
    std::uint32_t retryAfterSeconds = 0; ///< Retry-After header; 0: none
    std::string detail;                  ///< state of an existing claim; may be empty
};

using CallerReply = std::variant<ReplyHead, ReplyChunk, ReplyEnd, ReplyRefusal>;

} // namespace bilberry::router

#endif
