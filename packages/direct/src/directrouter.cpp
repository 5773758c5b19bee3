#include "bilberry/direct/directrouter.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/decision/overloaddetector.h"
#include "bilberry/store/collectionwatcher.h"

#include "directmetrics.h"
#include "peerexchange.h"
#include "planfreshness.h"
#include "requesthandler.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <unordered_set>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Metrics and idle connections are looked after in this period.
constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
/// Routers come and go seldom, and a late entry costs only a less exact choice.
constexpr Duration routersWait = std::chrono::seconds(20);
/// Between two answers with changed servers: a fifth of the shortest bound on drained servers.
constexpr Duration serversPause = std::chrono::milliseconds(400);
/// Between two measurements of the event loop's lag.
constexpr Duration lagPeriod = std::chrono::milliseconds(100);
/// A stopping router looks this often whether it is idle.
constexpr Duration stopPeriod = std::chrono::milliseconds(50);
constexpr int acceptBacklog = 1024;
/// Waiting connections that are taken at once; the requests of the others go on meanwhile.
constexpr int acceptBatch = 32;
/// Until the next connection is taken after an error; descriptors come free within milliseconds.
constexpr Duration acceptPause = std::chrono::milliseconds(20);

tcp::endpoint toEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

RefusalReason reasonOf(RequestError fault)
{
    switch (fault) {
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
          fleet(settings.fleet), meter(settings.fairnessWindow),
          connections(io, settings.connectTimeout), acceptor(io), acceptTimer(io),
          housekeepingTimer(io), lagTimer(io), stopTimer(io), requestContext{io,
                                                                             this->settings,
                                                                             this->adapter.headers,
                                                                             connections,
                                                                             fleet,
                                                                             meter,
                                                                             retryBudgets,
                                                                             counters,
                                                                             log,
                                                                             random,
                                                                             {},
                                                                             {},
                                                                             {}}
    {
        connections.findServer = [this](const ServerId &id) { return fleet.server(id); };
        requestContext.currentPlan = [this] { return plan; };
        requestContext.planIsFresh
                = [this] { return planFreshness.age() < this->settings.maxPlanStaleness; };
        requestContext.recordFirstByteLatency = [this](const PoolId &pool, Duration duration) {
            metrics.recordFirstByteLatency(pool, duration);
        };
        callerHooks.onRequest = [this](const CallerConnectionPtr &caller, CallerRequest &&message) {
            std::make_shared<RequestHandler>(requestContext, caller, std::move(message))->start();
        };
        callerHooks.onRequestError = [this](const CallerConnectionPtr &caller, RequestError fault) {
            refuseRequest(caller, fault);
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
        acceptor.open(tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(toEndpoint(settings.callerEndpoint));
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
        collectionStore = adapter.openStore(io, settings.storeEndpoint, [this](const char *kind) {
            metrics.countStoreCall(kind);
        });
        store::WatcherHooks plans;
        plans.changed = [this](const store::Item &item) { updatePlan(item); };
        plans.removed = [](const std::string &) {};
        plans.proven = [this](TimePoint at) { planFreshness.confirm(at); };
        store::WatcherHooks servers;
        servers.changed = [this](const store::Item &item) { updateServer(item); };
        servers.removed = [this](const std::string &name) { removeServer(name); };
        store::WatcherHooks zones;
        zones.changed = [this](const store::Item &item) { setZoneOut(item.name, true); };
        zones.removed = [this](const std::string &name) { setZoneOut(name, false); };
        servers.missing = [this](const std::string &name) {
            fleet.setMissing(ServerId(name), true);
            log.decision("A server is missing around an outage.", {{"server", name}});
        };
        servers.returned
                = [this](const std::string &name) { fleet.setMissing(ServerId(name), false); };
        peerExchange = std::make_shared<PeerExchange>(io, settings, *collectionStore,
                                                      adapter.collections.routers, fleet, meter);
        store::WatcherHooks routers;
        routers.changed = [this](const store::Item &item) { peerExchange->updatePeer(item); };
        routers.removed = [this](const std::string &name) { peerExchange->removePeer(name); };
        watchCollection(adapter.collections.plans, std::move(plans), settings.watchTimeout);
        watchCollection(adapter.collections.servers, std::move(servers), settings.watchTimeout);
        watchCollection(adapter.collections.zonesOut, std::move(zones), 2 * settings.watchTimeout);
        watchCollection(adapter.collections.routers, std::move(routers), routersWait);
    }

    void watchCollection(const std::string &collection, store::WatcherHooks hooks, Duration wait)
    {
        store::WatcherSettings watcher;
        watcher.collection = collection;
        watcher.wait = wait;
        if (collection == adapter.collections.servers)
            watcher.pause = serversPause;
        // Only the plan's age is of use; the others are judged by their entries.
        if (!hooks.proven)
            hooks.proven = [](TimePoint) {};
        if (!hooks.missing)
            hooks.missing = [](const std::string &) {};
        if (!hooks.returned)
            hooks.returned = [](const std::string &) {};
        hooks.lost = [this, collection](std::error_code error) {
            log.decision("Lost the store.",
                         {{"collection", collection}, {"error", error.message()}});
        };
        hooks.regained = [this, collection] {
            log.decision("Regained the store.", {{"collection", collection}});
        };
        watchers.push_back(std::make_unique<store::CollectionWatcher>(
                io, *collectionStore, std::move(watcher), std::move(hooks),
                [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }));
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

    // What the store says.

    void updatePlan(const store::Item &item)
    {
        if (item.name != adapter.collections.planItem)
            return;
        const Result<TrafficPlan> decoded = adapter.decodePlan(item.value);
        if (!decoded) {
            log.decision("Ignored a plan.", {{"error", decoded.error().message()}});
            return;
        }
        if (plan && decoded.value().version() <= plan->version())
            return;
        plan = std::make_shared<const TrafficPlan>(decoded.value());
        fleet.setPlan(plan);
        // Entries that came before the plan's pools are taken over again.
        for (const auto &[id, server] : serverEntries)
            fleet.update(server, Clock::now());
        log.decision("A plan is in force.",
                     {{"plan", std::to_string(plan->version())},
                      {"routes", std::to_string(plan->parts().routes.size())},
                      {"customers", std::to_string(plan->parts().customers.size())}});
    }

    void updateServer(const store::Item &item)
    {
        const Result<DirectServer> decoded = adapter.decodeServer(item.name, item.value);
        if (!decoded) {
            log.decision("Ignored a server's entry.",
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
            fleet.update(server, Clock::now());
        if (server.draining)
            connections.dropIdle(server.id);
        log.decision("A server's entry changed.",
                     {{"server", item.name},
                      {"state", server.draining ? "draining" : "ready"},
                      {"warmupLeftMs",
                       std::to_string(static_cast<int>(toMilliseconds(server.warmupLeft)))}});
    }

    void removeServer(const std::string &name)
    {
        if (serverEntries.erase(name) == 0)
            return;
        fleet.remove(ServerId(name));
        connections.dropIdle(ServerId(name));
        log.decision("A server is gone.", {{"server", name}});
    }

    void setZoneOut(const std::string &zone, bool out)
    {
        if (out)
            zonesOut.insert(ZoneId(zone));
        else
            zonesOut.erase(ZoneId(zone));
        fleet.setZonesOut(zonesOut, Clock::now());
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

    /// Takes the connections that wait already: under load the event loop comes back here seldom.
    /// An overloaded router takes one in each round, so that its store and its streams come first.
    void acceptPending()
    {
        if (overloadDetector.isOverloaded())
            return;
        for (int i = 0; i < acceptBatch; ++i) {
            tcp::socket socket(io);
            boost::system::error_code error;
            acceptor.accept(socket, error);
            if (error)
                return;
            addCaller(std::move(socket));
        }
    }

    /// No connection can be taken now, mostly because descriptors have run out.
    void delayAccept(boost::system::error_code error)
    {
        log.decision("Could not take a connection.",
                     {{"error", error.message()}, {"callers", std::to_string(callers.size())}});
        acceptTimer.expires_after(acceptPause);
        acceptTimer.async_wait([self = shared_from_this()](boost::system::error_code waitError) {
            if (!waitError && self->acceptor.is_open())
                self->startAccept();
        });
    }

    void addCaller(tcp::socket socket)
    {
        // Closing without reading tells the caller that nothing ran.
        if (callers.size() >= settings.maxCallerConnections)
            return;
        const auto caller = std::make_shared<CallerConnection>(std::move(socket), callerHooks);
        callers.insert(caller);
        if (stopping)
            caller->closeAfterResponse();
        caller->start();
    }

    void refuseRequest(const CallerConnectionPtr &caller, RequestError fault)
    {
        const RefusalReason reason = reasonOf(fault);
        ++counters.refused[reason];
        CallerResponseHeader header;
        header.result(httpStatus(reason));
        header.set(boost::beast::http::field::content_type, "application/problem+json");
        log.decision("Refused.", {{"request", ""}, {"reason", toText(reason)}});
        caller->sendResponse(header, problemBody(reason));
    }

    // Life of the process.

    bool isReady() const
    {
        return plan && !serverEntries.empty() && !stopping
               && planFreshness.age() < settings.maxPlanStaleness
               && !overloadDetector.isOverloaded();
    }

    /// An overloaded router leaves the rotation, so that new connections reach others. What is open
    /// here is served on.
    void measureLag()
    {
        lagTimer.expires_after(lagPeriod);
        lagTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            const bool before = self->overloadDetector.isOverloaded();
            self->overloadDetector.addMeasurement(Clock::now() - self->lagTimer.expiry(),
                                                  lagPeriod);
            const bool after = self->overloadDetector.isOverloaded();
            if (before != after)
                self->log.decision(
                        after ? "Overloaded: leaves the rotation." : "No longer overloaded.",
                        {{"meanLagMs",
                          std::to_string(static_cast<int>(self->overloadDetector.meanLagMs()))},
                         {"callers", std::to_string(self->callers.size())}});
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
        metrics.update(counters, fleet, connections.openedCount(), plan ? plan->version() : 0,
                       planFreshness.age());
    }

    /// Tells the balancer, serves what still comes until it has heard, then ends what is open.
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
        const Duration since = Clock::now() - stopRequestedAt;
        if (since >= settings.balancerLag) {
            boost::system::error_code ignored;
            acceptor.close(ignored);
            const auto open = callers;
            for (const CallerConnectionPtr &caller : open)
                caller->closeIfIdle();
        }
        if (since >= settings.shutdownTimeout
            || (since >= settings.balancerLag && callers.empty())) {
            log.decision("Stopped.", {{"callers", std::to_string(callers.size())}});
            io.stop();
            return;
        }
        stopTimer.expires_after(stopPeriod);
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
    PlanFreshness planFreshness;
    std::map<std::string, DirectServer> serverEntries;
    std::set<ZoneId> zonesOut;
    decision::ServerSelector fleet;
    decision::CustomerUsageMeter meter;
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
