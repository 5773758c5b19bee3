#ifndef BILBERRY_WIRE_GOSSIPMESSAGES_H
#define BILBERRY_WIRE_GOSSIPMESSAGES_H

#include "bilberry/wire/linkmessages.h"

/// Datagrams between routers.
namespace bilberry::wire {

/// Present in every datagram.
struct GossipSender
{
    RouterId router;
    Incarnation incarnation = 0;
    ZoneId zone;
    bool operator==(const GossipSender &) const = default;
};

/// What one router knows of a peer's or an agent's reachability.
struct Probe
{
    GossipSender sender;
    std::uint64_t sequence = 0;
    ConfigurationStamp stamp;
    bool platformReachable = false;
    /// Routers heard from lately; left out while the sender has a fresh proof.
    std::vector<RouterId> reachablePeers;
    /// Servers whose agents are linked; left out likewise.
    std::vector<ServerId> reachableServers;
    bool leaving = false; ///< the router is shutting down
    bool operator==(const Probe &) const = default;
};

struct ProbeAck
{
    GossipSender sender;
    std::uint64_t sequence = 0;
    ConfigurationStamp stamp;
    bool platformReachable = false;
    bool operator==(const ProbeAck &) const = default;
};

/// Cumulative service of one customer in one pool, as one router counts it.
struct ServiceCounter
{
    CustomerId customer;
    PoolId pool;
    double service = 0.0; ///< charged since the router's start, milliseconds of capacity
    double offset = 0.0;  ///< virtual-time offset; the largest one holds
    bool backlogged = false;
    bool operator==(const ServiceCounter &) const = default;
};

/// Counters for the customers that the receiver aggregates. Idempotent and free of order.
struct ServiceReport
{
    GossipSender sender;
    std::uint64_t sequence = 0; ///< the largest of an incarnation holds
    std::vector<ServiceCounter> counters;
    bool operator==(const ServiceReport &) const = default;
};

/// Fleet-wide service of one customer in one pool.
struct ServiceTotal
{
    CustomerId customer;
    PoolId pool;
    double remoteService = 0.0; ///< of all routers but the receiver
    double remoteRate = 0.0;    ///< its growth a second
    double offset = 0.0;
    bool operator==(const ServiceTotal &) const = default;
};

/// Smallest virtual time of a backlogged customer that the sender knows in a pool.
struct PoolFloor
{
    PoolId pool;
    double virtualTime = 0.0;
    bool operator==(const PoolFloor &) const = default;
};

/// An aggregator's answer to a report.
struct ServiceTotals
{
    GossipSender sender;
    std::vector<ServiceTotal> totals;
    std::vector<PoolFloor> floors;
    bool operator==(const ServiceTotals &) const = default;
};

/// Fingerprints under suspicion or in quarantine.
struct QuarantineGossip
{
    GossipSender sender;
    std::vector<QuarantineNotice> notices;
    bool operator==(const QuarantineGossip &) const = default;
};

/// Work that a router has at a server that it reaches directly.
struct DirectServerLoad
{
    std::uint64_t server = 0;          ///< hash of its id
    std::uint32_t pendingPromptUs = 0; ///< prompts sent and not read yet, microseconds of its work
    std::uint32_t inFlight = 0;        ///< requests sent and not ended
    bool operator==(const DirectServerLoad &) const = default;
};

/// What a customer asked of a router in its newest fairness window, in tokens.
struct CustomerDemand
{
    CustomerId customer;
    std::uint64_t requestedTokens = 0;
    std::uint64_t admittedTokens = 0;
    bool operator==(const CustomerDemand &) const = default;
};

/// What a direct router tells all others. A complete report replaces all earlier ones; others hold
/// only what has changed.
struct DirectRouterReport
{
    GossipSender sender;
    std::uint64_t sequence = 0; ///< the largest of an incarnation holds
    bool complete = true;
    std::vector<DirectServerLoad> loads;
    std::vector<CustomerDemand> demands; ///< empty in reports that carry loads only
    bool operator==(const DirectRouterReport &) const = default;
};

using GossipMessage = std::variant<Probe, ProbeAck, ServiceReport, ServiceTotals, QuarantineGossip,
                                   DirectRouterReport>;

} // namespace bilberry::wire

#endif
