#ifndef BILBERRY_MODEL_TRAFFICPLAN_H
#define BILBERRY_MODEL_TRAFFICPLAN_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/modelerror.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What routers obey that reach backend servers directly, without an agent in between.
namespace bilberry {

/// What may be repeated of a request.
enum class RequestKind {
    Idempotent,    ///< may run more than once
    NonIdempotent, ///< runs at most once
    Stream,        ///< answers with events; runs at most once unless the route is resumable
};

/// A part of a route's traffic that goes to one pool.
struct PoolWeight
{
    PoolId pool;
    double weight = 1.0; ///< relative to the route's other pools
    bool operator==(const PoolWeight &) const = default;
};

/// Requests with one host and path prefix, and how they are handled.
struct DirectRoute
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash; the longest match wins
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false; ///< a broken stream may go on at another server
    bool isPublic = false;  ///< needs no API key
    std::vector<PoolWeight> pools;
    std::uint32_t maxAttempts = 1;                              ///< servers that may run a request
    Duration timeLimit = std::chrono::seconds(10);              ///< until the final answer
    Duration latencyObjective = std::chrono::milliseconds(800); ///< to the first byte
    bool operator==(const DirectRoute &) const = default;

    /// @return true when a request may run on a second server after an unknown outcome
    bool mayRepeat() const { return kind == RequestKind::Idempotent || resumable; }
};

/// What is known of a model engine's capacity.
struct EngineTraits
{
    std::uint32_t slots = 64;       ///< requests in one batch
    std::uint64_t memoryTokens = 0; ///< tokens that fit into its memory
    bool operator==(const EngineTraits &) const = default;
};

/// Servers that routers call directly.
struct DirectPool
{
    PoolId id;
    std::string healthPath;
    std::uint32_t maxConnections = 100; ///< of all routers to one server
    Duration warmup{};                  ///< duration of a cold start
    double warmupRate = 0.0;            ///< requests a second that a cold server bears; 0: no limit
    std::optional<EngineTraits> engine; ///< absent: a plain service
    bool operator==(const DirectPool &) const = default;
};

/// A customer and the keys by which its requests are known.
struct CustomerKeys
{
    CustomerId id;
    std::vector<std::string> keyDigests; ///< SHA-256 of each API key, hexadecimal
    bool operator==(const CustomerKeys &) const = default;
};

/// Limits on what a caller may send.
struct CallerBounds
{
    std::size_t headBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headLimit = std::chrono::seconds(3);
    Duration idleLimit = std::chrono::seconds(15); ///< between two requests of a connection
    bool operator==(const CallerBounds &) const = default;
};

/// The parts of a traffic plan before their rules are checked.
struct TrafficPlanParts
{
    std::vector<DirectRoute> routes;
    std::map<PoolId, DirectPool> pools;
    std::vector<CustomerKeys> customers; ///< empty: requests carry no keys
    CallerBounds callers;
    bool operator==(const TrafficPlanParts &) const = default;
};

/// One immutable, valid version of the plan.
class TrafficPlan
{
public:
    /// @param version number of this version; higher ones are newer
    /// @param parts routes, pools, customers and limits
    /// @return the plan, or the first broken rule
    static Result<TrafficPlan> create(std::uint64_t version, TrafficPlanParts parts);

    std::uint64_t version() const { return m_version; }
    const TrafficPlanParts &parts() const { return m_parts; }
    bool operator==(const TrafficPlan &other) const
    {
        return m_version == other.m_version && m_parts == other.m_parts;
    }

    /// @param host the request's host; case and port don't matter
    /// @param path path without the query
    /// @return the host's route with the longest matching prefix, or nullptr
    const DirectRoute *routeFor(std::string_view host, std::string_view path) const;

    /// @param keyDigest SHA-256 of the presented API key, hexadecimal
    /// @return the key's owner, or nullptr
    const CustomerId *customerByKeyDigest(std::string_view keyDigest) const;

    /// @return the pool, or nullptr
    const DirectPool *pool(const PoolId &id) const;

private:
    TrafficPlan(std::uint64_t version, TrafficPlanParts parts);

    std::uint64_t m_version;
    TrafficPlanParts m_parts;
    /// Indices of the routes of a host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost;
    std::map<std::string, CustomerId, std::less<>> m_customerByDigest;
};

using TrafficPlanPtr = std::shared_ptr<const TrafficPlan>;

/// A server as the platform lists it.
struct DirectServer
{
    ServerId id;
    PoolId pool;
    ZoneId zone;
    std::string address; ///< IP number
    std::uint16_t port = 0;
    bool draining = false;
    std::uint32_t slots = 1;
    Duration warmupLeft{};         ///< when the entry was written
    std::uint64_t startedAtMs = 0; ///< Unix time of the server's start; tells its lives apart
    bool operator==(const DirectServer &) const = default;
};

} // namespace bilberry

#endif
