#ifndef BILBERRY_WIRE_LINKMESSAGES_H
#define BILBERRY_WIRE_LINKMESSAGES_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages on the TCP link between a router and an agent.
namespace bilberry::wire {

/// One HTTP header field.
struct HeaderField
{
    std::string name;
    std::string value;
    bool operator==(const HeaderField &) const = default;
};

using Headers = std::vector<HeaderField>;

/// What a sender knows of the configuration; part of every heartbeat.
struct ConfigurationStamp
{
    Revision revision = 0;        ///< 0: none yet
    std::uint32_t proofAgeMs = 0; ///< age of the newest proof that the revision is the newest
    bool frozen = false;          ///< a connected majority can't reach the platform
    bool operator==(const ConfigurationStamp &) const = default;
};

/// @param age of a proof
/// @return whole milliseconds, never less than the age
constexpr std::uint32_t ageMilliseconds(Duration age)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

// Router to agent.

/// First message of a router.
struct RouterHello
{
    RouterId router;
    Incarnation incarnation = 0;
    ZoneId zone;
    ConfigurationStamp stamp;
    bool operator==(const RouterHello &) const = default;
};

/// Sent periodically and on a change of the stamp.
struct RouterHeartbeat
{
    ConfigurationStamp stamp;
    std::uint64_t echoedSequence = 0; ///< number of the agent's newest message; 0 for none
    std::uint32_t echoDelayMs = 0;    ///< how long ago that message arrived
    bool operator==(const RouterHeartbeat &) const = default;
};

/// Waiting work of one router for the agent's pool. Replaces the router's earlier demand.
struct Demand
{
    std::uint32_t waiting = 0;            ///< requests waiting in the router
    std::vector<double> nextVirtualTimes; ///< of the requests that the next grants would serve
    bool operator==(const Demand &) const = default;
};

/// Asks the agent to run a request.
struct Dispatch
{
    AttemptId attempt = 0;
    std::uint64_t grantId = 0;        ///< 0: without a grant
    Incarnation agentIncarnation = 0; ///< life of the agent that the router means
    CustomerId customer;
    double virtualTime = 0.0;      ///< of the customer before this request
    std::uint64_t fingerprint = 0; ///< same for a repeated request
    bool mayRepeat = true;         ///< false: runs to its end even when the link breaks
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    Demand demand; ///< what waits after this request
    bool operator==(const Dispatch &) const = default;
};

/// Gives an unused grant back.
struct GrantReturn
{
    std::uint64_t grantId = 0;
    Demand demand;
    bool operator==(const GrantReturn &) const = default;
};

/// The caller is gone: end the attempt.
struct Cancel
{
    AttemptId attempt = 0;
    bool operator==(const Cancel &) const = default;
};

/// Credit for an answer that nobody waits for any more.
constexpr std::uint32_t unlimitedCredit = 0xffffffffU;

/// The caller took bytes: as many more may be sent.
struct AnswerCredit
{
    AttemptId attempt = 0;
    std::uint32_t bytes = 0;
    bool operator==(const AnswerCredit &) const = default;
};

/// A request that was in flight when servers crashed. Receivers unite the crashes with those that
/// they know, so that repeated and reordered notices do no harm.
struct QuarantineNotice
{
    std::uint64_t fingerprint = 0;
    std::vector<CrashId> crashes;
    bool operator==(const QuarantineNotice &) const = default;
};

// Both ways.

/// Asks for the sender's configuration.
struct ConfigurationRequest
{
    bool operator==(const ConfigurationRequest &) const = default;
};

/// Carries a whole accepted configuration as encodeConfiguration() writes it.
struct ConfigurationOffer
{
    std::string document;
    bool operator==(const ConfigurationOffer &) const = default;
};

// Agent to router.

/// State of the agent's server; part of each heartbeat and of most answers.
struct ServerLoad
{
    std::uint32_t window = 0;  ///< requests that the server may run at once
    std::uint32_t running = 0; ///< requests that it runs
    std::uint32_t held = 0;    ///< admitted requests waiting at the agent, and open grants
    double virtualTime = 0.0;  ///< how far service is in virtual time
    bool cold = false;
    bool accepting = false; ///< false: leaving, zone out, unhealthy or cut off
    bool contended = false; ///< demand of some router stands
    bool operator==(const ServerLoad &) const = default;
};

/// First message of an agent.
struct AgentHello
{
    ServerId server;
    Incarnation incarnation = 0;
    PoolId pool;
    ZoneId zone;
    ConfigurationStamp stamp;
    ServerLoad load;
    std::uint64_t sequence = 0; ///< repeated by the router's heartbeats
    bool operator==(const AgentHello &) const = default;
};

struct AgentHeartbeat
{
    ConfigurationStamp stamp;
    ServerLoad load;
    std::uint64_t sequence = 0; ///< repeated by the router's heartbeats
    bool operator==(const AgentHeartbeat &) const = default;
};

/// Right to dispatch one request before it expires by the agent's clock.
struct Grant
{
    std::uint64_t grantId = 0;
    std::uint32_t expiresInMs = 0;
    ServerLoad load;
    bool operator==(const Grant &) const = default;
};

/// Why an agent did not run a request.
enum class RefusalReason : std::uint8_t {
    Full,        ///< no room, or others come first
    Leaving,     ///< the server or its zone is going out of service
    CutOff,      ///< the agent may not know the newest configuration
    StaleGrant,  ///< expired, unknown, or of another life of the agent
    Quarantined, ///< the request crashed servers
    ServerDown,  ///< the server can't be reached
    Cancelled,   ///< the router cancelled it before it ran
};

/// The request did not run.
struct Refusal
{
    AttemptId attempt = 0;
    RefusalReason reason = RefusalReason::Full;
    ServerLoad load;
    bool operator==(const Refusal &) const = default;
};

/// The request was handed to the server; from here on it may have run.
struct AttemptStarted
{
    AttemptId attempt = 0;
    bool operator==(const AttemptStarted &) const = default;
};

struct AnswerHead
{
    AttemptId attempt = 0;
    std::uint16_t status = 0;
    Headers headers;
    bool operator==(const AnswerHead &) const = default;
};

struct AnswerChunk
{
    AttemptId attempt = 0;
    std::uint32_t number = 0; ///< counted from 0
    std::string data;
    bool operator==(const AnswerChunk &) const = default;
};

/// How an attempt that started came to its end.
enum class AttemptEnd : std::uint8_t {
    Complete,    ///< the whole answer was sent
    Truncated,   ///< the server broke off
    Cancelled,   ///< the router asked for it
    ServerCrash, ///< the server went away while it ran
};

struct AnswerEnd
{
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Complete;
    std::uint32_t chunkCount = 0; ///< chunks sent for this attempt
    double cost = 0.0;            ///< service used, in milliseconds of capacity
    ServerLoad load;
    bool operator==(const AnswerEnd &) const = default;
};

using LinkMessage = std::variant<RouterHello, RouterHeartbeat, Demand, Dispatch, GrantReturn,
                                 Cancel, AnswerCredit, QuarantineNotice, ConfigurationRequest,
                                 ConfigurationOffer, AgentHello, AgentHeartbeat, Grant, Refusal,
                                 AttemptStarted, AnswerHead, AnswerChunk, AnswerEnd>;

} // namespace bilberry::wire

#endif
