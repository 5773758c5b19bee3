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

/// Traffic plan of routers that connect to backend servers directly, without an agent.
namespace bilberry {

/// Whether a request may run more than once.
enum class RequestKind {
    Idempotent,    ///< may run more than once
    NonIdempotent, ///< runs at most once
    Stream, ///< the answer is a stream of events; runs at most once unless the route is resumable
};

/// Share of a route's traffic that goes to one pool.
struct PoolWeight
{
    PoolId pool;
    double weight = 1.0; ///< relative to the route's other pools
    bool operator==(const PoolWeight &) const = default;
};

/// Rules for requests with a given host and path prefix.
struct DirectRoute
{
    std::string name;
    std::string host;   ///< lower case, without a port
    std::string prefix; ///< begins and ends with a slash; the longest match wins
    RequestKind kind = RequestKind::NonIdempotent;
    bool resumable = false; ///< an interrupted stream may be resumed on another server
    bool isPublic = false;  ///< needs no API key
    std::vector<PoolWeight> pools;
    std::uint32_t maxAttempts = 1;                 ///< servers that may run a request, at least 1
    Duration timeLimit = std::chrono::seconds(10); ///< for the complete answer
    Duration latencyObjective = std::chrono::milliseconds(800); ///< target time to the first byte
    bool operator==(const DirectRoute &) const = default;

    /// @return true when a request whose outcome is unknown may run on another server
    bool mayRepeat() const { return kind == RequestKind::Idempotent || resumable; }
};

/// Capacity of the model engine on a server.
struct EngineTraits
{
    std::uint32_t slots = 64;       ///< concurrent requests in one batch
    std::uint64_t memoryTokens = 0; ///< tokens that fit into its memory
    std::uint32_t tokenBytes = 0;   ///< memory of one prompt token; 0: not declared
    double transferMbps = 0.0; ///< rate at which engines copy prompts to each other; 0: they can't
    bool operator==(const EngineTraits &) const = default;
};

/// Servers that routers call directly.
struct DirectPool
{
    PoolId id;
    std::string healthPath;
    std::uint32_t maxConnections = 100; ///< connections to one server, all routers together
    Duration warmup{};                  ///< duration of a cold start
    double warmupRate = 0.0;            ///< requests per second to a cold server; 0: no limit
    std::optional<EngineTraits> engine; ///< absent when the servers run no model engine
    bool operator==(const DirectPool &) const = default;
};

/// A customer and the keys that identify its requests.
struct CustomerKeys
{
    CustomerId id;
    std::vector<std::string> keyDigests; ///< SHA-256 of each API key, hexadecimal
    bool operator==(const CustomerKeys &) const = default;
};

/// Limits on callers' requests and connections.
struct CallerBounds
{
    std::size_t headBytes = 16U << 10U;
    std::size_t bodyBytes = 4U << 20U;
    Duration headLimit = std::chrono::seconds(3);
    Duration idleLimit = std::chrono::seconds(15); ///< between two requests on a connection
    bool operator==(const CallerBounds &) const = default;
};

/// The contents of a traffic plan, not yet validated.
struct TrafficPlanParts
{
    std::vector<DirectRoute> routes;
    std::map<PoolId, DirectPool> pools;
    /// Absent when requests carry no keys. An empty list refuses every key.
    std::optional<std::vector<CustomerKeys>> customers;
    CallerBounds callers;
    /// Tokens a second that all servers together produce, each prompt token counted once and each
    /// output token twice; 0: not declared.
    double capacityTokensPerS = 0.0;
    bool operator==(const TrafficPlanParts &) const = default;
};

/// One immutable, valid version of the traffic plan.
class TrafficPlan
{
public:
    /// @param version number of this version; higher ones are newer
    /// @return the plan, or the error of the first violation
    static Result<TrafficPlan> create(std::uint64_t version, TrafficPlanParts parts);

    std::uint64_t version() const { return m_version; }
    const TrafficPlanParts &parts() const { return m_parts; }
    bool operator==(const TrafficPlan &other) const
    {
        return m_version == other.m_version && m_parts == other.m_parts;
    }

    /// @param host the request's host; case and port are ignored
    /// @param path path without the query
    /// @return the host's route with the longest matching prefix, or nullptr
    const DirectRoute *routeFor(std::string_view host, std::string_view path) const;

    /// @return true when a request needs the key of a customer, unless its route is public
    bool requiresKeys() const { return m_parts.customers.has_value(); }

    /// @param keyDigest SHA-256 of the API key, hexadecimal
    /// @return the customer with this key, or nullptr
    const CustomerId *customerByKeyDigest(std::string_view keyDigest) const;

    /// @return the pool, or nullptr
    const DirectPool *pool(const PoolId &id) const;

private:
    TrafficPlan(std::uint64_t version, TrafficPlanParts parts);

    std::uint64_t m_version;
    TrafficPlanParts m_parts;
    /// Host in lower case to the indices of its routes, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost;
    std::map<std::string, CustomerId, std::less<>> m_customerByDigest;
};

using TrafficPlanPtr = std::shared_ptr<const TrafficPlan>;

/// A backend server as listed by the platform.
struct DirectServer
{
    ServerId id;
    PoolId pool;
    ZoneId zone;
    std::string address; ///< IP address
    std::uint16_t port = 0;
    bool draining = false;
    std::uint32_t slots = 1;
    Duration warmupLeft{};         ///< remaining cold start when the entry was written
    std::uint64_t startedAtMs = 0; ///< Unix time of the server's start; detects a restart
    std::string version;           ///< of the software that it runs; empty when unknown
    bool operator==(const DirectServer &) const = default;
};

} // namespace bilberry

#endif
