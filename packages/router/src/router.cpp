#include "bilberry/router/router.h"

#include <algorithm>

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"
#include "bilberry/model/configurationcodec.h"
#include "bilberry/router/agentlinks.h"
#include "bilberry/router/callerserver.h"
#include "bilberry/router/coordinator.h"
#include "bilberry/router/platformclient.h"
#include "bilberry/router/routercore.h"
#include "bilberry/wire/gossipsocket.h"

#include "routerevents.h"
#include "routermetrics.h"

#include <atomic>
#include <future>
#include <random>
#include <set>

namespace bilberry::router {

namespace asio = boost::asio;

namespace {

constexpr Duration coreTickPeriod = std::chrono::milliseconds(20);
/// Ticks after which freed memory is returned to the system.
constexpr std::uint64_t ticksPerTrim = 50;
/// Half of the minimum time between two service reports.
constexpr Duration localServicePeriod = std::chrono::milliseconds(50);
constexpr Duration gossipTickPeriod = std::chrono::milliseconds(50);
constexpr Duration shutdownFlushDelay = std::chrono::milliseconds(200);
constexpr Duration drainPollPeriod = std::chrono::milliseconds(50);

decision::RandomIndexHook makeRandomHook()
{
    return [engine = std::mt19937_64(randomId())](std::size_t bound) mutable {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine);
    };
}

/// @return the routers of the list with their UDP ports
/// @return false for a list that is older than this router, or damaged
bool isListed(const RouterId &router, const std::vector<store::Vm> &vms)
{
    return std::any_of(vms.begin(), vms.end(), [&](const store::Vm &vm) {
        return vm.role == store::VmRole::Router && vm.name == router.text();
    });
}

std::vector<wire::GossipPeer> gossipPeers(const std::vector<store::Vm> &vms)
{
    std::vector<wire::GossipPeer> peers;
    for (const store::Vm &vm : vms) {
        if (vm.role == store::VmRole::Router)
            peers.push_back({RouterId(vm.name), vm.address, vm.port});
    }
    return peers;
}

} // namespace

struct Router::Impl
{
    explicit Impl(const RouterSettings &settings)
        : settings(settings), incarnation(randomId()),
          coreQueue(coreThread, settings.ringCapacity,
                    [this](CoreEvent &&event) { onCoreEvent(event); }),
          linksQueue(linksThread, settings.ringCapacity,
                     [this](LinksEvent &&event) { onLinksEvent(event); }),
          gossipQueue(gossipThread, settings.ringCapacity,
                      [this](GossipEvent &&event) { onGossipEvent(event); }),
          platformQueue(platformThread, settings.ringCapacity,
                        [this](PlatformEvent &&event) { onPlatformEvent(event); }),
          callerQueue(callerThread, settings.ringCapacity,
                      [this](CallerServerEvent &&event) { onCallerServerEvent(event); }),
          core(settings, incarnation, coreHooks(), makeRandomHook()),
          coordinator(settings, incarnation, coordinatorHooks()),
          links(linksThread.context(),
                {settings.router, incarnation, settings.zone, wire::ConfigurationStamp{}},
                linksHooks(), memory),
          gossip(
                  gossipThread.context(), settings.listenAddress, settings.gossipPort,
                  [this](wire::GossipMessage &&message) {
                      coordinator.receive(message, Clock::now());
                  },
                  [this](std::size_t bytes) { metrics.addControlBytes("gossip", bytes); }),
          platform(platformThread.context(), settings, platformHooks()),
          callers(
                  callerThread.context(), settings,
                  [this](CallerEvent &&event) { return pushCallerEvent(std::move(event)); },
                  memory),
          admin(adminThread.context(), settings.listenAddress, settings.adminPort, adminHandlers(),
                admin::maxAdminBodyBytes, memory),
          coreTimer(coreThread.context()), gossipTimer(gossipThread.context())
    {
        gossip.setPeers(gossipPeers(settings.peers));
    }

    /// A new request may be refused when the queue is full; later events must not be lost.
    bool pushCallerEvent(CallerEvent &&event)
    {
        if (std::holds_alternative<SubmittedRequest>(event))
            return coreQueue.push(std::move(event));
        coreQueue.pushOrWait(std::move(event));
        return true;
    }

    /// Waits for space when the queue is full: the consumer is far behind, and losing a message
    /// could lose a request.
    template <typename T>
    static void pushOrWait(EventLoopQueue<T> &queue, T item)
    {
        queue.pushOrWait(std::move(item));
    }

    /// @return true when no request is in progress and every answer was written to its caller
    bool isIdle()
    {
        return runOn(callerThread, [this] { return callers.isIdle(); })
               && runOn(coreThread, [this] { return core.isIdle(); });
    }

    // The outputs of the core never block: two threads that wait for each other would deadlock.

    /// Resets the link when the queue is full: an agent that misses a message can't continue on it.
    void sendOrReconnect(const ServerId &server, wire::LinkMessage &&message)
    {
        if (reconnecting.contains(server)
            || linksQueue.push(MessageToAgent{server, std::move(message)}))
            return;
        metrics.addOverflow("links");
        log.warning("The ring of the links is full; the link to an agent is closed.");
        reconnecting.insert(server);
        asio::post(linksThread.context(), [this, server] { links.reconnect(server); });
    }

    /// Disconnects the caller when the queue is full: an answer that misses a part is not whole.
    void replyOrDisconnect(CallerReply &&reply)
    {
        const RequestId request = std::visit([](const auto &part) { return part.request; }, reply);
        if (callerQueue.push(std::move(reply)))
            return;
        metrics.addOverflow("callers");
        log.warning("The ring of the callers is full; a caller is disconnected.");
        asio::post(callerThread.context(), [this, request] { callers.disconnect(request); });
    }

    /// When the queue is full, an OpenClaim is refused, and a claim to be ended stays until its
    /// clean-up.
    void claimOrRefuse(ClaimCommand &&command)
    {
        const auto *open = std::get_if<OpenClaim>(&command);
        const RequestId request = open ? open->request : 0;
        if (platformQueue.push(std::move(command)))
            return;
        metrics.addOverflow("platform");
        log.warning("The ring of the platform is full; a claim is not written.");
        if (!open)
            return;
        asio::post(coreThread.context(), [this, request] {
            core.handleOpenClaimReply({request, ClaimResult::Refused, ""}, Clock::now());
        });
    }

    void addAgent(const wire::AgentHello &hello, TimePoint now)
    {
        reconnecting.erase(hello.server);
        core.addAgent(hello, now);
    }

    void removeAgent(const ServerId &server, TimePoint now)
    {
        core.removeAgent(server, now);
        reconnecting.erase(server);
    }

    void closeQueues()
    {
        coreQueue.close();
        linksQueue.close();
        gossipQueue.close();
        platformQueue.close();
        callerQueue.close();
    }

    RouterCoreHooks coreHooks()
    {
        RouterCoreHooks hooks;
        hooks.sendToAgent = [this](const ServerId &server, wire::LinkMessage &&message) {
            sendOrReconnect(server, std::move(message));
        };
        hooks.replyToCaller = [this](CallerReply &&reply) { replyOrDisconnect(std::move(reply)); };
        hooks.sendClaimCommand
                = [this](ClaimCommand &&command) { claimOrRefuse(std::move(command)); };
        hooks.gossipQuarantine = [this](const wire::QuarantineNotice &notice) {
            if (!gossipQueue.push(notice))
                metrics.addOverflow("gossip");
        };
        return hooks;
    }

    CoordinatorHooks coordinatorHooks()
    {
        CoordinatorHooks hooks;
        hooks.send = [this](const RouterId &router, const wire::GossipMessage &message) {
            gossip.send(router, message);
        };
        hooks.applyRemoteService = [this](const decision::ServiceKey &key,
                                          const decision::RemoteService &remote, bool changed) {
            pushOrWait<CoreEvent>(coreQueue, RemoteServiceUpdate{key, remote, changed});
        };
        hooks.mergeQuarantine = [this](const wire::QuarantineNotice &notice) {
            pushOrWait<CoreEvent>(coreQueue, notice);
        };
        hooks.publishStamp = [this](const wire::ConfigurationStamp &stamp, TimePoint createdAt) {
            // A lost stamp is replaced by the next one.
            if (!linksQueue.push(StampUpdate{stamp, createdAt}))
                metrics.addOverflow("links");
        };
        hooks.fetchConfiguration = [this](const RouterId &router, bool proven) {
            asio::post(platformThread.context(),
                       [this, router, proven] { platform.fetchFromPeer(router, proven); });
        };
        hooks.setWatchEnabled = [this](bool watch) {
            asio::post(platformThread.context(),
                       [this, watch] { platform.setWatchEnabled(watch); });
        };
        return hooks;
    }

    AgentLinksHooks linksHooks()
    {
        AgentLinksHooks hooks;
        hooks.linkUp = [this](wire::AgentHello &&hello) {
            pushOrWait<CoreEvent>(coreQueue, std::move(hello));
            pushOrWait<GossipEvent>(gossipQueue, LinkedServers{links.linkedServers()});
        };
        hooks.linkDown = [this](const ServerId &server) {
            pushOrWait<CoreEvent>(coreQueue, AgentDisconnected{server});
            pushOrWait<GossipEvent>(gossipQueue, LinkedServers{links.linkedServers()});
        };
        hooks.messageReceived = [this](const ServerId &server, wire::LinkMessage &&message) {
            if (const auto *heartbeat = std::get_if<wire::AgentHeartbeat>(&message))
                pushOrWait<GossipEvent>(gossipQueue, AgentStamp{heartbeat->stamp});
            pushOrWait<CoreEvent>(coreQueue, MessageFromAgent{server, std::move(message)});
        };
        hooks.controlBytesSent
                = [this](std::size_t bytes) { metrics.addControlBytes("link", bytes); };
        return hooks;
    }

    PlatformClientHooks platformHooks()
    {
        PlatformClientHooks hooks;
        hooks.configurationActivated
                = [this](ConfigurationPtr configuration, std::optional<TimePoint> provenAt) {
                      pushOrWait<CoreEvent>(coreQueue, configuration);
                      pushOrWait<CallerServerEvent>(callerQueue, configuration);
                      pushOrWait<LinksEvent>(linksQueue, configuration);
                      pushOrWait<GossipEvent>(
                              gossipQueue, RevisionActivated{configuration->revision(), provenAt});
                  };
        hooks.revisionProven = [this](Revision revision, TimePoint provenAt) {
            pushOrWait<GossipEvent>(gossipQueue, ConfigurationProof{revision, provenAt});
        };
        hooks.callFailed = [this] { pushOrWait<GossipEvent>(gossipQueue, PlatformCallFailed{}); };
        hooks.vmListRead = [this](const std::vector<store::Vm> &vms) {
            pushOrWait<LinksEvent>(linksQueue, vms);
            pushOrWait<GossipEvent>(gossipQueue, vms);
        };
        hooks.openClaimReplied = [this](OpenClaimReply &&reply) {
            pushOrWait<CoreEvent>(coreQueue, std::move(reply));
        };
        hooks.callMade = [this](const char *kind) { metrics.addPlatformCall(kind); };
        return hooks;
    }

    void onCoreEvent(CoreEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *caller = std::get_if<CallerEvent>(&event))
            core.handleCallerEvent(std::move(*caller), now);
        else if (auto *received = std::get_if<MessageFromAgent>(&event))
            core.handleAgentMessage(received->server, std::move(received->message), now);
        else if (auto *reply = std::get_if<OpenClaimReply>(&event))
            core.handleOpenClaimReply(*reply, now);
        else if (auto *hello = std::get_if<wire::AgentHello>(&event))
            addAgent(*hello, now);
        else if (auto *disconnected = std::get_if<AgentDisconnected>(&event))
            removeAgent(disconnected->server, now);
        else if (auto *configuration = std::get_if<ConfigurationPtr>(&event))
            core.setConfiguration(*configuration, now);
        else if (auto *total = std::get_if<RemoteServiceUpdate>(&event))
            core.applyRemoteService(total->key, total->remote, total->aggregatorChanged, now);
        else
            core.mergeQuarantine(std::get<wire::QuarantineNotice>(event), now);
    }

    void onLinksEvent(LinksEvent &event)
    {
        if (auto *send = std::get_if<MessageToAgent>(&event))
            links.send(send->server, send->message);
        else if (auto *stamp = std::get_if<StampUpdate>(&event))
            links.broadcastStamp(stamp->stamp, stamp->createdAt);
        else if (auto *configuration = std::get_if<ConfigurationPtr>(&event))
            links.setConfiguration(*configuration);
        else
            links.setAgents(std::get<std::vector<store::Vm>>(event));
    }

    void onGossipEvent(GossipEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *own = std::get_if<std::vector<decision::LocalServiceCounter>>(&event))
            coordinator.reportLocalService(*own, now);
        else if (auto *notice = std::get_if<wire::QuarantineNotice>(&event))
            coordinator.broadcastQuarantine({*notice}, now);
        else if (auto *agent = std::get_if<AgentStamp>(&event))
            coordinator.recordAgentStamp(agent->stamp, now);
        else if (auto *proof = std::get_if<ConfigurationProof>(&event))
            coordinator.recordProof(proof->revision, proof->provenAt, now);
        else if (std::holds_alternative<PlatformCallFailed>(event))
            coordinator.recordPlatformFailure();
        else if (auto *linked = std::get_if<LinkedServers>(&event))
            coordinator.setLinkedServers(std::move(linked->servers));
        else if (auto *activated = std::get_if<RevisionActivated>(&event))
            coordinator.setActiveRevision(activated->revision, activated->provenAt, now);
        else
            setVms(std::get<std::vector<store::Vm>>(event));
    }

    void setVms(const std::vector<store::Vm> &vms)
    {
        coordinator.setKnownVms(vms);
        if (isListed(settings.router, vms))
            gossip.setPeers(gossipPeers(vms));
    }

    void onPlatformEvent(PlatformEvent &event)
    {
        if (auto *claim = std::get_if<ClaimCommand>(&event))
            platform.executeClaim(std::move(*claim));
        else
            platform.offer(std::get<ConfigurationPtr>(std::move(event)));
    }

    void onCallerServerEvent(CallerServerEvent &event)
    {
        if (auto *reply = std::get_if<CallerReply>(&event))
            callers.reply(std::move(*reply));
        else
            callers.setConfiguration(std::get<ConfigurationPtr>(std::move(event)));
    }

    void tickCore()
    {
        coreTimer.expires_after(coreTickPeriod);
        coreTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.tick(Clock::now());
            sendLocalService();
            if (++coreTicks % ticksPerTrim == 0)
                memory->returnFreedMemory();
            tickCore();
        });
    }

    /// Passes a copy of all counters to the coordinator. The copy grows with the number of
    /// customers, so it isn't made in each tick.
    void sendLocalService()
    {
        const TimePoint now = Clock::now();
        if (settings.fairness != FairnessMode::Fleet
            || now - localServiceSentAt < localServicePeriod)
            return;
        localServiceSentAt = now;
        pushOrWait<GossipEvent>(gossipQueue, core.localService());
    }

    void tickGossip()
    {
        gossipTimer.expires_after(gossipTickPeriod);
        gossipTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            coordinator.tick(Clock::now());
            tickGossip();
        });
    }

    /// Runs a function on another thread and waits for its result.
    template <typename F>
    static auto runOn(EventLoopThread &thread, F function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(thread.context(), [&task] { task(); });
        return result.get();
    }

    std::map<std::string, admin::AdminHandler> adminHandlers()
    {
        using Request = admin::AdminRequest;
        using Response = admin::AdminResponse;
        return {{"/healthz",
                 [](const Request &) {
                     return Response{200, "{}"};
                 }},
                {"/readyz", [this](const Request &) { return handleReady(); }},
                {"/metrics", [this](const Request &) { return handleMetrics(); }},
                {"/v1/status", [this](const Request &) { return handleStatus(); }},
                {"/v1/burn", [this](const Request &) { return handleBurn(); }},
                {"/v1/configuration",
                 [this](const Request &request) { return handleConfiguration(request); }},
                {"PUT /v1/configuration",
                 [this](const Request &request) { return handleConfiguration(request); }}};
    }

    admin::AdminResponse handleReady()
    {
        const bool isReady = !draining && runOn(coreThread, [this] {
            return core.configuration() && core.configuration()->revision() > 0;
        });
        return {isReady ? 200U : 503U, "{}"};
    }

    admin::AdminResponse handleMetrics()
    {
        runOn(coreThread, [this] { metrics.update(core); });
        metrics.update(*memory);
        return {200, metrics.text(), "text/plain; version=0.0.4"};
    }

    admin::AdminResponse handleStatus()
    {
        return {200,
                runOn(coreThread, [this] { return statusText(settings, core, Clock::now()); })};
    }

    admin::AdminResponse handleBurn()
    {
        return {200, runOn(coreThread, [this] { return burnText(core, Clock::now()); })};
    }

    admin::AdminResponse handleConfiguration(const admin::AdminRequest &request)
    {
        if (request.method == "PUT") {
            const Result<Configuration> offered = decodeConfiguration(request.body);
            if (!offered)
                return {400, "{}"};
            pushOrWait<PlatformEvent>(platformQueue,
                                      std::make_shared<const Configuration>(offered.value()));
            return {200, "{}"};
        }
        const ConfigurationPtr current = runOn(coreThread, [this] { return core.configuration(); });
        if (!current)
            return {404, "{}"};
        return {200, encodeConfiguration(*current)};
    }

    RouterSettings settings;
    Incarnation incarnation;
    Log log{"router"};
    std::atomic<bool> draining = false;
    RouterMetrics metrics;
    std::shared_ptr<MemoryAccount> memory
            = std::make_shared<MemoryAccount>(settings.limits.memoryBytes);
    std::uint64_t coreTicks = 0;
    EventLoopThread coreThread{"router-core"};
    EventLoopThread linksThread{"router-links"};
    EventLoopThread gossipThread{"router-gossip"};
    EventLoopThread platformThread{"router-platform"};
    EventLoopThread callerThread{"router-callers"};
    EventLoopThread adminThread{"router-admin"};
    EventLoopQueue<CoreEvent> coreQueue;
    EventLoopQueue<LinksEvent> linksQueue;
    EventLoopQueue<GossipEvent> gossipQueue;
    EventLoopQueue<PlatformEvent> platformQueue;
    EventLoopQueue<CallerServerEvent> callerQueue;
    std::set<ServerId> reconnecting; ///< agents whose link is being closed; core thread only
    RouterCore core;
    Coordinator coordinator;
    AgentLinks links;
    wire::GossipSocket gossip;
    PlatformClient platform;
    CallerServer callers;
    admin::AdminServer admin;
    TimePoint localServiceSentAt{}; ///< when the counters were last sent to the coordinator
    asio::steady_timer coreTimer;
    asio::steady_timer gossipTimer;
};

Router::Router(const RouterSettings &settings) : m_impl(std::make_unique<Impl>(settings)) {}

Router::~Router() = default;

void Router::start()
{
    Impl &impl = *m_impl;
    impl.gossip.start();
    impl.platform.start();
    impl.callers.start();
    impl.tickCore();
    impl.tickGossip();
    Impl::pushOrWait<LinksEvent>(impl.linksQueue, impl.settings.agents);
    for (EventLoopThread *thread : {&impl.coreThread, &impl.linksThread, &impl.gossipThread,
                                    &impl.platformThread, &impl.callerThread, &impl.adminThread})
        thread->start();
    impl.log.info("Router " + impl.settings.router.text() + " started.");
}

void Router::stop()
{
    Impl &impl = *m_impl;
    impl.log.info("Graceful shutdown started.");
    impl.draining = true;
    Impl::runOn(impl.callerThread, [&] { impl.callers.startDraining(); });
    Impl::runOn(impl.gossipThread, [&] { impl.coordinator.leave(Clock::now()); });
    const TimePoint deadline = Clock::now() + impl.settings.drainTimeout;
    while (Clock::now() < deadline && !impl.isIdle())
        std::this_thread::sleep_for(drainPollPeriod);
    std::this_thread::sleep_for(shutdownFlushDelay);
    impl.closeQueues();
    for (EventLoopThread *thread : {&impl.adminThread, &impl.callerThread, &impl.linksThread,
                                    &impl.gossipThread, &impl.platformThread, &impl.coreThread})
        thread->stop();
    impl.log.info("Router stopped.");
}

} // namespace bilberry::router
