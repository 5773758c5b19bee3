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

/// Revision that the sender has in force and how recent its proof is; part of every heartbeat.
struct ConfigurationStamp
{
    Revision revision = 0; ///< 0: no configuration yet
    /// Age of the latest proof that no newer revision exists; 0xffffffff: no proof.
    std::uint32_t proofAgeMs = 0;
    bool frozen = false; ///< a connected majority can't reach the platform
    bool operator==(const ConfigurationStamp &) const = default;
};

/// @param age age of a proof
/// @return the age in milliseconds, rounded up so that it is never understated
constexpr std::uint32_t ageMilliseconds(Duration age)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

// From router to agent.

/// First message of a router on a link.
struct RouterHello
{
    RouterId router;
    Incarnation incarnation = 0;
    ZoneId zone;
    ConfigurationStamp stamp;
    bool operator==(const RouterHello &) const = default;
};

/// Sent periodically and when the stamp changes.
struct RouterHeartbeat
{
    ConfigurationStamp stamp;
    std::uint64_t echoedSequence = 0; ///< of the agent's latest hello or heartbeat; 0: none
    std::uint32_t echoDelayMs = 0;    ///< time since that message was received
    bool operator==(const RouterHeartbeat &) const = default;
};

/// Requests of one router that wait for the agent's pool. Replaces the router's earlier demand.
struct Demand
{
    std::uint32_t waiting = 0;            ///< number of requests waiting in the router
    std::vector<double> nextVirtualTimes; ///< of the requests that would use the next grants
    bool operator==(const Demand &) const = default;
};

/// Instructs the agent to run a request on its server.
struct Dispatch
{
    AttemptId attempt = 0;
    std::uint64_t grantId = 0;        ///< 0: dispatched without a grant
    Incarnation agentIncarnation = 0; ///< agent process that the router means; 0: any
    CustomerId customer;
    double virtualTime = 0.0;      ///< of the customer, before this request is charged
    std::uint64_t fingerprint = 0; ///< equal for repetitions of the same request
    bool mayRepeat = true;         ///< false: the request runs to its end even when the link breaks
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    Demand demand; ///< without this request
    bool operator==(const Dispatch &) const = default;
};

/// Returns an unused grant.
struct GrantReturn
{
    std::uint64_t grantId = 0;
    Demand demand;
    bool operator==(const GrantReturn &) const = default;
};

/// Stops an attempt whose caller has disconnected.
struct Cancel
{
    AttemptId attempt = 0;
    bool operator==(const Cancel &) const = default;
};

/// Credit that lets an answer run to its end when no caller reads it any more.
constexpr std::uint32_t unlimitedCredit = 0xffffffffU;

/// Allows the agent to send this many more bytes of the answer, since the caller has read as many.
struct AnswerCredit
{
    AttemptId attempt = 0;
    std::uint32_t bytes = 0;
    bool operator==(const AnswerCredit &) const = default;
};

/// A request that was in flight when servers crashed. Receivers merge the crashes with those that
/// they know, so that repeated and reordered notices have no effect.
struct QuarantineNotice
{
    std::uint64_t fingerprint = 0;
    std::vector<CrashId> crashes;
    bool operator==(const QuarantineNotice &) const = default;
};

// In both directions.

/// Requests the receiver's configuration.
struct ConfigurationRequest
{
    bool operator==(const ConfigurationRequest &) const = default;
};

/// Complete accepted configuration, encoded by encodeConfiguration().
struct ConfigurationOffer
{
    std::string document;
    bool operator==(const ConfigurationOffer &) const = default;
};

// From agent to router.

/// Load of the agent's server; part of the hello, heartbeats, grants, refusals and ends of answers.
struct ServerLoad
{
    std::uint32_t window = 0;  ///< requests that the server may run concurrently
    std::uint32_t running = 0; ///< requests that the server runs
    std::uint32_t held = 0;    ///< admitted requests waiting at the agent, plus open grants
    double virtualTime = 0.0;  ///< virtual time that service has reached
    bool cold = false;
    bool accepting = false; ///< false: leaving, zone out of service, unhealthy or cut off
    bool contended = false; ///< some router has unserved demand
    bool operator==(const ServerLoad &) const = default;
};

/// First message of an agent on a link.
struct AgentHello
{
    ServerId server;
    Incarnation incarnation = 0;
    PoolId pool;
    ZoneId zone;
    ConfigurationStamp stamp;
    ServerLoad load;
    std::uint64_t sequence = 0; ///< echoed by the router's heartbeats
    bool operator==(const AgentHello &) const = default;
};

struct AgentHeartbeat
{
    ConfigurationStamp stamp;
    ServerLoad load;
    std::uint64_t sequence = 0; ///< echoed by the router's heartbeats
    bool operator==(const AgentHeartbeat &) const = default;
};

/// Permission to dispatch one request until it expires by the agent's clock.
struct Grant
{
    std::uint64_t grantId = 0;
    std::uint32_t expiresInMs = 0;
    ServerLoad load;
    bool operator==(const Grant &) const = default;
};

/// Why an agent did not run a request.
enum class RefusalReason : std::uint8_t {
    Full,        ///< no free slot, or other requests come first
    Leaving,     ///< the server is shutting down or its zone is out of service
    CutOff,      ///< the agent may not know the newest configuration
    StaleGrant,  ///< expired, unknown, or issued by another incarnation of the agent
    Quarantined, ///< the request crashed servers
    ServerDown,  ///< the server can't be reached
    Cancelled,   ///< the router cancelled the request before it ran
};

/// The agent did not run the request.
struct Refusal
{
    AttemptId attempt = 0;
    RefusalReason reason = RefusalReason::Full;
    ServerLoad load;
    bool operator==(const Refusal &) const = default;
};

/// The request is being sent to the server; from now on it may have run.
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
    std::uint32_t number = 0; ///< position in the answer, from 0
    std::string data;
    bool operator==(const AnswerChunk &) const = default;
};

/// How an attempt that started ended.
enum class AttemptEnd : std::uint8_t {
    Complete,    ///< the whole answer was sent
    Truncated,   ///< the connection to the server broke before the end of the answer
    Cancelled,   ///< the router cancelled it
    ServerCrash, ///< the server crashed or restarted while it ran
};

struct AnswerEnd
{
    AttemptId attempt = 0;
    AttemptEnd end = AttemptEnd::Complete;
    std::uint32_t chunkCount = 0; ///< chunks sent for this attempt
    double cost = 0.0;            ///< service to charge, in milliseconds of capacity
    ServerLoad load;
    bool operator==(const AnswerEnd &) const = default;
};

using LinkMessage = std::variant<RouterHello, RouterHeartbeat, Demand, Dispatch, GrantReturn,
                                 Cancel, AnswerCredit, QuarantineNotice, ConfigurationRequest,
                                 ConfigurationOffer, AgentHello, AgentHeartbeat, Grant, Refusal,
                                 AttemptStarted, AnswerHead, AnswerChunk, AnswerEnd>;

} // namespace bilberry::wire

#endif
