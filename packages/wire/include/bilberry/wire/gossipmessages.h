#ifndef BILBERRY_WIRE_GOSSIPMESSAGES_H
#define BILBERRY_WIRE_GOSSIPMESSAGES_H

#include "bilberry/model/storerevision.h"
#include "bilberry/wire/linkmessages.h"

/// Messages that routers exchange as UDP datagrams.
namespace bilberry::wire {

/// Identity of the sending router; part of every gossip message.
struct GossipSender
{
    RouterId router;
    Incarnation incarnation = 0;
    ZoneId zone;
    bool operator==(const GossipSender &) const = default;
};

/// Periodic message that tests whether a peer answers, with the sender's view of which peers and
/// servers are reachable.
struct Probe
{
    GossipSender sender;
    std::uint64_t sequence = 0;
    ConfigurationStamp stamp;
    bool platformReachable = false;
    std::vector<RouterId> reachablePeers;   ///< routers that the sender heard from recently
    std::vector<ServerId> reachableServers; ///< whose agents have a link to the sender
    bool leaving = false;                   ///< the router is shutting down
    /// False: the two lists say nothing, as the sender has a fresh proof that its configuration is
    /// the newest, or sent them lately.
    bool hasLists = false;
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

/// Cumulative service of one customer in one pool, as counted by one router.
struct ServiceCounter
{
    CustomerId customer;
    PoolId pool;
    double service = 0.0; ///< since the router's start, in milliseconds of capacity
    double offset = 0.0;  ///< virtual-time offset; receivers keep the largest
    bool backlogged = false;
    bool operator==(const ServiceCounter &) const = default;
};

/// Counters of the customers that the receiver aggregates. Receivers may apply reports repeatedly
/// and in any order.
struct ServiceReport
{
    GossipSender sender;
    std::uint64_t sequence = 0; ///< within an incarnation, the report with the largest applies
    std::vector<ServiceCounter> counters;
    bool operator==(const ServiceReport &) const = default;
};

/// Fleet-wide service of one customer in one pool.
struct ServiceTotal
{
    CustomerId customer;
    PoolId pool;
    double remoteService = 0.0; ///< of all routers except the receiver, in milliseconds of capacity
    double remoteRate = 0.0;    ///< growth of remoteService per second
    double offset = 0.0;
    bool operator==(const ServiceTotal &) const = default;
};

/// Smallest virtual time of all customers backlogged in a pool, as far as the sender knows.
struct PoolFloor
{
    PoolId pool;
    double virtualTime = 0.0;
    bool operator==(const PoolFloor &) const = default;
};

/// Reply of an aggregating router to a ServiceReport.
struct ServiceTotals
{
    GossipSender sender;
    std::vector<ServiceTotal> totals;
    std::vector<PoolFloor> floors;
    bool operator==(const ServiceTotals &) const = default;
};

/// Fingerprints of requests that are suspected or quarantined.
struct QuarantineGossip
{
    GossipSender sender;
    std::vector<QuarantineNotice> notices;
    bool operator==(const QuarantineGossip &) const = default;
};

/// Work that a direct router has sent to one server.
struct DirectServerLoad
{
    std::uint64_t server = 0; ///< hash of the server's id
    /// Server time for reading the prompts sent to it that it hasn't read yet, in microseconds.
    std::uint32_t pendingPromptUs = 0;
    std::uint32_t inFlight = 0; ///< requests sent that have not ended
    bool operator==(const DirectServerLoad &) const = default;
};

/// Tokens that a customer requested and that the router dispatched in its latest fairness window.
struct CustomerDemand
{
    CustomerId customer;
    std::uint64_t requestedTokens = 0;
    std::uint64_t dispatchedTokens = 0;
    bool operator==(const CustomerDemand &) const = default;
};

/// A prompt that a direct router has sent to a server, whose prefix cache then has its shared part.
struct DirectPlacement
{
    std::uint64_t server = 0;       ///< hash of the server's id
    std::uint64_t prefix = 0;       ///< hash of the prompt without its last part
    std::uint32_t sharedTokens = 0; ///< size of that prefix
    std::uint32_t ownTokens = 0;    ///< size of the last part
    bool operator==(const DirectPlacement &) const = default;
};

/// State that a direct router sends to all other direct routers. A complete report replaces all
/// earlier ones; an incomplete one contains only changes.
struct DirectRouterReport
{
    GossipSender sender;
    std::uint64_t sequence = 0; ///< within an incarnation, the report with the largest applies
    bool complete = true;
    std::vector<DirectServerLoad> loads;
    bool hasDemands = false;                 ///< false: `demands` says nothing
    std::vector<CustomerDemand> demands;     ///< of all customers with requests
    std::vector<DirectPlacement> placements; ///< since the previous report, oldest first
    bool operator==(const DirectRouterReport &) const = default;
};

/// Asks another direct router for the proof that its plan is the newest one.
struct PlanProofQuery
{
    GossipSender sender;
    std::uint64_t query = 0; ///< number that the answer repeats
    bool operator==(const PlanProofQuery &) const = default;
};

/// Answer to a PlanProofQuery.
struct PlanProofReply
{
    GossipSender sender;
    std::uint64_t query = 0;
    std::uint64_t planVersion = 0;
    StoreRevision storeRevision; ///< of the whole store when the plan was the newest one
    std::uint64_t ageUs = 0;     ///< time since then, in microseconds
    bool operator==(const PlanProofReply &) const = default;
};

/// A crash of a backend server, while a request with some feature waited for its answer there.
struct CrashNotice
{
    std::uint64_t serverRun = 0; ///< hash of the server's id and the start time of its process
    std::uint32_t ageMs = 0;
    bool resent = false; ///< such a request was sent after an earlier crash was seen
    bool operator==(const CrashNotice &) const = default;
};

/// What a direct router knows of a feature of requests that may crash servers.
struct CrashSuspectNotice
{
    std::uint64_t feature = 0;          ///< hash of what the requests have in common
    std::vector<CrashNotice> crashes;   ///< since the last answer to a request with the feature
    std::vector<std::uint64_t> cleared; ///< server runs of crashes before such an answer
    std::uint32_t probes = 0;           ///< requests admitted in spite of the suspicion
    bool operator==(const CrashSuspectNotice &) const = default;
};

/// Suspects of a direct router. Receivers merge them with their own, so that repeated and reordered
/// messages have no effect.
struct CrashSuspectGossip
{
    GossipSender sender;
    std::vector<CrashSuspectNotice> suspects;
    bool operator==(const CrashSuspectGossip &) const = default;
};

/// What a backend server says of itself in its answers.
struct ServerNotice
{
    std::uint64_t server = 0;      ///< hash of the server's id
    std::uint64_t startedAtMs = 0; ///< start time of its process
    double perSecond = 0.0;        ///< requests that it takes from all routers; negative: no limit
    std::uint32_t ageMs = 0;       ///< since the answer that named the limit, or its end
    bool leaving = false;          ///< it wants no further requests
    bool operator==(const ServerNotice &) const = default;
};

/// What a direct router knows by the servers' answers. The newest one holds for a limit; a process
/// that is leaving doesn't return.
struct ServerNoticeGossip
{
    GossipSender sender;
    std::vector<ServerNotice> notices;
    bool operator==(const ServerNoticeGossip &) const = default;
};

/// A change of an item in the store.
struct StoreChange
{
    StoreRevision revision; ///< up to which the sender knew the collection with this change
    std::string name;
    std::string value;
    bool removed = false;
    bool operator==(const StoreChange &) const = default;
};

/// What a direct router knows of one collection of the store.
struct CollectionNotice
{
    std::string collection;
    StoreRevision base;               ///< all changes after it are listed
    StoreRevision revision;           ///< up to which the sender knows the collection
    std::uint32_t ageMs = 0;          ///< since this was shown to be the newest
    std::vector<StoreChange> changes; ///< oldest first
    bool operator==(const CollectionNotice &) const = default;
};

/// What a direct router that watches the store for the others has learned.
struct StoreNotice
{
    GossipSender sender;
    std::uint64_t planVersion = 0;
    StoreRevision storeRevision; ///< of the whole store
    std::vector<CollectionNotice> collections;
    bool operator==(const StoreNotice &) const = default;
};

/// Asks another direct router what the store lacks since it was restored from a copy.
struct RestoredStateQuery
{
    GossipSender sender;
    std::uint64_t query = 0;     ///< number that the answer repeats
    StoreRevision storeRevision; ///< that the sender knows of the restored store
    bool operator==(const RestoredStateQuery &) const = default;
};

/// An item whose state in the restored store is older than the one that holds.
struct HeldItemNotice
{
    std::string collection;
    std::string name;
    bool exists = false; ///< in the state that holds
    std::string value;
    bool isInCopy = false;
    std::string copiedValue;
    bool ends = false; ///< false: it holds until the item is written again
    std::uint32_t remainingMs = 0;
    bool operator==(const HeldItemNotice &) const = default;
};

/// Answer to a RestoredStateQuery.
struct RestoredStateReply
{
    GossipSender sender;
    std::uint64_t query = 0;
    bool isStarting = false; ///< the sender has started since the restore and knows nothing more
    /// Age of what the sender knew of the store when it learned of the restore.
    std::uint32_t knowledgeAgeMs = 0;
    std::uint64_t planVersion = 0;
    StoreRevision storeRevision; ///< up to which the sender knows the plans
    std::uint32_t part = 0;      ///< of the answer, which may not fit into one datagram
    std::uint32_t partCount = 1;
    std::vector<HeldItemNotice> items;
    bool operator==(const RestoredStateReply &) const = default;
};

using GossipMessage
        = std::variant<Probe, ProbeAck, ServiceReport, ServiceTotals, QuarantineGossip,
                       DirectRouterReport, PlanProofQuery, PlanProofReply, CrashSuspectGossip,
                       ServerNoticeGossip, StoreNotice, RestoredStateQuery, RestoredStateReply>;

} // namespace bilberry::wire

#endif
