#include "bilberry/router/router.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/duty.h"
#include "bilberry/model/configurationcodec.h"
#include "bilberry/router/agentlinks.h"
#include "bilberry/router/callerserver.h"
#include "bilberry/router/coordinator.h"
#include "bilberry/router/platformduty.h"
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

constexpr Duration coreTick = std::chrono::milliseconds(20);
/// Half of the shortest time between two reports.
constexpr Duration ownServicePeriod = std::chrono::milliseconds(50);
constexpr Duration gossipTick = std::chrono::milliseconds(50);
constexpr Duration lastWordsDelay = std::chrono::milliseconds(200);
constexpr Duration drainPoll = std::chrono::milliseconds(50);

decision::RandomIndexHook makeRandom()
{
    return [engine = std::mt19937_64(randomId())](std::size_t bound) mutable {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine);
    };
}

/// @return the routers of the list with their UDP ports
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

struct Router::Parts
{
    explicit Parts(const RouterSettings &settings)
        : settings(settings), incarnation(randomId()),
          coreRing(coreDuty, settings.ringCapacity,
                   [this](CoreEvent &&event) { onCoreEvent(event); }),
          linksRing(linksDuty, settings.ringCapacity,
                    [this](LinksEvent &&event) { onLinksEvent(event); }),
          gossipRing(gossipDuty, settings.ringCapacity,
                     [this](GossipEvent &&event) { onGossipEvent(event); }),
          platformRing(platformDuty, settings.ringCapacity,
                       [this](PlatformEvent &&event) { onPlatformEvent(event); }),
          callerRing(callerDuty, settings.ringCapacity,
                     [this](ServerEvent &&event) { onServerEvent(event); }),
          core(settings, incarnation, coreHooks(), makeRandom()),
          coordinator(settings, incarnation, coordinatorHooks()),
          links(linksDuty.context(),
                {settings.router, incarnation, settings.zone, wire::ConfigurationStamp{}},
                linksHooks()),
          gossip(
                  gossipDuty.context(), settings.listenAddress, settings.gossipPort,
                  [this](wire::GossipMessage &&message) {
                      coordinator.received(message, Clock::now());
                  },
                  [this](std::size_t bytes) { metrics.addControlBytes("gossip", bytes); }),
          platform(platformDuty.context(), settings, platformHooks()),
          callers(callerDuty.context(), settings,
                  [this](CallerEvent &&event) { return callerEvent(std::move(event)); }),
          admin(adminDuty.context(), settings.listenAddress, settings.adminPort, handlers()),
          coreTimer(coreDuty.context()), gossipTimer(gossipDuty.context())
    {
        gossip.setPeers(gossipPeers(settings.peers));
    }

    /// A new request may be refused; what follows it must not get lost.
    bool callerEvent(CallerEvent &&event)
    {
        if (std::holds_alternative<Submit>(event))
            return coreRing.push(std::move(event));
        coreRing.pushOrWait(std::move(event));
        return true;
    }

    /// A full ring means that a duty is far behind. Losing a message could lose a request, so the
    /// producer waits for room.
    template <typename T>
    static void push(DutyRing<T> &ring, T item)
    {
        ring.pushOrWait(std::move(item));
    }

    /// @return true when no request is left, and every answer was written to its caller
    bool idle()
    {
        return on(callerDuty, [this] { return callers.idle(); })
               && on(coreDuty, [this] { return core.idle(); });
    }

    // The outputs of the core never wait: two duties that wait for each other would stand for ever.

    /// An agent that misses a message can't go on with this link.
    void sendOrDrop(const ServerId &server, wire::LinkMessage &&message)
    {
        if (dropped.contains(server) || linksRing.push(AgentSend{server, std::move(message)}))
            return;
        metrics.addOverflow("links");
        log.warning("The ring of the links is full; the link to an agent is closed.");
        dropped.insert(server);
        asio::post(linksDuty.context(), [this, server] { links.drop(server); });
    }

    /// A caller that misses a part can't get the whole answer.
    void replyOrCutOff(CallerReply &&reply)
    {
        const RequestId request = std::visit([](const auto &part) { return part.request; }, reply);
        if (callerRing.push(std::move(reply)))
            return;
        metrics.addOverflow("callers");
        log.warning("The ring of the callers is full; a caller is cut off.");
        asio::post(callerDuty.context(), [this, request] { callers.cutOff(request); });
    }

    /// A claim that is not asked for is refused; one that is not ended stays until its clean-up.
    void claimOrRefuse(ClaimCommand &&command)
    {
        const auto *open = std::get_if<OpenClaim>(&command);
        const RequestId request = open ? open->request : 0;
        if (platformRing.push(std::move(command)))
            return;
        metrics.addOverflow("platform");
        log.warning("The ring of the platform is full; a claim is not written.");
        if (!open)
            return;
        asio::post(coreDuty.context(), [this, request] {
            core.claimOpened({request, ClaimResult::Refused, ""}, Clock::now());
        });
    }

    void agentUp(const wire::AgentHello &hello, TimePoint now)
    {
        dropped.erase(hello.server);
        core.agentUp(hello, now);
    }

    void agentDown(const ServerId &server, TimePoint now)
    {
        core.agentDown(server, now);
        dropped.erase(server);
    }

    void closeRings()
    {
        coreRing.close();
        linksRing.close();
        gossipRing.close();
        platformRing.close();
        callerRing.close();
    }

    RouterHooks coreHooks()
    {
        RouterHooks hooks;
        hooks.send = [this](const ServerId &server, wire::LinkMessage &&message) {
            sendOrDrop(server, std::move(message));
        };
        hooks.reply = [this](CallerReply &&reply) { replyOrCutOff(std::move(reply)); };
        hooks.claim = [this](ClaimCommand &&command) { claimOrRefuse(std::move(command)); };
        hooks.quarantined = [this](const wire::QuarantineNotice &notice) {
            if (!gossipRing.push(notice))
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
        hooks.remoteService = [this](const decision::ServiceKey &key,
                                     const decision::RemoteService &remote, bool changed) {
            push<CoreEvent>(coreRing, RemoteTotal{key, remote, changed});
        };
        hooks.quarantine = [this](const wire::QuarantineNotice &notice) {
            push<CoreEvent>(coreRing, notice);
        };
        hooks.stamp = [this](const wire::ConfigurationStamp &stamp, TimePoint madeAt) {
            // A lost stamp is followed by the next one.
            if (!linksRing.push(Stamp{stamp, madeAt}))
                metrics.addOverflow("links");
        };
        hooks.fetchConfiguration = [this](const RouterId &router, bool proven) {
            asio::post(platformDuty.context(),
                       [this, router, proven] { platform.fetchFrom(router, proven); });
        };
        hooks.watch = [this](bool watch) {
            asio::post(platformDuty.context(), [this, watch] { platform.setWatch(watch); });
        };
        return hooks;
    }

    AgentLinksHooks linksHooks()
    {
        AgentLinksHooks hooks;
        hooks.up = [this](wire::AgentHello &&hello) {
            push<CoreEvent>(coreRing, std::move(hello));
            push<GossipEvent>(gossipRing, LinkedServers{links.linked()});
        };
        hooks.down = [this](const ServerId &server) {
            push<CoreEvent>(coreRing, AgentDown{server});
            push<GossipEvent>(gossipRing, LinkedServers{links.linked()});
        };
        hooks.received = [this](const ServerId &server, wire::LinkMessage &&message) {
            if (const auto *heartbeat = std::get_if<wire::AgentHeartbeat>(&message))
                push<GossipEvent>(gossipRing, AgentStamp{heartbeat->stamp});
            push<CoreEvent>(coreRing, AgentReceived{server, std::move(message)});
        };
        hooks.controlSent = [this](std::size_t bytes) { metrics.addControlBytes("link", bytes); };
        return hooks;
    }

    PlatformDutyHooks platformHooks()
    {
        PlatformDutyHooks hooks;
        hooks.configuration
                = [this](ConfigurationPtr configuration, std::optional<TimePoint> provenAt) {
                      push<CoreEvent>(coreRing, configuration);
                      push<ServerEvent>(callerRing, configuration);
                      push<LinksEvent>(linksRing, configuration);
                      push<GossipEvent>(gossipRing, InForce{configuration->revision(), provenAt});
                  };
        hooks.proof = [this](Revision revision, TimePoint at) {
            push<GossipEvent>(gossipRing, Proof{revision, at});
        };
        hooks.failed = [this] { push<GossipEvent>(gossipRing, PlatformFailed{}); };
        hooks.vms = [this](const std::vector<store::Vm> &vms) {
            push<LinksEvent>(linksRing, vms);
            push<GossipEvent>(gossipRing, vms);
        };
        hooks.claimOpened
                = [this](ClaimOpened &&opened) { push<CoreEvent>(coreRing, std::move(opened)); };
        hooks.called = [this](const char *kind) { metrics.addPlatformCall(kind); };
        return hooks;
    }

    void onCoreEvent(CoreEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *caller = std::get_if<CallerEvent>(&event))
            core.caller(std::move(*caller), now);
        else if (auto *received = std::get_if<AgentReceived>(&event))
            core.received(received->server, std::move(received->message), now);
        else if (auto *opened = std::get_if<ClaimOpened>(&event))
            core.claimOpened(*opened, now);
        else if (auto *hello = std::get_if<wire::AgentHello>(&event))
            agentUp(*hello, now);
        else if (auto *down = std::get_if<AgentDown>(&event))
            agentDown(down->server, now);
        else if (auto *configuration = std::get_if<ConfigurationPtr>(&event))
            core.setConfiguration(*configuration, now);
        else if (auto *total = std::get_if<RemoteTotal>(&event))
            core.applyRemote(total->key, total->remote, total->aggregatorChanged, now);
        else
            core.mergeQuarantine(std::get<wire::QuarantineNotice>(event), now);
    }

    void onLinksEvent(LinksEvent &event)
    {
        if (auto *send = std::get_if<AgentSend>(&event))
            links.send(send->server, send->message);
        else if (auto *stamp = std::get_if<Stamp>(&event))
            links.setStamp(stamp->stamp, stamp->madeAt);
        else if (auto *configuration = std::get_if<ConfigurationPtr>(&event))
            links.setConfiguration(*configuration);
        else
            links.setAgents(std::get<std::vector<store::Vm>>(event));
    }

    void onGossipEvent(GossipEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *own = std::get_if<std::vector<decision::LocalServiceCounter>>(&event))
            coordinator.setOwnService(*own, now);
        else if (auto *notice = std::get_if<wire::QuarantineNotice>(&event))
            coordinator.spreadQuarantine({*notice}, now);
        else if (auto *agent = std::get_if<AgentStamp>(&event))
            coordinator.agentStamp(agent->stamp, now);
        else if (auto *proof = std::get_if<Proof>(&event))
            coordinator.proof(proof->revision, proof->at, now);
        else if (std::holds_alternative<PlatformFailed>(event))
            coordinator.platformFailed();
        else if (auto *linked = std::get_if<LinkedServers>(&event))
            coordinator.setLinkedServers(std::move(linked->servers));
        else if (auto *inForce = std::get_if<InForce>(&event))
            coordinator.inForce(inForce->revision, inForce->provenAt, now);
        else
            setVms(std::get<std::vector<store::Vm>>(event));
    }

    void setVms(const std::vector<store::Vm> &vms)
    {
        coordinator.setKnown(vms);
        gossip.setPeers(gossipPeers(vms));
    }

    void onPlatformEvent(PlatformEvent &event)
    {
        if (auto *claim = std::get_if<ClaimCommand>(&event))
            platform.claim(std::move(*claim));
        else
            platform.offer(std::get<ConfigurationPtr>(std::move(event)));
    }

    void onServerEvent(ServerEvent &event)
    {
        if (auto *reply = std::get_if<CallerReply>(&event))
            callers.reply(std::move(*reply));
        else
            callers.setConfiguration(std::get<ConfigurationPtr>(std::move(event)));
    }

    void tickCore()
    {
        coreTimer.expires_after(coreTick);
        coreTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.tick(Clock::now());
            shareOwnService();
            tickCore();
        });
    }

    /// The copy of all counters grows with the customers, so it isn't made each tick.
    void shareOwnService()
    {
        const TimePoint now = Clock::now();
        if (settings.fairness != FairnessMode::Fleet || now - ownSharedAt < ownServicePeriod)
            return;
        ownSharedAt = now;
        push<GossipEvent>(gossipRing, core.ownService());
    }

    void tickGossip()
    {
        gossipTimer.expires_after(gossipTick);
        gossipTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            coordinator.tick(Clock::now());
            tickGossip();
        });
    }

    /// Runs a function on a duty's thread and waits for its result.
    template <typename F>
    static auto on(Duty &duty, F function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(duty.context(), [&task] { task(); });
        return result.get();
    }

    std::map<std::string, admin::AdminHandler> handlers()
    {
        using Request = admin::AdminRequest;
        using Response = admin::AdminResponse;
        return {{"/healthz",
                 [](const Request &) {
                     return Response{200, "{}"};
                 }},
                {"/readyz", [this](const Request &) { return ready(); }},
                {"/metrics", [this](const Request &) { return metricsPage(); }},
                {"/v1/status", [this](const Request &) { return status(); }},
                {"/v1/burn", [this](const Request &) { return burn(); }},
                {"/v1/configuration",
                 [this](const Request &request) { return configuration(request); }},
                {"PUT /v1/configuration",
                 [this](const Request &request) { return configuration(request); }}};
    }

    admin::AdminResponse ready()
    {
        const bool isReady = !draining && on(coreDuty, [this] {
            return core.configuration() && core.configuration()->revision() > 0;
        });
        return {isReady ? 200U : 503U, "{}"};
    }

    admin::AdminResponse metricsPage()
    {
        on(coreDuty, [this] { metrics.update(core); });
        return {200, metrics.text(), "text/plain; version=0.0.4"};
    }

    admin::AdminResponse status()
    {
        return {200, on(coreDuty, [this] { return statusText(settings, core, Clock::now()); })};
    }

    admin::AdminResponse burn()
    {
        return {200, on(coreDuty, [this] { return burnText(core, Clock::now()); })};
    }

    admin::AdminResponse configuration(const admin::AdminRequest &request)
    {
        if (request.method == "PUT") {
            const Result<Configuration> offered = decodeConfiguration(request.body);
            if (!offered)
                return {400, "{}"};
            push<PlatformEvent>(platformRing,
                                std::make_shared<const Configuration>(offered.value()));
            return {200, "{}"};
        }
        const ConfigurationPtr present = on(coreDuty, [this] { return core.configuration(); });
        if (!present)
            return {404, "{}"};
        return {200, encodeConfiguration(*present)};
    }

    RouterSettings settings;
    Incarnation incarnation;
    Log log{"router"};
    std::atomic<bool> draining = false;
    RouterMetrics metrics;
    Duty coreDuty{"router-core"};
    Duty linksDuty{"router-links"};
    Duty gossipDuty{"router-gossip"};
    Duty platformDuty{"router-platform"};
    Duty callerDuty{"router-callers"};
    Duty adminDuty{"router-admin"};
    DutyRing<CoreEvent> coreRing;
    DutyRing<LinksEvent> linksRing;
    DutyRing<GossipEvent> gossipRing;
    DutyRing<PlatformEvent> platformRing;
    DutyRing<ServerEvent> callerRing;
    std::set<ServerId> dropped; ///< links that are being closed; of the core's thread
    RouterCore core;
    Coordinator coordinator;
    AgentLinks links;
    wire::GossipSocket gossip;
    PlatformDuty platform;
    CallerServer callers;
    admin::AdminServer admin;
    TimePoint ownSharedAt{}; ///< when the counters last went to the coordinator
    asio::steady_timer coreTimer;
    asio::steady_timer gossipTimer;
};

Router::Router(const RouterSettings &settings) : m_parts(std::make_unique<Parts>(settings)) {}

Router::~Router() = default;

void Router::start()
{
    Parts &parts = *m_parts;
    parts.gossip.start();
    parts.platform.start();
    parts.callers.start();
    parts.tickCore();
    parts.tickGossip();
    Parts::push<LinksEvent>(parts.linksRing, parts.settings.agents);
    for (Duty *duty : {&parts.coreDuty, &parts.linksDuty, &parts.gossipDuty, &parts.platformDuty,
                       &parts.callerDuty, &parts.adminDuty})
        duty->start();
    parts.log.info("Router " + parts.settings.router.text() + " started.");
}

void Router::stop()
{
    Parts &parts = *m_parts;
    parts.log.info("Graceful shutdown started.");
    parts.draining = true;
    Parts::on(parts.callerDuty, [&] { parts.callers.drain(); });
    Parts::on(parts.gossipDuty, [&] { parts.coordinator.leave(Clock::now()); });
    const TimePoint deadline = Clock::now() + parts.settings.drainLimit;
    while (Clock::now() < deadline && !parts.idle())
        std::this_thread::sleep_for(drainPoll);
    std::this_thread::sleep_for(lastWordsDelay);
    parts.closeRings();
    for (Duty *duty : {&parts.adminDuty, &parts.callerDuty, &parts.linksDuty, &parts.gossipDuty,
                       &parts.platformDuty, &parts.coreDuty})
        duty->stop();
    parts.log.info("Router stopped.");
}

} // namespace bilberry::router
