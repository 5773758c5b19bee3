#include "bilberry/direct/directrouter.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/decision/overloaddetector.h"
#include "bilberry/decision/rendezvous.h"
#include "bilberry/store/threadedcollectionstore.h"

#include "caller/callerlistener.h"
#include "crashes/crashdetector.h"
#include "crashes/crashrecords.h"
#include "directmetrics.h"
#include "peers/peerexchange.h"
#include "request/requesthandler.h"
#include "store/platformstate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace bilberry::direct {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Period in which expired idle connections are closed.
constexpr Duration housekeepingPeriod = std::chrono::seconds(1);
/// Period of the measurements of the event loop's lag.
constexpr Duration lagMeasurementPeriod = std::chrono::milliseconds(100);
/// Period in which a stopping router checks whether it is idle.
constexpr Duration stopCheckPeriod = std::chrono::milliseconds(50);
/// Part of the limit of a shutdown that is left for the final responses to requests in progress.
constexpr Duration finalResponseTime = std::chrono::milliseconds(400);
/// Sockets that a router needs besides those of callers and servers: for the store, the other
/// routers, readiness and metrics.
constexpr std::size_t ownSockets = 160;
/// Limit of the bodies of requests for readiness and metrics, which need none.
constexpr std::size_t maxAdminBodyBytes = 1024;
tcp::endpoint toEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

/// Event loop whose waiting handlers can be destroyed before the objects that belong to it.
class EventLoop : public asio::io_context
{
public:
    using asio::io_context::io_context;

    void releaseHandlers() { shutdown(); }
};

RefusalReason refusalReason(RequestError error)
{
    switch (error) {
    case RequestError::Malformed:
        return RefusalReason::Malformed;
    case RequestError::HeadTooLarge:
        return RefusalReason::HeadTooLarge;
    case RequestError::BodyTooLarge:
        return RefusalReason::BodyTooLarge;
    case RequestError::MemoryFull:
        return RefusalReason::MemoryFull;
    case RequestError::Shutdown:
        return RefusalReason::Stopping;
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
          crashSuspicion(settings.crashSuspicion),
          memory(std::make_shared<MemoryAccount>(settings.limits.memoryBytes)),
          connections(io, settings.connectTimeout, memory),
          crashDetector(io, connections, crashSuspicion, log), housekeepingTimer(io), lagTimer(io),
          stopTimer(io), requestContext{.io = io,
                                        .settings = this->settings,
                                        .headerNames = this->adapter.headers,
                                        .memory = memory,
                                        .connections = connections,
                                        .serverSelector = serverSelector,
                                        .usageMeter = usageMeter,
                                        .crashSuspicion = crashSuspicion,
                                        .crashDetector = crashDetector,
                                        .retryBudgets = retryBudgets,
                                        .counters = counters,
                                        .log = log,
                                        .random = random,
                                        .currentPlan = [this] { return state->planInForce(); },
                                        .planIsFresh = [this] { return planIsFresh(); },
                                        .stopsAt = [this] { return requestsEndAt(); },
                                        .recordFirstByteLatency =
                                                [this](const PoolId &pool, Duration duration) {
                                                    metrics.recordFirstByteLatency(pool, duration);
                                                },
                                        .shouldCloseAfterRefusal
                                        = [this] { return callers->shouldCloseAfterRefusal(); }}
    {
        serverSelector.setRouterShareHook([this](TimePoint now) {
            return usageMeter.routerShare(serverSelector.routerCount(), now);
        });
        connections.findServer = [this](const ServerId &id) { return serverSelector.server(id); };
        listen();
        startAdminServers();
        openStore();
    }

    void listen()
    {
        CallerHooks hooks;
        hooks.onRequest = [this](const CallerConnectionPtr &caller, CallerRequest &&request) {
            std::make_shared<RequestHandler>(requestContext, caller, std::move(request))->start();
        };
        hooks.onRequestError = [this](const CallerConnectionPtr &caller, RequestError error) {
            refuseRequest(caller, error);
        };
        hooks.onException = [this](const std::string &reason) {
            log.decision("Closed a caller's connection after an exception.", {{"error", reason}});
        };
        hooks.currentBounds = [this] { return callerBounds(); };
        hooks.onMemoryReleased = [this](MemoryUse use, ReleaseCause cause) {
            log.decision(cause == ReleaseCause::Memory
                                 ? "Closed a caller's connection to free its memory."
                                 : "Closed a caller's connection that had stopped, to make room.",
                         {{"use", toText(use)},
                          {"heldBytes", std::to_string(memory->counters().heldBytes)},
                          {"limitBytes", std::to_string(memory->limitBytes())},
                          {"callers", std::to_string(callers->size())}});
        };
        callers = std::make_shared<CallerListener>(
                io, toEndpoint(settings.callerEndpoint), [this] { return maxCallers(); },
                std::move(hooks), [this] { return overloadDetector.isOverloaded(); }, memory, log);
    }

    /// @return limit of the callers' connections: each request in progress needs another one to
    ///         its server
    std::size_t maxCallers() const
    {
        const std::size_t taken = ownSockets + connections.openCount();
        const std::size_t sockets = settings.limits.maxSockets();
        return std::min(settings.maxCallerConnections, sockets > taken ? sockets - taken : 1);
    }

    void startAdminServers()
    {
        readinessServer = std::make_unique<admin::AdminServer>(
                io, settings.readinessEndpoint.address, settings.readinessEndpoint.port,
                std::map<std::string, admin::AdminHandler>{
                        {settings.readinessPath,
                         [this](const admin::AdminRequest &) {
                             return admin::AdminResponse{isReady() ? 200U : 503U, "{}\n"};
                         }}},
                maxAdminBodyBytes, memory);
        metricsServer = std::make_unique<admin::AdminServer>(
                io, settings.metricsEndpoint.address, settings.metricsEndpoint.port,
                std::map<std::string, admin::AdminHandler>{
                        {"/metrics",
                         [this](const admin::AdminRequest &) {
                             updateMetrics();
                             return admin::AdminResponse{200, metrics.text(),
                                                         "text/plain; version=0.0.4"};
                         }}},
                maxAdminBodyBytes, memory);
    }

    void openStore()
    {
        collectionStore = std::make_unique<store::ThreadedCollectionStore>(
                [this](asio::io_context &context) {
                    return adapter.openStore(
                            context, settings.storeEndpoint,
                            [this](const char *kind) { metrics.countStoreCall(kind); });
                });
        peerExchange = std::make_shared<PeerExchange>(io, settings, *collectionStore,
                                                      adapter.collections.routers, serverSelector,
                                                      usageMeter, crashSuspicion);
        crashDetector.onCrash = [this] { peerExchange->handleSuspicionChange(); };
        crashSuspicion.setProbeOrderHook(
                [this](decision::RequestFeature feature) { return probeOrder(feature); });
        crashRecords = std::make_shared<CrashRecords>(
                io, *collectionStore, adapter.collections.crashSuspects, crashSuspicion, log);
        state = std::make_unique<PlatformState>(io, settings, adapter, *collectionStore,
                                                serverSelector, connections, *peerExchange, log,
                                                random);
        state->onStoreRestored = [this] {
            peerExchange->registerAgain();
            crashSuspicion.forgetStored();
        };
    }

    /// @return number of live routers that come before this one in the rendezvous order of the
    ///         feature
    std::size_t probeOrder(decision::RequestFeature feature) const
    {
        const auto weight = [feature](const RouterId &router) {
            return decision::rendezvousWeight(feature, decision::stableHash(router.text()));
        };
        const std::uint64_t own = weight(settings.router);
        const std::vector<RouterId> others = peerExchange->liveRouters();
        return static_cast<std::size_t>(
                std::count_if(others.begin(), others.end(),
                              [&](const RouterId &other) { return weight(other) > own; }));
    }

    void start()
    {
        callers->start();
        state->start();
        peerExchange->start();
        crashRecords->load();
        runHousekeeping();
        measureLag();
        log.decision("Started.", {{"router", settings.router.text()},
                                  {"zone", settings.zone.text()},
                                  {"memoryLimitBytes", std::to_string(memory->limitBytes())},
                                  {"maxCallers", std::to_string(maxCallers())}});
    }

    void refuseRequest(const CallerConnectionPtr &caller, RequestError error)
    {
        const RefusalReason reason = refusalReason(error);
        ++counters.refused[reason];
        CallerResponseHeader header;
        header.result(httpStatus(reason));
        header.set(boost::beast::http::field::content_type, "application/problem+json");
        constexpr unsigned unavailable = 503;
        if (httpStatus(reason) == unavailable)
            header.set(boost::beast::http::field::retry_after,
                       retryAfterText(defaultRetryAfter(Duration::max(), random)));
        const CallerBounds bounds = callerBounds();
        log.decision("Refused.", {{"request", ""},
                                  {"reason", toText(reason)},
                                  {"headLimitBytes", std::to_string(bounds.headBytes)},
                                  {"bodyLimitBytes", std::to_string(bounds.bodyBytes)},
                                  {"heldBytes", std::to_string(memory->counters().heldBytes)}});
        caller->sendResponse(header, problemBody(reason));
    }

    CallerBounds callerBounds() const
    {
        return state->plan() ? state->plan()->parts().callers : CallerBounds();
    }

    /// @return false when the plan may still contain withdrawn keys
    bool planIsFresh() const { return state->planAge() < settings.maxPlanStaleness; }

    bool isReady() const
    {
        return state->planInForce() && state->hasServers() && !stopping && planIsFresh()
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
                         {"callers", std::to_string(self->callers->size())}});
            self->state->refreshPlanProof();
            self->measureLag();
        });
    }

    void runHousekeeping()
    {
        connections.dropExpired(Clock::now());
        memory->returnFreedMemory();
        crashSuspicion.expire(Clock::now());
        crashRecords->saveChanges(settings.router, peerExchange->liveRouters());
        housekeepingTimer.expires_after(housekeepingPeriod);
        housekeepingTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->runHousekeeping();
        });
    }

    void updateMetrics()
    {
        metrics.update(crashSuspicion);
        metrics.update(*memory);
        metrics.update(counters, serverSelector, connections.openedCount(),
                       state->plan() ? state->plan()->version() : 0, state->planAge());
    }

    /// Reports not ready, serves new connections until the load balancer has noticed, then closes
    /// the idle ones and waits for the others.
    void stop()
    {
        if (std::exchange(stopping, true))
            return;
        stopRequestedAt = Clock::now();
        log.decision("Stopping.", {{"callers", std::to_string(callers->size())}});
        callers->startDraining();
        peerExchange->unregister();
        continueStop();
    }

    /// @return when the requests in progress get their final response; absent until the load
    ///         balancer has noticed the shutdown
    std::optional<TimePoint> requestsEndAt() const
    {
        if (!stopping || Clock::now() - stopRequestedAt < settings.balancerLag)
            return std::nullopt;
        return stopRequestedAt + settings.shutdownTimeout - finalResponseTime;
    }

    void continueStop()
    {
        const Duration elapsed = Clock::now() - stopRequestedAt;
        const bool balancerKnows = elapsed >= settings.balancerLag;
        if (balancerKnows) {
            callers->stopAccepting();
            callers->closeIdle();
        }
        // A request that is cut off with the process gets no answer at all.
        if (requestsEndAt() && Clock::now() >= *requestsEndAt())
            callers->endRequests();
        const bool isIdle = callers->size() == 0 && peerExchange->isUnregistered();
        if (elapsed >= settings.shutdownTimeout || (balancerKnows && isIdle)) {
            log.decision("Stopped.", {{"callers", std::to_string(callers->size())}});
            io.stop();
            return;
        }
        stopTimer.expires_after(stopCheckPeriod);
        stopTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error)
                self->continueStop();
        });
    }

    /// Ends the store's thread, and releases the handlers that wait: they own this object, and
    /// would keep it, and the thread, beyond the router's life.
    void close()
    {
        collectionStore->stop();
        io.releaseHandlers();
    }

    EventLoop io{1};
    DirectSettings settings;
    PlatformAdapter adapter;
    std::mt19937_64 random;
    Log log{"router.direct"};
    decision::ServerSelector serverSelector;
    decision::CustomerUsageMeter usageMeter;
    decision::CrashSuspicion crashSuspicion;
    std::map<PoolId, decision::WindowedRetryBudget> retryBudgets;
    RequestCounters counters;
    DirectMetrics metrics;
    std::shared_ptr<MemoryAccount> memory;
    ServerConnections connections;
    CrashDetector crashDetector;
    asio::steady_timer housekeepingTimer;
    asio::steady_timer lagTimer;
    asio::steady_timer stopTimer;
    decision::OverloadDetector overloadDetector{{}};
    RequestContext requestContext;
    std::unique_ptr<store::ThreadedCollectionStore> collectionStore;
    std::shared_ptr<PeerExchange> peerExchange;
    std::shared_ptr<CrashRecords> crashRecords;
    std::unique_ptr<PlatformState> state;
    std::shared_ptr<CallerListener> callers;
    std::unique_ptr<admin::AdminServer> readinessServer;
    std::unique_ptr<admin::AdminServer> metricsServer;
    bool stopping = false;
    TimePoint stopRequestedAt{};
};

DirectRouter::DirectRouter(const DirectSettings &settings, PlatformAdapter adapter)
    : m_impl(std::make_shared<Impl>(settings, std::move(adapter)))
{
}

DirectRouter::~DirectRouter()
{
    m_impl->close();
}

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
