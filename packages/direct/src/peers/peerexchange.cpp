#include "peers/peerexchange.h"

#include "bilberry/base/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cmath>
#include <limits>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Delay of the report of a change of work, so that it includes further changes.
constexpr Duration reportDelay = std::chrono::milliseconds(5);
/// Minimum time between two reports, in which a server reads about 1,300 prompt tokens.
constexpr Duration minReportInterval = std::chrono::milliseconds(20);
/// Minimum time between two reports for each other router, so that the datagrams which one router
/// sends in a second do not increase with the number of routers.
constexpr Duration reportIntervalPerPeer = std::chrono::milliseconds(4);
/// Period of complete reports, which compensate for lost ones.
constexpr Duration completeReportPeriod = std::chrono::milliseconds(400);
/// Changes of the backlog below this wait for a complete report; in milliseconds of server work.
constexpr double minBacklogChangeMs = 1.0;
/// Shared prefixes below this size are not reported: to recompute one takes less of a server than
/// the report takes of the routers.
constexpr std::uint32_t minReportedPrefixTokens = 512;
/// Limit of the placements in one report, which keeps it within one datagram.
constexpr std::size_t maxReportedPlacements = 512;
/// In a notice of a server's limit: the server names none.
constexpr double noLimit = -1.0;
/// Time without a message after which another router counts as gone, in which several complete
/// reports come.
constexpr Duration peerLifetime = std::chrono::seconds(2);
/// Ages of proofs above this one can't be converted, and are as useless.
constexpr std::uint64_t maxProofAgeUs = 3'600'000'000;
constexpr Duration storeCallTimeout = std::chrono::seconds(1);
/// Delay between two attempts to register this router.
constexpr Duration registrationRetryDelay = std::chrono::milliseconds(700);
/// Time after a registration in which the store must list this router: more than the pause between
/// two watch calls for routers.
constexpr Duration listingLimit = std::chrono::seconds(5);
constexpr Duration registrationCheckPeriod = std::chrono::seconds(1);

} // namespace

PeerExchange::PeerExchange(asio::io_context &io, const DirectSettings &settings,
                           store::CollectionStore &store, std::string collection,
                           decision::ServerSelector &serverSelector,
                           decision::CustomerUsageMeter &usageMeter,
                           decision::CrashSuspicion &crashSuspicion)
    : m_settings(settings), m_store(store), m_collection(std::move(collection)),
      m_serverSelector(serverSelector), m_usageMeter(usageMeter), m_crashSuspicion(crashSuspicion),
      m_socket(
              io, settings.peerEndpoint.address, settings.peerEndpoint.port,
              [this](wire::GossipMessage &&message) { handleMessage(std::move(message)); },
              [](std::size_t) {}),
      m_reportTimer(io), m_registrationTimer(io),
      m_registrationCheckTimer(io), m_sender{settings.router, randomId(), settings.zone}
{
}

void PeerExchange::start()
{
    m_socket.start();
    m_serverSelector.setLoadChangedHook([this] { handleLoadChange(); });
    m_serverSelector.setPrefixPlacedHook(
            [this](const decision::PlacedPrefix &placed) { addPlacement(placed); });
    asio::co_spawn(m_registrationTimer.get_executor(), registerRouter(shared_from_this()),
                   asio::detached);
    superviseRegistration();
    sendReport();
}

/// Registers this router again when its entry is gone: the removal by the process before it may
/// take effect late, and without an entry the other routers send it nothing.
void PeerExchange::superviseRegistration()
{
    const bool isMissing
            = m_registeredAt && !m_isListed && Clock::now() - *m_registeredAt > listingLimit;
    if (isMissing && !m_isUnregistering) {
        m_log.decision("This router's entry is missing; registers again.", {});
        registerAgain();
    }
    m_registrationCheckTimer.expires_after(registrationCheckPeriod);
    m_registrationCheckTimer.async_wait(
            [self = shared_from_this()](boost::system::error_code error) {
                if (!error)
                    self->superviseRegistration();
            });
}

void PeerExchange::registerAgain()
{
    if (m_isUnregistering)
        return;
    // What is being written now may be lost as well.
    m_mustRegisterAgain = !m_registeredAt;
    if (m_mustRegisterAgain)
        return;
    m_registeredAt.reset();
    asio::co_spawn(m_registrationTimer.get_executor(), registerRouter(shared_from_this()),
                   asio::detached);
}

asio::awaitable<void> PeerExchange::registerRouter(std::shared_ptr<PeerExchange> self)
{
    const store::Item item{
            self->m_settings.router.text(),
            json::serialize(json::object{{"address", self->m_settings.peerEndpoint.address},
                                         {"port", self->m_settings.peerEndpoint.port}})};
    while (!self->m_isUnregistering) {
        const Status registered
                = co_await self->m_store.put(self->m_collection, item, storeCallTimeout);
        if (registered && std::exchange(self->m_mustRegisterAgain, false))
            continue;
        if (registered) {
            self->m_registeredAt = Clock::now();
            co_return;
        }
        self->m_log.decision("Could not register this router.",
                             {{"error", registered.error().message()}});
        self->m_registrationTimer.expires_after(registrationRetryDelay);
        boost::system::error_code ignored;
        co_await self->m_registrationTimer.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void PeerExchange::unregister()
{
    m_isUnregistering = true;
    m_registrationTimer.cancel();
    m_registrationCheckTimer.cancel();
    asio::co_spawn(m_registrationTimer.get_executor(), unregisterRouter(shared_from_this()),
                   asio::detached);
}

asio::awaitable<void> PeerExchange::unregisterRouter(std::shared_ptr<PeerExchange> self)
{
    const std::string name = self->m_settings.router.text();
    const Status removed
            = co_await self->m_store.remove(self->m_collection, name, storeCallTimeout);
    if (!removed)
        self->m_log.decision("Could not remove this router's entry.",
                             {{"error", removed.error().message()}});
    self->m_isUnregistered = true;
}

void PeerExchange::updatePeer(const store::Item &item)
{
    if (item.name == m_settings.router.text()) {
        m_isListed = true;
        return;
    }
    boost::system::error_code error;
    const json::value value = json::parse(item.value, error);
    const json::object *entry = error ? nullptr : value.if_object();
    const json::value *address = entry ? entry->if_contains("address") : nullptr;
    const json::value *port = entry ? entry->if_contains("port") : nullptr;
    const bool hasPort = port && port->is_int64() && port->get_int64() > 0
                         && port->get_int64() <= std::numeric_limits<std::uint16_t>::max();
    if (!address || !address->is_string() || !hasPort) {
        m_log.decision("Ignored an invalid router entry.", {{"router", item.name}});
        return;
    }
    m_peers[item.name] = {RouterId(item.name), std::string(address->get_string()),
                          static_cast<std::uint16_t>(port->get_int64())};
    m_serverSelector.recordRouter(RouterId(item.name), Clock::now());
    std::vector<wire::GossipPeer> peers;
    for (const auto &[name, peer] : m_peers)
        peers.push_back(peer);
    m_socket.setPeers(peers);
    std::erase_if(m_lastReports,
                  [this](const auto &entry) { return !m_peers.contains(entry.first.text()); });
}

void PeerExchange::removePeer(const std::string &router)
{
    if (router == m_settings.router.text())
        m_isListed = false;
    m_peers.erase(router);
    m_heardAt.erase(RouterId(router));
    m_socket.removePeer(RouterId(router));
}

Duration PeerExchange::reportInterval() const
{
    return std::max<Duration>(minReportInterval,
                              reportIntervalPerPeer * static_cast<int>(m_peers.size()));
}

void PeerExchange::handleLoadChange()
{
    if (!m_peers.empty())
        scheduleReport(std::max(Clock::now() + reportDelay, m_lastReportAt + reportInterval()));
}

void PeerExchange::addPlacement(const decision::PlacedPrefix &placed)
{
    if (m_peers.empty() || placed.prefix.tokens < minReportedPrefixTokens
        || m_placements.size() >= maxReportedPlacements)
        return;
    m_placements.push_back(
            {placed.server, placed.prefix.key, placed.prefix.tokens, placed.ownTokens});
}

/// Schedules the next report, unless an earlier one is scheduled.
void PeerExchange::scheduleReport(TimePoint when)
{
    if (when >= m_nextReportAt)
        return;
    m_nextReportAt = when;
    m_reportTimer.expires_at(when);
    m_reportTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->sendReport();
    });
}

void PeerExchange::sendReport()
{
    const TimePoint now = Clock::now();
    const bool complete = now - m_lastCompleteReportAt >= completeReportPeriod;
    wire::DirectRouterReport report;
    report.loads = changedLoads(complete);
    report.placements = std::exchange(m_placements, {});
    const bool hasChanges = complete || !report.loads.empty() || !report.placements.empty();
    // Demands that are due wait for a report that is sent anyway.
    if (hasChanges && now - m_lastDemandReportAt >= decision::usageReportInterval(m_peers.size())) {
        m_lastDemandReportAt = now;
        report.hasDemands = true;
        for (const auto &[customer, demand] : m_usageMeter.ownUsage(now))
            report.demands.push_back({customer, static_cast<std::uint64_t>(demand.requested),
                                      static_cast<std::uint64_t>(demand.dispatched)});
    }
    if (hasChanges) {
        report.sender = m_sender;
        report.sequence = ++m_sequence;
        report.complete = complete;
        m_socket.sendToAll(report);
        m_lastReportAt = now;
    }
    sendServerNotices();
    const std::vector<decision::CrashSuspect> changedSuspects = m_crashSuspicion.takeChanged(now);
    sendSuspects(complete ? m_crashSuspicion.summary(now) : changedSuspects);
    if (complete)
        m_lastCompleteReportAt = now;
    m_nextReportAt = TimePoint::max();
    scheduleReport(m_lastCompleteReportAt + completeReportPeriod);
}

void PeerExchange::sendServerNotices()
{
    const std::vector<decision::ReportedStatement> statements
            = m_serverSelector.statements(Clock::now());
    if (statements.empty() || m_peers.empty())
        return;
    wire::ServerNoticeGossip gossip{m_sender, {}};
    for (const decision::ReportedStatement &statement : statements)
        gossip.notices.push_back(
                {statement.server, statement.startedAtMs, statement.perSecond.value_or(noLimit),
                 static_cast<std::uint32_t>(toMilliseconds(statement.age)), statement.leaving});
    m_socket.sendToAll(gossip);
}

void PeerExchange::sendSuspects(const std::vector<decision::CrashSuspect> &suspects)
{
    if (suspects.empty() || m_peers.empty())
        return;
    m_socket.sendToAll(suspectGossip(suspects));
    m_lastReportAt = Clock::now();
}

wire::CrashSuspectGossip
PeerExchange::suspectGossip(const std::vector<decision::CrashSuspect> &suspects) const
{
    wire::CrashSuspectGossip gossip{m_sender, {}};
    for (const decision::CrashSuspect &suspect : suspects) {
        wire::CrashSuspectNotice notice{suspect.feature, {}, suspect.cleared, suspect.probes};
        for (const decision::CrashSuspect::Crash &crash : suspect.crashes)
            notice.crashes.push_back({crash.run,
                                      static_cast<std::uint32_t>(toMilliseconds(crash.age)),
                                      crash.resent});
        gossip.suspects.push_back(std::move(notice));
    }
    return gossip;
}

/// @param complete true for all work of this router
/// @return the work at all servers or at those where the backlog has changed since the last report
std::vector<wire::DirectServerLoad> PeerExchange::changedLoads(bool complete)
{
    constexpr double usPerMs = 1000.0;
    std::vector<wire::DirectServerLoad> loads;
    std::map<decision::ServerKey, double> newReportedMs;
    for (const auto &[server, load] : m_serverSelector.ownLoads()) {
        const auto reported = m_reportedBacklogMs.find(server);
        const double reportedMs = reported == m_reportedBacklogMs.end() ? 0.0 : reported->second;
        newReportedMs[server] = load.backlogMs;
        if (complete || std::abs(reportedMs - load.backlogMs) >= minBacklogChangeMs)
            loads.push_back({server, static_cast<std::uint32_t>(load.backlogMs * usPerMs),
                             static_cast<std::uint32_t>(load.inFlight)});
        else
            newReportedMs[server] = reportedMs;
    }
    for (const auto &[server, reportedMs] : m_reportedBacklogMs) {
        if (!complete && !newReportedMs.contains(server))
            loads.push_back({server, 0, 0});
    }
    m_reportedBacklogMs = std::move(newReportedMs);
    return loads;
}

std::vector<RouterId> PeerExchange::routers() const
{
    std::vector<RouterId> routers;
    routers.reserve(m_peers.size());
    for (const auto &[name, peer] : m_peers)
        routers.push_back(peer.router);
    return routers;
}

std::vector<RouterId> PeerExchange::liveRouters() const
{
    const TimePoint now = Clock::now();
    std::vector<RouterId> live;
    for (const auto &[name, peer] : m_peers) {
        const auto heard = m_heardAt.find(peer.router);
        if (heard != m_heardAt.end() && now - heard->second < peerLifetime)
            live.push_back(peer.router);
    }
    return live;
}

void PeerExchange::announceStore(std::uint64_t planVersion, StoreRevision storeRevision,
                                 std::vector<wire::CollectionNotice> collections)
{
    m_socket.sendToAll(
            wire::StoreNotice{m_sender, planVersion, storeRevision, std::move(collections)});
}

void PeerExchange::queryPlanProof(const RouterId &router, std::uint64_t query)
{
    m_socket.send(router, wire::PlanProofQuery{m_sender, query});
}

void PeerExchange::queryRestoredState(const RouterId &router, std::uint64_t query,
                                      StoreRevision revision)
{
    m_socket.send(router, wire::RestoredStateQuery{m_sender, query, revision});
}

void PeerExchange::sendRestoredState(const RouterId &router, wire::RestoredStateReply reply)
{
    reply.sender = m_sender;
    m_socket.send(router, reply);
}

void PeerExchange::handleMessage(wire::GossipMessage &&message)
{
    const RouterId sender = std::visit(
            [](const auto &alternative) { return alternative.sender.router; }, message);
    if (m_peers.contains(sender.text()))
        recordHeard(sender);
    if (const auto *report = std::get_if<wire::DirectRouterReport>(&message))
        handleReport(*report);
    else if (const auto *gossip = std::get_if<wire::CrashSuspectGossip>(&message))
        handleSuspects(*gossip);
    else if (const auto *gossip = std::get_if<wire::ServerNoticeGossip>(&message))
        handleServerNotices(*gossip);
    else if (const auto *notice = std::get_if<wire::StoreNotice>(&message))
        onStoreNotice(*notice);
    else if (const auto *query = std::get_if<wire::PlanProofQuery>(&message))
        handleQuery(*query);
    else if (const auto *query = std::get_if<wire::RestoredStateQuery>(&message))
        handleRestoredStateQuery(*query);
    else if (const auto *reply = std::get_if<wire::RestoredStateReply>(&message))
        onRestoredStateReply(*reply);
    else if (const auto *reply = std::get_if<wire::PlanProofReply>(&message))
        onPlanProofAnswer({reply->query, reply->planVersion, reply->storeRevision,
                           std::chrono::microseconds(std::min(reply->ageUs, maxProofAgeUs))});
}

/// A router that was cut off has missed what was told meanwhile.
void PeerExchange::recordHeard(const RouterId &router)
{
    const TimePoint now = Clock::now();
    const TimePoint before = std::exchange(m_heardAt[router], now);
    if (now - before >= peerLifetime)
        m_crashSuspicion.repeatAll(now);
}

/// A router that asks may have read records of crashes that the copy lacks, or has again.
void PeerExchange::handleRestoredStateQuery(const wire::RestoredStateQuery &query)
{
    const TimePoint now = Clock::now();
    m_crashSuspicion.repeatAll(now);
    const wire::CrashSuspectGossip gossip = suspectGossip(m_crashSuspicion.summary(now));
    if (!gossip.suspects.empty())
        m_socket.send(query.sender.router, gossip);
    onRestoredStateQuery(query);
}

void PeerExchange::handleServerNotices(const wire::ServerNoticeGossip &gossip)
{
    const TimePoint now = Clock::now();
    for (const wire::ServerNotice &notice : gossip.notices) {
        decision::ReportedStatement statement{notice.server, notice.startedAtMs, std::nullopt,
                                              std::chrono::milliseconds(notice.ageMs),
                                              notice.leaving};
        if (notice.perSecond >= 0.0)
            statement.perSecond = notice.perSecond;
        if (m_serverSelector.mergeStatement(statement, now))
            m_log.decision("Another router knows what a server says of itself.",
                           {{"router", gossip.sender.router.text()},
                            {"perSecond", std::to_string(notice.perSecond)},
                            {"leaving", notice.leaving ? "true" : "false"},
                            {"ageMs", std::to_string(notice.ageMs)}});
    }
}

void PeerExchange::handleSuspects(const wire::CrashSuspectGossip &gossip)
{
    const TimePoint now = Clock::now();
    for (const wire::CrashSuspectNotice &notice : gossip.suspects) {
        decision::CrashSuspect suspect{notice.feature, {}, notice.cleared, notice.probes};
        for (const wire::CrashNotice &crash : notice.crashes)
            suspect.crashes.push_back(
                    {crash.serverRun, std::chrono::milliseconds(crash.ageMs), crash.resent});
        m_crashSuspicion.merge(suspect, now);
    }
}

void PeerExchange::handleQuery(const wire::PlanProofQuery &query)
{
    const auto answer = onPlanProofQuery(query.query);
    if (!answer)
        return;
    // Rounds up: a proof must not seem younger than it is.
    const auto age = std::chrono::ceil<std::chrono::microseconds>(answer->age);
    m_socket.send(query.sender.router,
                  wire::PlanProofReply{m_sender, answer->query, answer->planVersion,
                                       answer->storeRevision,
                                       static_cast<std::uint64_t>(age.count())});
}

void PeerExchange::handleReport(const wire::DirectRouterReport &report)
{
    if (report.sender.router == m_settings.router)
        return;
    auto &[incarnation, sequence] = m_lastReports[report.sender.router];
    if (incarnation == report.sender.incarnation && report.sequence <= sequence)
        return;
    if (incarnation != report.sender.incarnation)
        m_crashSuspicion.repeatAll(Clock::now());
    incarnation = report.sender.incarnation;
    sequence = report.sequence;
    const TimePoint now = Clock::now();
    std::vector<decision::ReportedLoad> loads;
    loads.reserve(report.loads.size());
    for (const wire::DirectServerLoad &load : report.loads)
        loads.push_back({load.server, {load.pendingPromptUs / 1000.0, load.inFlight}});
    m_serverSelector.updatePeerLoads(report.sender.router, loads, report.complete, now);
    for (const wire::DirectPlacement &placement : report.placements)
        m_serverSelector.recordPeerPlacement({placement.server,
                                              {placement.prefix, placement.sharedTokens},
                                              placement.ownTokens});
    if (!report.hasDemands)
        return;
    std::map<CustomerId, decision::CustomerUsageMeter::Usage> demands;
    for (const wire::CustomerDemand &demand : report.demands)
        demands[demand.customer] = {static_cast<double>(demand.requestedTokens),
                                    static_cast<double>(demand.dispatchedTokens)};
    m_usageMeter.updatePeerUsage(report.sender.router, demands, now);
}

} // namespace bilberry::direct
