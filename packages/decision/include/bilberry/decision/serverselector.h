#ifndef BILBERRY_DECISION_SERVERSELECTOR_H
#define BILBERRY_DECISION_SERVERSELECTOR_H

#include "bilberry/base/result.h"
#include "bilberry/decision/peerloads.h"
#include "bilberry/decision/promptcache.h"
#include "bilberry/decision/requestlimit.h"
#include "bilberry/decision/serverhealth.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/trafficplan.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

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

/// A prompt that a router sent to a server, as it tells the other routers: the server then has its
/// shared prefix cached.
struct PlacedPrefix
{
    ServerKey server = 0;
    Prompt::Prefix prefix;       ///< the prompt without its last part, as a whole
    std::uint32_t ownTokens = 0; ///< size of the last part
    bool operator==(const PlacedPrefix &) const = default;
};

/// What a server has said of itself in its answers, as routers tell each other.
struct ReportedStatement
{
    ServerKey server = 0;
    std::uint64_t startedAtMs = 0;   ///< start time of the server's process
    std::optional<double> perSecond; ///< absent when the server names none any more
    Duration age{};                  ///< since the answer that named the limit, or its end
    bool leaving = false;            ///< the process wants no further requests
    bool operator==(const ReportedStatement &) const = default;
};

/// Identifies an attempt: one request sent to one server.
using AttemptNumber = std::uint64_t;

/// Selects a server for each request by the servers' health, queued prefill work and estimated
/// prefix caches. Combines this router's own requests with the loads that other routers report.
class ServerSelector
{
public:
    explicit ServerSelector(ServerSelectorSettings settings);

    void setPlan(TrafficPlanPtr plan) { m_plan = std::move(plan); }
    /// Adds a server or updates its properties. A server with a new start time or address counts as
    /// restarted.
    void update(const DirectServer &server, TimePoint now);
    void remove(const ServerId &server);
    /// Marks a server that disappeared from the platform's list around an outage and may reappear
    /// soon. It is chosen only when all servers of its pool are unreachable.
    void setMissing(const ServerId &server, bool missing);
    /// Applies a load report of another router.
    /// @param loads the router's load on servers, or on those where it has changed
    /// @param complete true when the router has no load on servers that are not in `loads`
    void updatePeerLoads(const RouterId &router, const std::vector<ReportedLoad> &loads,
                         bool complete, TimePoint now);
    /// Records that another router exists, whether or not it has reported yet.
    void recordRouter(const RouterId &router, TimePoint now);
    /// @return this router's load on each server that has requests in flight from it
    std::vector<ReportedLoad> ownLoads() const;
    /// @param hook called when this router's queued prefill work on a server has changed by 1 ms or
    ///        more
    void setLoadChangedHook(std::function<void()> hook) { m_loadChangedHook = std::move(hook); }
    /// Records where another router sent a prompt.
    void recordPeerPlacement(const PlacedPrefix &placed);
    /// @param hook called when this router sends a prompt with a shared prefix to a server
    void setPrefixPlacedHook(std::function<void(const PlacedPrefix &)> hook)
    {
        m_prefixPlacedHook = std::move(hook);
    }
    /// Records what an answer of the server says of the requests that it takes.
    /// @param perSecond limit of all routers together; absent when the answer names none
    /// @return true when the limit has changed
    bool recordLimit(const ServerId &id, std::optional<double> perSecond, TimePoint now);
    /// Records that the server says that it is leaving: its process receives no further request,
    /// whatever its entry says.
    /// @return true when that is new
    bool recordLeaving(const ServerId &id, TimePoint now);
    /// Records that the server wants no request from this router before a point in time.
    void recordWait(const ServerId &id, TimePoint until);
    /// Applies what another router knows by a server's answers.
    /// @return true when that changes anything
    bool mergeStatement(const ReportedStatement &statement, TimePoint now);
    /// @return the limits that servers name or have ended within the last seconds, and the servers
    ///         that are leaving
    std::vector<ReportedStatement> statements(TimePoint now) const;
    /// @param hook returns this router's part of the requests of all routers, and so of each
    ///        server's limit; without it, all routers have the same part
    void setRouterShareHook(std::function<double(TimePoint now)> hook)
    {
        m_routerShareHook = std::move(hook);
    }
    /// @return number of routers, this one included
    std::size_t routerCount() const { return m_routersSeenAt.size() + 1; }
    /// @return number of servers that name a limit
    std::size_t limitedCount() const;
    /// @return number of other routers whose newest report has not expired
    std::size_t livePeerCount(TimePoint now) const;
    /// @param zones zones that receive no requests; servers of a zone that is no longer in the set
    ///        begin a cold start
    void setZonesOut(const std::set<ZoneId> &zones, TimePoint now);

    /// @return the server for the request, or a ServerChoiceErrc
    Result<ServerChoice> choose(const RequestTraits &traits, TimePoint now);

    /// Records that the request is sent to the chosen server.
    /// @return number that identifies the attempt in the calls below
    AttemptNumber startAttempt(const ServerChoice &choice, const RequestTraits &traits,
                               TimePoint now);
    /// Records that a connection was reused or opened.
    void recordConnection(AttemptNumber number);
    /// Records that the first byte of the answer has arrived.
    void recordFirstByte(AttemptNumber number, TimePoint now);
    /// Records the outcome of the attempt and removes its load.
    void endAttempt(AttemptNumber number, AttemptOutcome outcome, TimePoint now);

    /// @return properties of the server, or nullptr when it is unknown
    const DirectServer *server(const ServerId &id) const;
    std::vector<ServerId> servers() const;
    /// @return number of this router's requests in flight to the server
    std::size_t inFlight(const ServerId &id) const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct Server
    {
        explicit Server(const ServerSelectorSettings &settings, std::uint64_t cacheTokens)
            : health(settings.health), cache(cacheTokens)
        {
        }

        DirectServer descriptor;
        ServerKey key = 0;
        ServerHealth health;
        RequestLimit limit;
        TimePoint waitUntil{}; ///< see recordWait()
        PromptCache cache;
        TimePoint coldUntil{};
        TimePoint nextColdRequestAt{}; ///< earliest time of the next request during a cold start
        TimePoint wrongServerAt{};     ///< when another server answered at its address
        TimePoint lastFirstByteAt{};
        RouterLoad ownLoad;
        bool missing = false;
        std::map<AttemptNumber, TimePoint> awaitingFirstByte; ///< with their send times
    };

    struct Attempt
    {
        ServerId server;
        double prefillMs = 0.0;
        bool awaitingFirstByte = true;
    };

    /// A server that may receive the request, its load from all routers, and the estimates.
    struct Candidate
    {
        Server *server = nullptr;
        RouterLoad load;
        ServerChoice choice;
    };

    /// Availability of a server, best first.
    enum class Tier { Healthy, Ejected, Unreachable };

    std::optional<Tier> tier(const Server &server, const RequestTraits &traits,
                             TimePoint now) const;
    bool isUnresponsive(const Server &server, TimePoint now) const;
    std::vector<Server *> bestTierServers(const RequestTraits &traits, TimePoint now);
    bool isAtConnectionLimit(const Server &server, const DirectPool *pool) const;
    void estimate(std::vector<Candidate> &candidates, const RequestTraits &traits) const;
    static void assumeOwnerCache(std::vector<Candidate> &candidates, const Prompt &prompt);
    double prefillMs(const Prompt &prompt, std::uint32_t cachedTokens) const;
    const Candidate *bestCandidate(const std::vector<Candidate> &candidates,
                                   const RequestTraits &traits, const DirectPool *pool,
                                   TimePoint now) const;
    double score(const Candidate &candidate, double minPrefillMs, const DirectPool *pool) const;
    double backlogLimitMs(const RequestTraits &traits, bool standalone) const;
    void expirePeers(TimePoint now);
    void notifyLoadChanged(double changeMs) const;
    void markCold(Server &server, TimePoint now);
    void extendColdStart(Server &server, TimePoint until, TimePoint now);
    bool isSmall(const RequestTraits &traits);
    double turnLeftFor(const RequestTraits &traits);
    double overuseFactor(const RequestTraits &traits) const;
    bool isLeaving(const Server &server) const;
    bool mayTakeTurn(Server &server, double leftFor, TimePoint now) const;
    std::size_t routersBefore(const Server &server) const;
    bool applyLimit(Server &server, std::optional<double> perSecond, TimePoint saidAt,
                    TimePoint now);
    Duration coldRequestInterval(const Server &server) const;
    Server *find(const ServerId &id);

    ServerSelectorSettings m_settings;
    TrafficPlanPtr m_plan;
    std::map<ServerId, Server> m_servers;
    std::unordered_map<ServerKey, Server *> m_serversByKey;
    std::function<void()> m_loadChangedHook;
    std::function<void(const PlacedPrefix &)> m_prefixPlacedHook;
    PeerLoads m_peerLoads;
    std::function<double(TimePoint now)> m_routerShareHook;
    std::map<RouterId, TimePoint> m_routersSeenAt; ///< when each other router was last seen
    TimePoint m_expiryCheckedAt{};
    /// Servers' processes that are leaving, by key and start time, and when this was learned. Kept
    /// beside the servers, whose entries may come and go.
    std::map<std::pair<ServerKey, std::uint64_t>, TimePoint> m_leaving;
    std::map<PoolId, double> m_meanTokens; ///< of the prompts of recent requests
    std::set<ZoneId> m_zonesOut;
    std::unordered_map<AttemptNumber, Attempt> m_attempts;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace bilberry::decision

template <>
struct std::is_error_code_enum<bilberry::decision::ServerChoiceErrc> : std::true_type
{
};

#endif
