#ifndef BILBERRY_DECISION_SERVERCHOICE_H
#define BILBERRY_DECISION_SERVERCHOICE_H

#include "bilberry/decision/promptcache.h"
#include "bilberry/decision/serverhealth.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/trafficplan.h"

#include <set>
#include <system_error>

namespace bilberry::decision {

/// Why no server could be chosen for a request.
enum class ServerChoiceErrc {
    NoServer = 1,    ///< the pool has no server that may receive requests
    Overloaded,      ///< the servers are at their backlog or connection limit
    OnlyColdServers, ///< the remaining servers are in a cold start and at their request rate limit
};

std::error_code make_error_code(ServerChoiceErrc error);

struct ServerSelectorSettings
{
    RouterId router; ///< this router's id; determines its turn at a server in a cold start
    ZoneId zone;     ///< this router's zone; servers in other zones cost zonePenalty more
    /// A server receives no request while its queued prefill work, of all routers, exceeds this
    /// limit. Given for a latency objective of 600 ms and scaled in proportion to it.
    Duration backlogLimit = std::chrono::milliseconds(150);
    /// Replaces backlogLimit while no report of another router is valid, so that only this
    /// router's own work is counted.
    Duration standaloneBacklogLimit = std::chrono::milliseconds(190);
    /// Time after which another router's load report is discarded.
    Duration reportLifetime = std::chrono::seconds(1);
    /// Factor applied to the backlog limit for a caller whose previous request was refused.
    double previouslyRefusedFactor = 1.0;
    /// Decrease of the backlog limit, as a fraction of it, for each fair share that a customer uses
    /// beyond its own.
    double overuseSlope = 3.0;
    /// Lower bound of the factor that results from overuseSlope.
    double minOveruseFactor = 0.1;
    /// Added to the score of servers in other zones.
    Duration zonePenalty = std::chrono::milliseconds(2);
    /// Weight of recomputed prefill work relative to queueing time, in the choice and against the
    /// backlog limit. Higher values favour the server that has the prompt cached, and refuse more
    /// requests instead of moving them.
    double recomputeWeight = 3.0;
    double prefillTokensPerMs = 64.0;         ///< prefill throughput of an engine
    double attentionMsPerMillionPairs = 0.65; ///< additional prefill time, quadratic in tokens
    double coldRequestsPerS = 1.0; ///< this router's limit for one server in a cold start
    /// Time after its last report or listing for which another router is counted among those that
    /// share a cold server's request rate.
    Duration routerLifetime = std::chrono::seconds(60);
    /// A server is avoided when requests wait for their first byte and none has arrived from it for
    /// this long, plus the time that this router's queued prefill work there takes.
    Duration unresponsiveTimeout = std::chrono::milliseconds(1200);
    /// Fraction of a server's connections that this router may use.
    double maxConnectionShare = 0.125;
    HealthSettings health;
    bool operator==(const ServerSelectorSettings &) const = default;
};

/// Properties of a request that determine the choice of a server.
struct RequestTraits
{
    PoolId pool;
    Prompt prompt;
    std::uint32_t outputTokens = 0;
    Duration latencyObjective = std::chrono::milliseconds(600); ///< time to the first byte
    bool previouslyRefused = false;  ///< the caller's previous request was refused
    double customerUsageRatio = 0.0; ///< see CustomerUsageMeter::usageRatio()
    std::set<ServerId> excluded;     ///< servers on which the request failed
    bool operator==(const RequestTraits &) const = default;
};

/// The chosen server and the estimates that the choice is based on.
struct ServerChoice
{
    ServerId server;
    double backlogMs = 0.0;             ///< queued prefill work of all routers
    double prefillMs = 0.0;             ///< expected time to prefill the prompt
    std::uint32_t cachedTokens = 0;     ///< prompt tokens expected in the server's prefix cache
    std::uint32_t mostCachedTokens = 0; ///< the most expected in the cache of any usable server
    bool operator==(const ServerChoice &) const = default;
};

} // namespace bilberry::decision

template <>
struct std::is_error_code_enum<bilberry::decision::ServerChoiceErrc> : std::true_type
{
};

#endif
