#ifndef BILBERRY_DECISION_SERVERSELECTOR_H
#define BILBERRY_DECISION_SERVERSELECTOR_H

#include "bilberry/base/result.h"
#include "bilberry/decision/coldstart.h"
#include "bilberry/decision/knownrouters.h"
#include "bilberry/decision/peerloads.h"
#include "bilberry/decision/placementcost.h"
#include "bilberry/decision/promptcache.h"
#include "bilberry/decision/serverchoice.h"
#include "bilberry/decision/serverhealth.h"
#include "bilberry/decision/serverstatements.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/trafficplan.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// A prompt that a router sent to a server, as it tells the other routers: the server then has its
/// shared prefix cached.
struct PlacedPrefix
{
    ServerKey server = 0;
    Prompt::Prefix prefix;       ///< the prompt without its last part, as a whole
    std::uint32_t ownTokens = 0; ///< size of the last part
    bool operator==(const PlacedPrefix &) const = default;
};

/// Identifies an attempt: one request sent to one server.
using AttemptNumber = std::uint64_t;

/// Selects a server for each request by the servers' health, queued prefill work and estimated
/// prefix caches. Combines this router's own requests with the loads that other routers report.
class ServerSelector
{
public:
    explicit ServerSelector(ServerSelectorSettings settings);
    ServerSelector(const ServerSelector &) = delete;
    ServerSelector &operator=(const ServerSelector &) = delete;

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
    void recordWait(const ServerId &id, TimePoint until, TimePoint now);
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
    std::size_t routerCount() const { return m_routers.count(); }
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
    /// @return mean number of requests of all routers at each server of the pool but one; zero when
    ///         there is no other
    double meanInFlight(const PoolId &pool, const ServerId &except) const;
    std::size_t size() const { return m_servers.size(); }

private:
    struct Server
    {
        explicit Server(const ServerSelectorSettings &settings, std::uint64_t cacheTokens)
            : health(settings.health), cache(cacheTokens)
        {
        }

        ServerProcess process() const { return {key, descriptor.startedAtMs}; }

        DirectServer descriptor;
        ServerKey key = 0;
        ServerHealth health;
        PromptCache cache;
        ColdStart coldStart;
        TimePoint wrongServerAt{}; ///< when another server answered at its address
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

    /// Availability of a server, best first.
    enum class Tier { Healthy, Ejected, Unreachable };

    std::optional<Tier> tier(const Server &server, const RequestTraits &traits,
                             TimePoint now) const;
    bool isUnresponsive(const Server &server, TimePoint now) const;
    std::vector<Server *> bestTierServers(const RequestTraits &traits, TimePoint now);
    bool isAtConnectionLimit(const Server &server, const DirectPool *pool) const;
    PlacementCandidate candidateFor(const Server &server, const RequestTraits &traits,
                                    TimePoint now) const;
    void expirePeers(TimePoint now);
    void notifyLoadChanged(double changeMs) const;
    void markCold(Server &server, TimePoint now);
    void extendColdStart(Server &server, TimePoint until, TimePoint now);
    bool isSmall(const RequestTraits &traits);
    double turnLeftFor(const RequestTraits &traits);
    bool mayTakeTurn(const Server &server, double leftFor, TimePoint now);
    bool applyLimit(const ServerProcess &process, std::optional<double> perSecond, TimePoint saidAt,
                    TimePoint now);
    Duration coldRequestInterval(const Server &server) const;
    Server *find(const ServerId &id);

    ServerSelectorSettings m_settings;
    PlacementCost m_cost;
    TrafficPlanPtr m_plan;
    std::map<ServerId, Server> m_servers;
    std::unordered_map<ServerKey, Server *> m_serversByKey;
    std::function<void()> m_loadChangedHook;
    std::function<void(const PlacedPrefix &)> m_prefixPlacedHook;
    PeerLoads m_peerLoads;
    std::function<double(TimePoint now)> m_routerShareHook;
    KnownRouters m_routers;
    /// Kept beside the servers, whose entries may come and go.
    ServerStatements m_statements;
    TimePoint m_expiryCheckedAt{};
    std::map<PoolId, double> m_meanTokens; ///< of the prompts of recent requests
    std::set<ZoneId> m_zonesOut;
    std::unordered_map<AttemptNumber, Attempt> m_attempts;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace bilberry::decision

#endif
