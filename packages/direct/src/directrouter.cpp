#include "bilberry/direct/directrouter.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/digest.h"
#include "bilberry/decision/overloaddetector.h"
#include "bilberry/decision/planproofs.h"
#include "bilberry/store/collectionwatcher.h"
#include "bilberry/store/threadedcollectionstore.h"

#include "directmetrics.h"
#include "peerexchange.h"
#include "requesthandler.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Period in which expired idle connections are closed.
constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
/// Timeout of a watch call. Proofs of the plan tell the store's revision meanwhile, and so whether
/// a watch may have missed a change.
constexpr Duration longWatchTimeout = std::chrono::seconds(15);
/// Pause of the watch after changed servers, so that one response has several changes: half of the
/// shortest time limit for drained servers.
constexpr Duration serversWatchPause = std::chrono::milliseconds(1000);
/// Pause of the watch after changed routers: each one that starts or stops tells all others.
constexpr Duration routersWatchPause = std::chrono::seconds(3);
/// Time after which the store is asked for servers when its revision has risen without a change
/// from their watch.
constexpr Duration serversBehindLimit = serversWatchPause + std::chrono::milliseconds(200);
/// The same for the zones that are out, which operators change rarely: half of the shortest time
/// limit for taking a zone out.
constexpr Duration zonesBehindLimit = std::chrono::milliseconds(2500);
/// Period of the measurements of the event loop's lag.
constexpr Duration lagMeasurementPeriod = std::chrono::milliseconds(100);
/// Period in which a stopping router checks whether it is idle.
constexpr Duration stopCheckPeriod = std::chrono::milliseconds(50);
/// Time for which a connection of a stopping router is idle before it is closed: the first request
/// of a new connection may still be on its way.
constexpr Duration stopIdleTime = std::chrono::milliseconds(300);
constexpr int acceptBacklog = 1024;
/// Limit of pending connections that are accepted in one round of the event loop, so that open
/// requests continue in between.
constexpr int maxAcceptsPerRound = 32;
/// Fraction of the limit of caller connections from which on refused callers are disconnected: they
/// return on another connection anyway, and leave this one idle.
constexpr double closeAfterRefusalFill = 0.5;
/// Fraction of the limit from which on idle connections are closed to make room, and the fraction
/// of the idle ones that is closed at once.
constexpr double reclaimFill = 0.9;
constexpr double reclaimedShare = 0.25;
/// Delay of the next accept after an error; file descriptors become free within milliseconds.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

tcp::endpoint toEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

decision::PlanProofSettings proofSettings(const DirectSettings &settings)
{
    decision::PlanProofSettings proofs;
    proofs.router = settings.router;
    proofs.refreshAge = settings.planRefreshAge;
    proofs.fallbackAge = settings.planFallbackAge;
    return proofs;
}

RefusalReason refusalReason(RequestError error)
{
    switch (error) {
    case RequestError::Malformed:
        return RefusalReason::Malformed;
    case RequestError::HeadTooLarge:
        return RefusalReason::HeadTooLarge;
    case RequestError::BodyTooLarge:
        return RefusalReason::BodyTooLarge;
    case RequestError::SlowSender:
        break;
    }
    return RefusalReason::SlowSender;
}

} // namespace

struct DirectRouter::Impl : std::enable_shared_from_this<DirectRouter::Impl>
{
    Impl(const DirectSettings &settings, PlatformAdapter adapter)
        : settings(settings), adapter(std::move(adapter)), random(std::random_device{}()),
          serverSelector(settings.serverSelector), usageMeter(settings.fairnessWindow),
          connections(io, settings.connectTimeout), acceptor(io), acceptTimer(io),
          housekeepingTimer(io), lagTimer(io), stopTimer(io), requestContext{io,
                                                                             this->settings,
                                                                             this->adapter.headers,
                                                                             connections,
                                                                             serverSelector,
                                                                             usageMeter,
                                                                             retryBudgets,
                                                                             counters,
                                                                             log,
                                                                             random,
                                                                             {},
                                                                             {},
                                                                             {},
                                                                             {}}
    {
        connections.findServer = [this](const ServerId &id) { return serverSelector.server(id); };
        requestContext.currentPlan = [this] { return plan; };
        requestContext.planIsFresh = [this] { return planAge() < this->settings.maxPlanStaleness; };
        requestContext.recordFirstByteLatency = [this](const PoolId &pool, Duration duration) {
            metrics.recordFirstByteLatency(pool, duration);
        };
        requestContext.shouldCloseAfterRefusal = [this] { return isFilled(closeAfterRefusalFill); };
        callerHooks.onRequest = [this](const CallerConnectionPtr &caller, CallerRequest &&request) {
            std::make_shared<RequestHandler>(requestContext, caller, std::move(request))->start();
        };
        callerHooks.onRequestError = [this](const CallerConnectionPtr &caller, RequestError error) {
            refuseRequest(caller, error);
        };
        callerHooks.currentBounds
                = [this] { return plan ? plan->parts().callers : CallerBounds(); };
        callerHooks.onClosed = [this](const CallerConnectionPtr &caller) { callers.erase(caller); };
        listen();
        startAdminServers();
        openStore();
    }

    void listen()
    {
        const tcp::endpoint endpoint = toEndpoint(settings.callerEndpoint);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(acceptBacklog);
        acceptor.non_blocking(true);
    }

    void startAdminServers()
    {
        readinessServer = std::make_unique<admin::AdminServer>(
                io, settings.readinessEndpoint.address, settings.readinessEndpoint.port,
                std::map<std::string, admin::AdminHandler>{
                        {settings.readinessPath, [this](const admin::AdminRequest &) {
                             return admin::AdminResponse{isReady() ? 200U : 503U, "{}\n"};
                         }}});
        metricsServer = std::make_unique<admin::AdminServer>(
                io, settings.metricsEndpoint.address, settings.metricsEndpoint.port,
                std::map<std::string, admin::AdminHandler>{
                        {"/metrics", [this](const admin::AdminRequest &) {
                             updateMetrics();
                             return admin::AdminResponse{200, metrics.text(),
                                                         "text/plain; version=0.0.4"};
                         }}});
    }

    void openStore()
    {
        collectionStore = std::make_unique<store::ThreadedCollectionStore>(
                [this](asio::io_context &context) {
                    return adapter.openStore(
                            context, settings.storeEndpoint,
                            [this](const char *kind) { metrics.countStoreCall(kind); });
                });
        store::WatcherHooks plans;
        plans.onItemChanged = [this](const store::Item &item) { updatePlan(item); };
        plans.onItemRemoved = [](const std::string &) {};
        plans.onConfirmedCurrent = [this](store::StoreRevision revision, BootTime at) {
            if (plan)
                planProofs.record({plan->version(), revision, at});
        };
        store::WatcherHooks servers;
        servers.onItemChanged = [this](const store::Item &item) { updateServer(item); };
        servers.onItemRemoved = [this](const std::string &name) { removeServer(name); };
        store::WatcherHooks zones;
        zones.onItemChanged = [this](const store::Item &item) { setZoneOut(item.name, true); };
        zones.onItemRemoved = [this](const std::string &name) { setZoneOut(name, false); };
        servers.onItemMissing = [this](const std::string &name) {
            serverSelector.setMissing(ServerId(name), true);
            log.decision("A server is missing from the list after a store outage.",
                         {{"server", name}});
        };
        servers.onItemReturned = [this](const std::string &name) {
            serverSelector.setMissing(ServerId(name), false);
        };
        peerExchange = std::make_shared<PeerExchange>(io, settings, *collectionStore,
                                                      adapter.collections.routers, serverSelector,
                                                      usageMeter);
        peerExchange->onPlanProofQuery = [this](std::uint64_t query) {
            return planProofs.answer(query, BootClock::now());
        };
        peerExchange->onPlanProofAnswer
                = [this](const decision::PlanProofAnswer &answer) { handlePlanProof(answer); };
        store::WatcherHooks routers;
        routers.onItemChanged = [this](const store::Item &item) { peerExchange->updatePeer(item); };
        routers.onItemRemoved = [this](const std::string &name) { peerExchange->removePeer(name); };
        store::WatcherSettings planSettings;
        planSettings.collection = adapter.collections.plans;
        planSettings.maxWait = longWatchTimeout;
        planWatcher = watchCollection(std::move(planSettings), std::move(plans));
        store::WatcherSettings serverSettings;
        serverSettings.collection = adapter.collections.servers;
        serverSettings.maxWait = longWatchTimeout;
        serverSettings.coalescingDelay = serversWatchPause;
        serverSettings.behindLimit = serversBehindLimit;
        watchCollection(std::move(serverSettings), std::move(servers));
        store::WatcherSettings zoneSettings;
        zoneSettings.collection = adapter.collections.zonesOut;
        zoneSettings.maxWait = longWatchTimeout;
        zoneSettings.behindLimit = zonesBehindLimit;
        watchCollection(std::move(zoneSettings), std::move(zones));
        store::WatcherSettings routerSettings;
        routerSettings.collection = adapter.collections.routers;
        routerSettings.maxWait = longWatchTimeout;
        routerSettings.coalescingDelay = routersWatchPause;
        watchCollection(std::move(routerSettings), std::move(routers));
    }

    store::CollectionWatcher *watchCollection(store::WatcherSettings watcher,
                                              store::WatcherHooks hooks)
    {
        const std::string collection = watcher.collection;
        const std::size_t index = watchers.size();
        hooks.onStoreRevision = [this, index](store::StoreRevision revision, BootTime at) {
            for (std::size_t other = 0; other < watchers.size(); ++other) {
                if (other != index)
                    watchers[other]->recordStoreRevision(revision, at);
            }
        };
        // Only the plan's age matters; items of the other collections are used whatever their age.
        if (!hooks.onConfirmedCurrent)
            hooks.onConfirmedCurrent = [](store::StoreRevision, BootTime) {};
        if (!hooks.onItemMissing)
            hooks.onItemMissing = [](const std::string &) {};
        if (!hooks.onItemReturned)
            hooks.onItemReturned = [](const std::string &) {};
        hooks.onStoreLost = [this, collection](std::error_code error) {
            log.decision("Lost the store.",
                         {{"collection", collection}, {"error", error.message()}});
        };
        hooks.onStoreRegained = [this, collection] {
            log.decision("Regained the store.", {{"collection", collection}});
        };
        watchers.push_back(std::make_unique<store::CollectionWatcher>(
                io, *collectionStore, std::move(watcher), std::move(hooks),
                [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }));
        return watchers.back().get();
    }

    // Proofs that the plan is the newest one.

    Duration planAge() const { return planProofs.age(BootClock::now()); }

    void refreshPlanProof()
    {
        const auto step = planProofs.nextStep(peerExchange->routers(), BootClock::now());
        if (step.askStore)
            planWatcher->check();
        if (step.askRouter)
            peerExchange->queryPlanProof(*step.askRouter, step.query);
    }

    void handlePlanProof(const decision::PlanProofAnswer &answer)
    {
        switch (planProofs.handleAnswer(answer, plan ? plan->version() : 0)) {
        case decision::PlanProofs::AnswerResult::Ignored:
            return;
        case decision::PlanProofs::AnswerResult::NewerPlan:
            planWatcher->check();
            return;
        case decision::PlanProofs::AnswerResult::Confirmed:
            for (const auto &watcher : watchers)
                watcher->recordStoreRevision(answer.storeRevision, planProofs.newest()->at);
            return;
        }
    }

    void start()
    {
        startAccept();
        for (const auto &watcher : watchers)
            watcher->start();
        peerExchange->start();
        runHousekeeping();
        measureLag();
        log.decision("Started.",
                     {{"router", settings.router.text()}, {"zone", settings.zone.text()}});
    }

    // Changes in the store.

    void updatePlan(const store::Item &item)
    {
        if (item.name != adapter.collections.planItem)
            return;
        const Result<TrafficPlan> decoded = adapter.decodePlan(item.value);
        if (!decoded) {
            log.decision("Ignored an invalid plan.", {{"error", decoded.error().message()}});
            return;
        }
        if (plan && decoded.value().version() <= plan->version())
            return;
        plan = std::make_shared<const TrafficPlan>(decoded.value());
        serverSelector.setPlan(plan);
        // Servers that arrived before the plan are updated again, now that their pools are known.
        for (const auto &[id, server] : serverEntries)
            serverSelector.update(server, Clock::now());
        log.decision("Applied a new plan.",
                     {{"plan", std::to_string(plan->version())},
                      {"routes", std::to_string(plan->parts().routes.size())},
                      {"customers", std::to_string(plan->parts().customers.size())}});
    }

    void updateServer(const store::Item &item)
    {
        const Result<DirectServer> decoded = adapter.decodeServer(item.name, item.value);
        if (!decoded) {
            log.decision("Ignored an invalid server entry.",
                         {{"server", item.name}, {"error", decoded.error().message()}});
            removeServer(item.name);
            return;
        }
        const DirectServer &server = decoded.value();
        const auto known = serverEntries.find(item.name);
        if (known != serverEntries.end() && known->second == server)
            return;
        serverEntries[item.name] = server;
        if (plan)
            serverSelector.update(server, Clock::now());
        if (server.draining)
            connections.dropIdle(server.id);
        log.decision("Updated a server entry.",
                     {{"server", item.name},
                      {"state", server.draining ? "draining" : "ready"},
                      {"warmupLeftMs",
                       std::to_string(static_cast<int>(toMilliseconds(server.warmupLeft)))}});
    }

    void removeServer(const std::string &name)
    {
        if (serverEntries.erase(name) == 0)
            return;
        serverSelector.remove(ServerId(name));
        connections.dropIdle(ServerId(name));
        log.decision("A server is gone.", {{"server", name}});
    }

    void setZoneOut(const std::string &zone, bool out)
    {
        if (out)
            zonesOut.insert(ZoneId(zone));
        else
            zonesOut.erase(ZoneId(zone));
        serverSelector.setZonesOut(zonesOut, Clock::now());
        log.decision(out ? "A zone receives no work." : "A zone receives work again.",
                     {{"zone", zone}});
    }

    // Callers.

    void startAccept()
    {
        acceptor.async_accept(
                [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
                    if (!self->acceptor.is_open())
                        return;
                    if (error) {
                        self->delayAccept(error);
                        return;
                    }
                    self->addCaller(std::move(socket));
                    self->acceptPending();
                    self->startAccept();
                });
    }

    /// Accepts the connections that are already pending: under load the event loop returns here
    /// rarely. An overloaded router accepts only one in each round, to give priority to the store
    /// and to open streams.
    void acceptPending()
    {
        const int limit = overloadDetector.isOverloaded() ? 0 : maxAcceptsPerRound;
        for (int i = 0; i < limit && acceptOne(); ++i) {
        }
    }

    void acceptAllPending()
    {
        for (int i = 0; i < acceptBacklog && acceptOne(); ++i) {
        }
    }

    /// @return false when no connection is pending
    bool acceptOne()
    {
        tcp::socket socket(io);
        boost::system::error_code error;
        acceptor.accept(socket, error);
        if (error)
            return false;
        addCaller(std::move(socket));
        return true;
    }

    /// Accepts again after a delay. Most accept errors are a lack of file descriptors.
    void delayAccept(boost::system::error_code error)
    {
        log.decision("Could not take a connection.",
                     {{"error", error.message()}, {"callers", std::to_string(callers.size())}});
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([self = shared_from_this()](boost::system::error_code waitError) {
            if (!waitError && self->acceptor.is_open())
                self->startAccept();
        });
    }

    void addCaller(tcp::socket socket)
    {
        if (isFilled(reclaimFill))
            reclaimIdleConnections();
        // A close before the request is read tells the caller that it did not run.
        if (callers.size() >= settings.maxCallerConnections)
            return;
        const auto caller = std::make_shared<CallerConnection>(std::move(socket), callerHooks);
        callers.insert(caller);
        if (stopping)
            caller->closeAfterResponse();
        caller->start();
    }

    /// @return true when the caller connections exceed a fraction of their limit
    bool isFilled(double fraction) const
    {
        return static_cast<double>(callers.size())
               >= fraction * static_cast<double>(settings.maxCallerConnections);
    }

    /// Closes the connections that have been idle for longest. Many at once, because finding them
    /// takes time.
    void reclaimIdleConnections()
    {
        std::vector<std::pair<TimePoint, CallerConnectionPtr>> idle;
        for (const CallerConnectionPtr &caller : callers) {
            if (const auto since = caller->idleSince())
                idle.emplace_back(*since, caller);
        }
        if (idle.empty())
            return;
        const auto count = static_cast<std::size_t>(
                std::ceil(reclaimedShare * static_cast<double>(idle.size())));
        std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count),
                          idle.end());
        for (std::size_t i = 0; i < count; ++i)
            idle[i].second->releaseIfIdle();
        log.decision("Closed idle connections.", {{"closed", std::to_string(count)},
                                                  {"callers", std::to_string(callers.size())}});
    }

    void refuseRequest(const CallerConnectionPtr &caller, RequestError error)
    {
        const RefusalReason reason = refusalReason(error);
        ++counters.refused[reason];
        CallerResponseHeader header;
        header.result(httpStatus(reason));
        header.set(boost::beast::http::field::content_type, "application/problem+json");
        log.decision("Refused.", {{"request", ""}, {"reason", toText(reason)}});
        caller->sendResponse(header, problemBody(reason));
    }

    // Readiness, housekeeping and shutdown.

    bool isReady() const
    {
        return plan && !serverEntries.empty() && !stopping && planAge() < settings.maxPlanStaleness
               && !overloadDetector.isOverloaded();
    }

    /// An overloaded router leaves the rotation, so that new connections reach other routers. Open
    /// connections are still served.
    void measureLag()
    {
        lagTimer.expires_after(lagMeasurementPeriod);
        lagTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            const bool before = self->overloadDetector.isOverloaded();
            self->overloadDetector.addMeasurement(Clock::now() - self->lagTimer.expiry(),
                                                  lagMeasurementPeriod);
            const bool after = self->overloadDetector.isOverloaded();
            if (before != after)
                self->log.decision(
                        after ? "Overloaded: leaves the rotation." : "No longer overloaded.",
                        {{"meanLagMs",
                          std::to_string(static_cast<int>(self->overloadDetector.meanLagMs()))},
                         {"callers", std::to_string(self->callers.size())}});
            self->refreshPlanProof();
            self->measureLag();
        });
    }

    void runHousekeeping()
    {
        connections.dropExpired(Clock::now());
        housekeepingTimer.expires_after(housekeepingPeriod);
        housekeepingTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->runHousekeeping();
        });
    }

    void updateMetrics()
    {
        metrics.update(counters, serverSelector, connections.openedCount(),
                       plan ? plan->version() : 0, planAge());
    }

    /// Reports not ready, serves new connections until the load balancer has noticed, then closes
    /// the idle ones and waits for the others.
    void stop()
    {
        if (std::exchange(stopping, true))
            return;
        stopRequestedAt = Clock::now();
        log.decision("Stopping.", {{"callers", std::to_string(callers.size())}});
        for (const CallerConnectionPtr &caller : callers)
            caller->closeAfterResponse();
        peerExchange->unregister();
        continueStop();
    }

    void continueStop()
    {
        const Duration elapsed = Clock::now() - stopRequestedAt;
        if (elapsed >= settings.balancerLag && acceptor.is_open()) {
            // Closing the acceptor would reset the connections that wait in its queue.
            acceptAllPending();
            boost::system::error_code ignored;
            acceptor.close(ignored);
        }
        if (elapsed >= settings.balancerLag) {
            const auto openCallers = callers;
            for (const CallerConnectionPtr &caller : openCallers)
                caller->closeIfIdle(stopIdleTime);
        }
        const bool isIdle = callers.empty() && peerExchange->isUnregistered();
        if (elapsed >= settings.shutdownTimeout || (elapsed >= settings.balancerLag && isIdle)) {
            log.decision("Stopped.", {{"callers", std::to_string(callers.size())}});
            io.stop();
            return;
        }
        stopTimer.expires_after(stopCheckPeriod);
        stopTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->continueStop();
        });
    }

    asio::io_context io{1};
    DirectSettings settings;
    PlatformAdapter adapter;
    std::mt19937_64 random;
    Log log{"router.direct"};
    TrafficPlanPtr plan;
    decision::PlanProofs planProofs{proofSettings(settings), randomId()};
    std::map<std::string, DirectServer> serverEntries;
    std::set<ZoneId> zonesOut;
    decision::ServerSelector serverSelector;
    decision::CustomerUsageMeter usageMeter;
    std::map<PoolId, decision::WindowedRetryBudget> retryBudgets;
    RequestCounters counters;
    DirectMetrics metrics;
    ServerConnections connections;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::steady_timer housekeepingTimer;
    asio::steady_timer lagTimer;
    asio::steady_timer stopTimer;
    decision::OverloadDetector overloadDetector{{}};
    RequestContext requestContext;
    CallerHooks callerHooks;
    std::unordered_set<CallerConnectionPtr> callers;
    std::unique_ptr<store::CollectionStore> collectionStore;
    std::shared_ptr<PeerExchange> peerExchange;
    std::vector<std::unique_ptr<store::CollectionWatcher>> watchers;
    store::CollectionWatcher *planWatcher = nullptr; ///< one of the watchers
    std::unique_ptr<admin::AdminServer> readinessServer;
    std::unique_ptr<admin::AdminServer> metricsServer;
    bool stopping = false;
    TimePoint stopRequestedAt{};
};

DirectRouter::DirectRouter(const DirectSettings &settings, PlatformAdapter adapter)
    : m_impl(std::make_shared<Impl>(settings, std::move(adapter)))
{
}

DirectRouter::~DirectRouter() = default;

void DirectRouter::run()
{
    m_impl->start();
    m_impl->io.run();
}

void DirectRouter::stop()
{
    m_impl->stop();
}

boost::asio::io_context &DirectRouter::context()
{
    return m_impl->io;
}

} // namespace bilberry::direct
