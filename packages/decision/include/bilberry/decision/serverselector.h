#ifndef BILBERRY_DECISION_SERVERSELECTOR_H
#define BILBERRY_DECISION_SERVERSELECTOR_H

#include "bilberry/base/result.h"
#include "bilberry/decision/promptcache.h"
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

/// Why no server takes a request now.
enum class ServerChoiceErrc {
    NoServer = 1,    ///< the pool has no server that may take work
    Overloaded,      ///< each server would answer too late
    OnlyColdServers, ///< what is left are servers in a cold start that had their share
};

std::error_code make_error_code(ServerChoiceErrc error);

struct ServerSelectorSettings
{
    RouterId router; ///< this router; orders the routers at a cold server
    ZoneId zone;     ///< of the router; breaks ties
    /// Unread prompt work of all routers at a server beyond which requests are refused, for a
    /// latency objective of 600 ms; it is proportional to the objective.
    Duration backlogLimit = std::chrono::milliseconds(150);
    /// The same for this router's work alone, while it hears of no other router.
    Duration standaloneBacklogLimit = std::chrono::milliseconds(190);
    /// A report of another router counts for this long.
    Duration reportLifetime = std::chrono::seconds(1);
    /// Factor on the limit for a caller that was refused before.
    double previouslyRefusedFactor = 1.0;
    /// Fall of the limit for a customer above its fair part, for each further fair part.
    double overuseSlope = 3.0;
    /// Least factor on the limit of such a customer.
    double minOveruseFactor = 0.1;
    /// Cost of sending to another zone.
    Duration zonePenalty = std::chrono::milliseconds(2);
    /// Weight of work that is done again elsewhere against waiting for the prompt's home.
    double recomputeWeight = 3.0;
    double prefillTokensPerMs = 64.0;         ///< prompt tokens that an engine reads
    double attentionMsPerMillionPairs = 0.65; ///< further cost of a million pairs of tokens
    double coldRequestsPerS = 1.0;            ///< most of this router to one server in a cold start
    /// A router counts as one that may send to cold servers for this long after it was seen.
    Duration routerLifetime = std::chrono::seconds(60);
    /// Silence with requests waiting for their first byte after which a server is avoided.
    Duration unresponsiveTimeout = std::chrono::milliseconds(1200);
    double maxConnectionShare = 0.125; ///< of a server's connections that this router may use
    HealthSettings health;
    bool operator==(const ServerSelectorSettings &) const = default;
};

/// What the choice of a server depends on.
struct RequestTraits
{
    PoolId pool;
    Prompt prompt;
    std::uint32_t outputTokens = 0;
    Duration latencyObjective = std::chrono::milliseconds(600); ///< to the first byte
    bool previouslyRefused = false;                             ///< the caller was refused before
    double customerUsageRatio = 0.0;                            ///< see CustomerMeter::use()
    std::set<ServerId> excluded;                                ///< servers that failed it before
    bool operator==(const RequestTraits &) const = default;
};

/// The chosen server and what was known of it.
struct ServerChoice
{
    ServerId server;
    double backlogMs = 0.0;         ///< unread work of all routers there
    double prefillMs = 0.0;         ///< expected time to read the prompt
    std::uint32_t cachedTokens = 0; ///< of the prompt, expected in the server's memory
    bool operator==(const ServerChoice &) const = default;
};

/// Work of one router at one server.
struct RouterLoad
{
    double backlogMs = 0.0;   ///< prompts sent and not read yet
    std::size_t inFlight = 0; ///< requests sent and not ended
    bool operator==(const RouterLoad &) const = default;
};

/// Stands for a server in reports between routers: a hash of its id.
using ServerKey = std::uint64_t;

/// @return the key of a server, the same at every router
ServerKey serverKey(const ServerId &id);

/// One router's work at one server, as it tells the others.
struct ReportedLoad
{
    ServerKey server = 0;
    RouterLoad load;
    bool operator==(const ReportedLoad &) const = default;
};

/// Number of a request that was sent to a server.
using AttemptNumber = std::uint64_t;

/// What a router knows of the servers that it reaches directly: who may take work, how much unread
/// work waits there, which prompts they hold, how they answer. Chooses the server of a request.
class ServerSelector
{
public:
    explicit ServerSelector(ServerSelectorSettings settings) : m_settings(std::move(settings)) {}

    void setPlan(TrafficPlanPtr plan) { m_plan = std::move(plan); }
    /// Adds a server or takes over its new entry.
    void update(const DirectServer &server, TimePoint now);
    void remove(const ServerId &server);
    /// The list has lost the server around an outage and may have it again soon: it takes work only
    /// when no other server can.
    void setMissing(const ServerId &server, bool missing);
    /// Takes over what another router reports.
    /// @param loads servers where it has work, or where its work has changed
    /// @param complete true when it has no work at servers that are left out
    void updatePeerLoads(const RouterId &router, const std::vector<ReportedLoad> &loads,
                         bool complete, TimePoint now);
    /// Another router exists, though nothing may have been heard of it yet.
    void recordRouter(const RouterId &router, TimePoint now);
    /// @return own work at the servers, without those where there is none
    std::vector<ReportedLoad> ownLoads() const;
    /// @param hook called when this router's unread work at a server has changed
    void setLoadChangedHook(std::function<void()> hook) { m_workChanged = std::move(hook); }
    /// @return routers whose newest report counts, this one left out
    std::size_t livePeerCount(TimePoint now) const;
    /// @param zones zones that receive no work; servers of a zone that returns count as cold
    void setZonesOut(const std::set<ZoneId> &zones, TimePoint now);

    /// @return the server for the request, or a ChoiceErrc
    Result<ServerChoice> choose(const RequestTraits &traits, TimePoint now);

    /// The request goes to the chosen server.
    AttemptNumber startAttempt(const ServerChoice &choice, const RequestTraits &traits,
                               TimePoint now);
    /// A connection was there or opened.
    void recordConnection(AttemptNumber ticket);
    /// The first byte of the answer arrived.
    void recordFirstByte(AttemptNumber ticket, TimePoint now);
    void endAttempt(AttemptNumber ticket, AttemptOutcome outcome, TimePoint now);

    /// @return the entry of a server that is still listed, or nullptr
    const DirectServer *server(const ServerId &id) const;
    std::vector<ServerId> servers() const;
    /// @return requests of this router at the server
    std::size_t inFlight(const ServerId &id) const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct Server
    {
        explicit Server(const ServerSelectorSettings &settings, std::uint64_t memoryTokens)
            : health(settings.health), cache(memoryTokens)
        {
        }

        DirectServer entry;
        ServerKey key = 0;
        ServerHealth health;
        PromptCache cache;
        TimePoint coldUntil{};
        TimePoint coldSlotAt{}; ///< when the next request of a cold start may go
        TimePoint misdirectedAt{};
        TimePoint lastByteAt{};
        RouterLoad own;
        RouterLoad remote; ///< of all routers whose reports count
        bool missing = false;
        std::map<AttemptNumber, TimePoint> waiting; ///< requests without a first byte
    };

    /// Newest report of another router.
    struct Peer
    {
        std::unordered_map<ServerKey, RouterLoad> loads;
        TimePoint at{};
    };

    struct Sent
    {
        ServerId server;
        double prefillMs = 0.0;
        bool waiting = true;
    };

    /// How ready a server is; lower is better.
    enum class Tier { Healthy, Ejected, Unreachable };

    std::optional<Tier> tier(const Server &server, const RequestTraits &traits,
                             TimePoint now) const;
    bool silent(const Server &server, TimePoint now) const;
    ServerChoice assess(const Server &server, const RouterLoad &work, const RequestTraits &traits,
                        bool isHome) const;
    double score(const Server &server, const RouterLoad &work, const ServerChoice &choice,
                 double leastReadMs, const DirectPool *pool) const;
    double backlogLimitMs(const RequestTraits &traits, bool alone) const;
    void dropOldReports(TimePoint now);
    void countRemote(ServerKey key, const RouterLoad &load, double sign);
    void workChanged(double byMs) const;
    void markCold(Server &server, TimePoint now);
    void coldUntil(Server &server, TimePoint until, TimePoint now);
    Duration coldInterval(const Server &server) const;
    Server *find(const ServerId &id);

    ServerSelectorSettings m_settings;
    TrafficPlanPtr m_plan;
    std::map<ServerId, Server> m_servers;
    std::unordered_map<ServerKey, Server *> m_byKey;
    std::function<void()> m_workChanged;
    std::map<RouterId, Peer> m_peers;
    std::map<RouterId, TimePoint> m_routers; ///< other routers, and when they were seen
    TimePoint m_reportsCheckedAt{};
    std::set<ZoneId> m_zonesOut;
    std::unordered_map<AttemptNumber, Sent> m_sent;
    AttemptNumber m_lastTicket = 0;
};

} // namespace bilberry::decision

template <>
struct std::is_error_code_enum<bilberry::decision::ServerChoiceErrc> : std::true_type
{
};

#endif
