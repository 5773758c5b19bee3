#ifndef BILBERRY_WIRE_SERIALIZATION_H
#define BILBERRY_WIRE_SERIALIZATION_H

#include "bilberry/wire/gossipmessages.h"
#include "bilberry/wire/linkmessages.h"

namespace bilberry {

template <typename Archive>
void serialize(Archive &archive, CrashId &m)
{
    archive(m.agent, m.crash);
}

} // namespace bilberry

/// Fields that cereal reads and writes, in order. A change of the order needs a new
/// protocolVersion.
namespace bilberry {

template <typename Archive>
void serialize(Archive &archive, StoreRevision &revision)
{
    archive(revision.era, revision.number);
}

} // namespace bilberry

namespace bilberry::wire {

#define BILBERRY_FIELDS(Type, ...) \
    template <typename Archive> \
    void serialize(Archive &archive, Type &m) \
    { \
        archive(__VA_ARGS__); \
    }

BILBERRY_FIELDS(HeaderField, m.name, m.value)
BILBERRY_FIELDS(ConfigurationStamp, m.revision, m.proofAgeMs, m.frozen)
BILBERRY_FIELDS(RouterHello, m.router, m.incarnation, m.zone, m.stamp)
BILBERRY_FIELDS(RouterHeartbeat, m.stamp, m.echoedSequence, m.echoDelayMs)
BILBERRY_FIELDS(Demand, m.waiting, m.nextVirtualTimes)
BILBERRY_FIELDS(Dispatch, m.attempt, m.grantId, m.agentIncarnation, m.customer, m.virtualTime,
                m.fingerprint, m.mayRepeat, m.method, m.target, m.headers, m.body, m.demand)
BILBERRY_FIELDS(GrantReturn, m.grantId, m.demand)
BILBERRY_FIELDS(Cancel, m.attempt)
BILBERRY_FIELDS(AnswerCredit, m.attempt, m.bytes)
BILBERRY_FIELDS(QuarantineNotice, m.fingerprint, m.crashes)
BILBERRY_FIELDS(ConfigurationOffer, m.document)
BILBERRY_FIELDS(ServerLoad, m.window, m.running, m.held, m.virtualTime, m.cold, m.accepting,
                m.contended)
BILBERRY_FIELDS(AgentHello, m.server, m.incarnation, m.pool, m.zone, m.stamp, m.load, m.sequence)
BILBERRY_FIELDS(AgentHeartbeat, m.stamp, m.load, m.sequence)
BILBERRY_FIELDS(Grant, m.grantId, m.expiresInMs, m.load)
BILBERRY_FIELDS(Refusal, m.attempt, m.reason, m.load)
BILBERRY_FIELDS(AttemptStarted, m.attempt)
BILBERRY_FIELDS(AnswerHead, m.attempt, m.status, m.headers)
BILBERRY_FIELDS(AnswerChunk, m.attempt, m.number, m.data)
BILBERRY_FIELDS(AnswerEnd, m.attempt, m.end, m.chunkCount, m.cost, m.load)

BILBERRY_FIELDS(GossipSender, m.router, m.incarnation, m.zone)
BILBERRY_FIELDS(Probe, m.sender, m.sequence, m.stamp, m.platformReachable, m.reachablePeers,
                m.reachableServers, m.leaving, m.hasLists)
BILBERRY_FIELDS(ProbeAck, m.sender, m.sequence, m.stamp, m.platformReachable)
BILBERRY_FIELDS(ServiceCounter, m.customer, m.pool, m.service, m.offset, m.backlogged)
BILBERRY_FIELDS(ServiceReport, m.sender, m.sequence, m.counters)
BILBERRY_FIELDS(ServiceTotal, m.customer, m.pool, m.remoteService, m.remoteRate, m.offset)
BILBERRY_FIELDS(PoolFloor, m.pool, m.virtualTime)
BILBERRY_FIELDS(ServiceTotals, m.sender, m.totals, m.floors)
BILBERRY_FIELDS(QuarantineGossip, m.sender, m.notices)
BILBERRY_FIELDS(DirectServerLoad, m.server, m.pendingPromptUs, m.inFlight)
BILBERRY_FIELDS(CustomerDemand, m.customer, m.requestedTokens, m.dispatchedTokens)
BILBERRY_FIELDS(DirectPlacement, m.server, m.prefix, m.sharedTokens, m.ownTokens)
BILBERRY_FIELDS(DirectRouterReport, m.sender, m.sequence, m.complete, m.loads, m.demands,
                m.placements, m.hasDemands)
BILBERRY_FIELDS(PlanProofQuery, m.sender, m.query)
BILBERRY_FIELDS(CrashNotice, m.serverRun, m.ageMs, m.resent)
BILBERRY_FIELDS(CrashSuspectNotice, m.feature, m.crashes, m.cleared, m.probes)
BILBERRY_FIELDS(CrashSuspectGossip, m.sender, m.suspects)
BILBERRY_FIELDS(ServerNotice, m.server, m.startedAtMs, m.perSecond, m.ageMs, m.leaving)
BILBERRY_FIELDS(ServerNoticeGossip, m.sender, m.notices)
BILBERRY_FIELDS(StoreChange, m.revision, m.name, m.value, m.removed)
BILBERRY_FIELDS(CollectionNotice, m.collection, m.base, m.revision, m.ageMs, m.changes)
BILBERRY_FIELDS(StoreNotice, m.sender, m.planVersion, m.storeRevision, m.collections)
BILBERRY_FIELDS(PlanProofReply, m.sender, m.query, m.planVersion, m.storeRevision, m.ageUs)
BILBERRY_FIELDS(RestoredStateQuery, m.sender, m.query, m.storeRevision)
BILBERRY_FIELDS(HeldItemNotice, m.collection, m.name, m.exists, m.value, m.isInCopy, m.copiedValue,
                m.ends, m.remainingMs)
BILBERRY_FIELDS(RestoredStateReply, m.sender, m.query, m.isStarting, m.knowledgeAgeMs,
                m.planVersion, m.storeRevision, m.part, m.partCount, m.items)

#undef BILBERRY_FIELDS

template <typename Archive>
void serialize(Archive &, ConfigurationRequest &)
{
}

} // namespace bilberry::wire

#endif
