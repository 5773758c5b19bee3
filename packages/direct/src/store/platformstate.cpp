#include "store/platformstate.h"

#include "bilberry/base/digest.h"

#include <boost/asio/post.hpp>

namespace bilberry::direct {

namespace {

/// Timeout of a watch call. Proofs of the plan tell the store's revision meanwhile, and so whether
/// a watch may have missed a change.
constexpr Duration watchTimeout = std::chrono::seconds(15);
/// Pause of the watch after changed servers, so that one response has several changes: half of the
/// shortest time limit for drained servers.
constexpr Duration serversWatchPause = std::chrono::milliseconds(1000);
/// Time after its start in which a router has heard of all others, so that it knows whether it is
/// to relay changes to them.
constexpr Duration leadershipDelay = std::chrono::seconds(3);
/// Pause of the watches of a router that relays changes to the others.
constexpr Duration leaderWatchPause = std::chrono::milliseconds(100);
/// Pause of the watch after changed routers: each one that starts or stops tells all others.
constexpr Duration routersWatchPause = std::chrono::seconds(3);
/// Time after which the store is asked for servers, or for a newer plan, when its revision has
/// risen without a change from their watch: longer than an open watch takes to report one.
constexpr Duration watchReportTime = std::chrono::milliseconds(100);
/// The same for the zones that are out, which operators change rarely: half of the shortest time
/// limit for taking a zone out.
constexpr Duration zonesBehindLimit = std::chrono::milliseconds(2500);
/// Time for which a router that tells of a newer plan is believed; it repeats that each second.
constexpr Duration planNoticeLifetime = std::chrono::seconds(3);
/// Time after a restore of the store in which the entry of a server that had left expires again.
constexpr Duration removedServerHold = std::chrono::seconds(5);
/// Time after a restore in which operators take back again a zone that they had taken back before.
constexpr Duration returnedZoneHold = std::chrono::seconds(10);
/// Time after a restore in which each router has registered again.
constexpr Duration lostRouterHold = std::chrono::seconds(10);

decision::PlanProofSettings proofSettings(const DirectSettings &settings)
{
    decision::PlanProofSettings proofs;
    proofs.router = settings.router;
    proofs.refreshAge = settings.planRefreshAge;
    proofs.fallbackAge = settings.planFallbackAge;
    return proofs;
}

store::WatcherSettings watcherSettings(const std::string &collection)
{
    store::WatcherSettings settings;
    settings.collection = collection;
    settings.maxWait = watchTimeout;
    return settings;
}

} // namespace

PlatformState::PlatformState(boost::asio::io_context &io, const DirectSettings &settings,
                             const PlatformAdapter &adapter, store::CollectionStore &store,
                             decision::ServerSelector &serverSelector,
                             ServerConnections &connections, PeerExchange &peers, Log &log,
                             std::mt19937_64 &random)
    : m_io(io), m_adapter(adapter), m_store(store), m_serverSelector(serverSelector),
      m_connections(connections), m_peers(peers), m_log(log), m_random(random),
      m_planProofs(proofSettings(settings), randomId()),
      m_relay(
              [this](std::vector<wire::CollectionNotice> collections) {
                  sendNotice(std::move(collections));
              },
              log),
      m_catchUp(
              peers, [this] { return m_plan ? m_plan->version() : 0; },
              [this] { return planAge(); }, log)
{
    m_catchUp.onPlanElsewhere = [this](std::uint64_t version, StoreRevision revision) {
        recordPlanElsewhere(version, revision);
        m_planWatcher->check();
    };
    m_catchUp.onEnd = [this] { m_planWatcher->check(); };
    m_peers.onPlanProofQuery
            = [this](std::uint64_t query) { return m_planProofs.answer(query, BootClock::now()); };
    m_peers.onPlanProofAnswer
            = [this](const decision::PlanProofAnswer &answer) { handlePlanProof(answer); };
    m_peers.onStoreNotice = [this](const wire::StoreNotice &notice) { handleStoreNotice(notice); };
    watchPlans();
    watchServers();
    watchZones();
    watchRouters();
}

void PlatformState::start()
{
    m_startedAt = Clock::now();
    for (const auto &watcher : m_watchers)
        watcher->start();
}

void PlatformState::watchPlans()
{
    store::WatcherHooks hooks;
    hooks.onItemChanged = [this](const store::Item &item) { updatePlan(item); };
    hooks.onItemRemoved = [](const std::string &) {};
    hooks.onConfirmedCurrent = [this](StoreRevision revision, BootTime at) {
        // The plan of a restored store proves nothing before the other routers have been asked.
        if (m_plan && !m_catchUp.isOpen() && !isPlanOutdated())
            m_planProofs.record({m_plan->version(), revision, at});
    };
    m_planWatcher = watch(watcherSettings(m_adapter.collections.plans), std::move(hooks),
                          Relaying::NoticeOnly);
    m_catchUp.add(m_adapter.collections.plans, *m_planWatcher);
}

void PlatformState::watchServers()
{
    store::WatcherSettings settings = watcherSettings(m_adapter.collections.servers);
    settings.coalescingDelay = serversWatchPause;
    settings.behindLimit = watchReportTime;
    settings.removedHold = removedServerHold;
    store::WatcherHooks hooks;
    hooks.isOutdated = [this](const store::Item &known, const store::Item &restored) {
        return isOutdatedServer(known, restored);
    };
    hooks.onItemChanged = [this](const store::Item &item) { updateServer(item); };
    hooks.onItemRemoved = [this](const std::string &name) { removeServer(name); };
    hooks.onItemMissing = [this](const std::string &name) {
        m_serverSelector.setMissing(ServerId(name), true);
        m_log.decision("A server is missing from the list after a store outage.",
                       {{"server", name}});
    };
    hooks.onItemReturned = [this](const std::string &name) {
        m_serverSelector.setMissing(ServerId(name), false);
    };
    m_catchUp.add(settings.collection, *watch(settings, std::move(hooks), Relaying::Changes));
}

void PlatformState::watchZones()
{
    store::WatcherSettings settings = watcherSettings(m_adapter.collections.zonesOut);
    settings.behindLimit = zonesBehindLimit;
    settings.unlistedHold.reset();
    settings.removedHold = returnedZoneHold;
    store::WatcherHooks hooks;
    hooks.onItemChanged = [this](const store::Item &item) { setZoneOut(item.name, true); };
    hooks.onItemRemoved = [this](const std::string &name) { setZoneOut(name, false); };
    m_catchUp.add(settings.collection, *watch(settings, std::move(hooks), Relaying::Changes));
}

void PlatformState::watchRouters()
{
    store::WatcherSettings settings = watcherSettings(m_adapter.collections.routers);
    settings.coalescingDelay = routersWatchPause;
    settings.unlistedHold = lostRouterHold;
    store::WatcherHooks hooks;
    hooks.onItemChanged = [this](const store::Item &item) { m_peers.updatePeer(item); };
    hooks.onItemRemoved = [this](const std::string &name) { m_peers.removePeer(name); };
    watch(settings, std::move(hooks), Relaying::Changes);
}

store::CollectionWatcher *PlatformState::watch(const store::WatcherSettings &settings,
                                               store::WatcherHooks hooks, Relaying relaying)
{
    const std::string collection = settings.collection;
    // Only the plan's age matters; items of the other collections are used whatever their age.
    if (!hooks.onConfirmedCurrent)
        hooks.onConfirmedCurrent = [](StoreRevision, BootTime) {};
    if (!hooks.onItemMissing)
        hooks.onItemMissing = [](const std::string &) {};
    if (!hooks.onItemReturned)
        hooks.onItemReturned = [](const std::string &) {};
    hooks.onStoreLost = [this, collection](std::error_code error) {
        m_log.decision("Lost the store.", {{"collection", collection}, {"error", error.message()}});
    };
    hooks.onStoreRegained = [this, collection] {
        m_log.decision("Regained the store.", {{"collection", collection}});
    };
    hooks.onWatchSilent = [this, collection] {
        m_log.decision("A watch call missed changes; replaced it.", {{"collection", collection}});
    };
    hooks.onRelayEnded = [this, collection] {
        m_log.decision("Nobody relays the store's changes; watches the store.",
                       {{"collection", collection}});
    };
    hooks.onStoreRevision
            = [this](StoreRevision revision, BootTime at) { recordStoreRevision(revision, at); };
    hooks.onRestored
            = [this, collection](StoreRevision revision) { handleRestore(collection, revision); };
    relayChanges(collection, hooks);
    m_watchers.push_back(std::make_unique<store::CollectionWatcher>(
            m_io, m_store, settings, std::move(hooks),
            [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }));
    m_relay.add(collection, *m_watchers.back(), relaying == Relaying::Changes, leaderWatchPause,
                settings.coalescingDelay);
    return m_watchers.back().get();
}

/// Extends the hooks so that the relay learns what the watcher has learned.
void PlatformState::relayChanges(const std::string &collection, store::WatcherHooks &hooks)
{
    hooks.onItemChanged
            = [this, collection, next = std::move(hooks.onItemChanged)](const store::Item &item) {
                  m_relay.recordChange(collection, {item, false});
                  scheduleNotice();
                  next(item);
              };
    hooks.onItemRemoved
            = [this, collection, next = std::move(hooks.onItemRemoved)](const std::string &name) {
                  m_relay.recordChange(collection, {{name, ""}, true});
                  scheduleNotice();
                  next(name);
              };
    hooks.onConfirmedCurrent = [this, collection, next = std::move(hooks.onConfirmedCurrent)](
                                       StoreRevision revision, BootTime at) {
        m_relay.recordCurrent(collection, at);
        next(revision, at);
        m_catchUp.update();
    };
}

/// Tells all watchers; the one that has learned of the revision already knows it.
void PlatformState::recordStoreRevision(StoreRevision revision, BootTime at)
{
    m_newestRevision = std::max(m_newestRevision, revision);
    for (const auto &watcher : m_watchers)
        watcher->recordStoreRevision(revision, at);
    scheduleNotice();
}

void PlatformState::handleRestore(const std::string &collection, StoreRevision revision)
{
    m_log.decision("The store was restored from a copy.",
                   {{"collection", collection},
                    {"era", std::to_string(revision.era)},
                    {"revision", std::to_string(revision.number)}});
    m_relay.recordRestored(collection, revision);
    if (revision.era <= m_restoredEra)
        return;
    m_restoredEra = revision.era;
    m_catchUp.recordRestore(revision.era);
    if (onStoreRestored)
        onStoreRestored();
}

/// @return true when the run of the server that the restored entry names is known to be leaving, or
///         was removed from the list
bool PlatformState::isOutdatedServer(const store::Item &known, const store::Item &restored) const
{
    const Result<DirectServer> before = m_adapter.decodeServer(known.name, known.value);
    const Result<DirectServer> now = m_adapter.decodeServer(restored.name, restored.value);
    if (!before || !now || before.value().startedAtMs != now.value().startedAtMs)
        return false;
    const bool isRemoved = !m_servers.contains(known.name);
    return isRemoved || (before.value().draining && !now.value().draining);
}

/// Sends one notice for all that is learned in this round of the event loop.
void PlatformState::scheduleNotice()
{
    if (!m_relay.isLeader() || std::exchange(m_isNoticeScheduled, true))
        return;
    boost::asio::post(m_io, [this] {
        m_isNoticeScheduled = false;
        m_relay.send();
    });
}

void PlatformState::sendNotice(std::vector<wire::CollectionNotice> collections)
{
    m_peers.announceStore(m_plan ? m_plan->version() : 0, m_newestRevision, std::move(collections));
}

void PlatformState::handleStoreNotice(const wire::StoreNotice &notice)
{
    m_newestRevision = std::max(m_newestRevision, notice.storeRevision);
    for (const wire::CollectionNotice &collection : notice.collections)
        m_relay.receive(collection);
    recordPlanElsewhere(notice.planVersion, notice.storeRevision);
    if (m_plan && notice.planVersion > m_plan->version())
        m_planWatcher->expectRevision(notice.storeRevision, watchReportTime);
    for (const auto &watcher : m_watchers)
        watcher->recordReachedRevision(notice.storeRevision);
}

void PlatformState::refreshPlanProof()
{
    m_catchUp.update();
    const std::vector<RouterId> others = m_peers.liveRouters();
    const bool hasHeardOthers = Clock::now() - m_startedAt > leadershipDelay;
    m_relay.setLeader(hasHeardOthers && m_planProofs.isWatcher(others));
    const auto step = m_planProofs.nextStep(others, BootClock::now());
    if (step.askStore)
        m_planWatcher->check();
    if (step.askRouter)
        m_peers.queryPlanProof(*step.askRouter, step.query);
}

void PlatformState::handlePlanProof(const decision::PlanProofAnswer &answer)
{
    switch (m_planProofs.handleAnswer(answer, m_plan ? m_plan->version() : 0)) {
    case decision::PlanProofs::AnswerResult::Ignored:
        return;
    case decision::PlanProofs::AnswerResult::NewerPlan:
        recordPlanElsewhere(answer.planVersion, answer.storeRevision);
        m_planWatcher->check();
        return;
    case decision::PlanProofs::AnswerResult::Confirmed:
        recordStoreRevision(answer.storeRevision, m_planProofs.newest()->at);
        return;
    }
}

void PlatformState::recordPlanElsewhere(std::uint64_t version, StoreRevision revision)
{
    const TimePoint now = Clock::now();
    const bool isForgotten = now - m_newestPlanHeardAt >= planNoticeLifetime;
    if (version < m_newestPlanElsewhere && !isForgotten)
        return;
    if (version != m_newestPlanElsewhere || isForgotten)
        m_newestPlanSeenAt = revision;
    m_newestPlanElsewhere = version;
    m_newestPlanHeardAt = now;
}

TrafficPlanPtr PlatformState::planInForce() const
{
    return m_catchUp.isStarting() || isPlanOutdated() ? nullptr : m_plan;
}

bool PlatformState::isPlanOutdated() const
{
    return m_plan && m_plan->version() < m_newestPlanElsewhere && m_newestPlanSeenAt.era != 0
           && m_planWatcher->revision() >= m_newestPlanSeenAt
           && Clock::now() - m_newestPlanHeardAt < planNoticeLifetime;
}

void PlatformState::updatePlan(const store::Item &item)
{
    if (item.name != m_adapter.collections.planItem)
        return;
    const Result<TrafficPlan> decoded = m_adapter.decodePlan(item.value);
    if (!decoded) {
        m_log.decision("Ignored an invalid plan.", {{"error", decoded.error().message()}});
        return;
    }
    if (m_plan && decoded.value().version() <= m_plan->version())
        return;
    m_plan = std::make_shared<const TrafficPlan>(decoded.value());
    m_serverSelector.setPlan(m_plan);
    // Servers that arrived before the plan are updated again, now that their pools are known.
    for (const auto &[id, server] : m_servers)
        m_serverSelector.update(server, Clock::now());
    const auto &customers = m_plan->parts().customers;
    m_log.decision("Applied a new plan.",
                   {{"plan", std::to_string(m_plan->version())},
                    {"routes", std::to_string(m_plan->parts().routes.size())},
                    {"customers", customers ? std::to_string(customers->size()) : "none listed"}});
}

void PlatformState::updateServer(const store::Item &item)
{
    const Result<DirectServer> decoded = m_adapter.decodeServer(item.name, item.value);
    if (!decoded) {
        m_log.decision("Ignored an invalid server entry.",
                       {{"server", item.name}, {"error", decoded.error().message()}});
        removeServer(item.name);
        return;
    }
    const DirectServer &server = decoded.value();
    const auto known = m_servers.find(item.name);
    if (known != m_servers.end() && known->second == server)
        return;
    m_servers[item.name] = server;
    if (m_plan)
        m_serverSelector.update(server, Clock::now());
    if (server.draining)
        m_connections.dropIdle(server.id);
    m_log.decision("Updated a server entry.",
                   {{"server", item.name},
                    {"state", server.draining ? "draining" : "ready"},
                    {"warmupLeftMs",
                     std::to_string(static_cast<int>(toMilliseconds(server.warmupLeft)))}});
}

void PlatformState::removeServer(const std::string &name)
{
    if (m_servers.erase(name) == 0)
        return;
    m_serverSelector.remove(ServerId(name));
    m_connections.dropIdle(ServerId(name));
    m_log.decision("A server is gone.", {{"server", name}});
}

void PlatformState::setZoneOut(const std::string &zone, bool out)
{
    if (out)
        m_zonesOut.insert(ZoneId(zone));
    else
        m_zonesOut.erase(ZoneId(zone));
    m_serverSelector.setZonesOut(m_zonesOut, Clock::now());
    m_log.decision(out ? "A zone receives no work." : "A zone receives work again.",
                   {{"zone", zone}});
}

} // namespace bilberry::direct
