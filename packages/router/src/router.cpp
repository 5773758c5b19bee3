#include "bilberry/router/router.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/duty.h"
#include "bilberry/model/configurationcodec.h"
#include "bilberry/router/agentlinks.h"
#include "bilberry/router/callerserver.h"
#include "bilberry/router/coordinator.h"
#include "bilberry/router/gossipsocket.h"
#include "bilberry/router/platformduty.h"
#include "bilberry/router/routercore.h"

#include "routermetrics.h"

#include <atomic>
#include <future>
#include <random>

namespace bilberry::router {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ringCapacity = 65536;
constexpr Duration coreTick = std::chrono::milliseconds(20);
/// Half of the shortest time between two reports.
constexpr Duration ownServicePeriod = std::chrono::milliseconds(50);
constexpr Duration gossipTick = std::chrono::milliseconds(50);
constexpr Duration lastWordsDelay = std::chrono::milliseconds(200);
constexpr Duration drainPoll = std::chrono::milliseconds(50);

struct AgentDown
{
    ServerId server;
};
struct AgentReceived
{
    ServerId server;
    wire::LinkMessage message;
};
struct RemoteTotal
{
    decision::ServiceKey key;
    decision::RemoteService remote;
    bool aggregatorChanged = false;
};
using CoreEvent = std::variant<CallerEvent, ClaimOpened, wire::AgentHello, AgentDown, AgentReceived,
                               ConfigurationPtr, RemoteTotal, wire::QuarantineNotice>;

struct AgentSend
{
    ServerId server;
    wire::LinkMessage message;
};
struct Stamp
{
    wire::ConfigurationStamp stamp;
    TimePoint madeAt;
};
using LinksEvent = std::variant<AgentSend, Stamp, ConfigurationPtr, std::vector<platform::Vm>>;

struct Proof
{
    Revision revision = 0;
    TimePoint at;
};
struct PlatformFailed
{
};
struct LinkedServers
{
    std::vector<ServerId> servers;
};
struct InForce
{
    Revision revision = 0;
};
using GossipEvent = std::variant<std::vector<decision::OwnService>, wire::QuarantineNotice, Proof,
                                 PlatformFailed, LinkedServers, InForce, std::vector<platform::Vm>>;

struct FetchFrom
{
    RouterId router;
};
struct Watch
{
    bool watch = true;
};
using PlatformEvent = std::variant<ClaimCommand, FetchFrom, Watch, ConfigurationPtr>;

using ServerEvent = std::variant<CallerReply, ConfigurationPtr>;

decision::RandomHook makeRandom()
{
    return [engine = std::mt19937_64(randomId())](std::size_t bound) mutable {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(engine);
    };
}

} // namespace

struct Router::Parts
{
    explicit Parts(const RouterSettings &settings)
        : settings(settings), incarnation(randomId()),
          coreRing(coreDuty, ringCapacity, [this](CoreEvent &&event) { onCoreEvent(event); }),
          linksRing(linksDuty, ringCapacity, [this](LinksEvent &&event) { onLinksEvent(event); }),
          gossipRing(gossipDuty, ringCapacity,
                     [this](GossipEvent &&event) { onGossipEvent(event); }),
          platformRing(platformDuty, ringCapacity,
                       [this](PlatformEvent &&event) { onPlatformEvent(event); }),
          callerRing(callerDuty, ringCapacity,
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
                  [this](CallerEvent &&event) { return coreRing.push(std::move(event)); }),
          admin(adminDuty.context(), settings.listenAddress, settings.adminPort, handlers()),
          coreTimer(coreDuty.context()), gossipTimer(gossipDuty.context())
    {
        gossip.setPeers(settings.peers);
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
            push<LinksEvent>(linksRing, AgentSend{server, std::move(message)});
        };
        hooks.reply
                = [this](CallerReply &&reply) { push<ServerEvent>(callerRing, std::move(reply)); };
        hooks.claim = [this](ClaimCommand &&command) {
            push<PlatformEvent>(platformRing, std::move(command));
        };
        hooks.quarantined = [this](const wire::QuarantineNotice &notice) {
            push<GossipEvent>(gossipRing, notice);
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
            push<LinksEvent>(linksRing, Stamp{stamp, madeAt});
        };
        hooks.fetchConfiguration = [this](const RouterId &router) {
            push<PlatformEvent>(platformRing, FetchFrom{router});
        };
        hooks.watch = [this](bool watch) { push<PlatformEvent>(platformRing, Watch{watch}); };
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
            push<CoreEvent>(coreRing, AgentReceived{server, std::move(message)});
        };
        hooks.controlSent = [this](std::size_t bytes) { metrics.addControlBytes("link", bytes); };
        return hooks;
    }

    PlatformDutyHooks platformHooks()
    {
        PlatformDutyHooks hooks;
        hooks.configuration = [this](ConfigurationPtr configuration) {
            push<CoreEvent>(coreRing, configuration);
            push<ServerEvent>(callerRing, configuration);
            push<LinksEvent>(linksRing, configuration);
            push<GossipEvent>(gossipRing, InForce{configuration->revision()});
        };
        hooks.proof = [this](Revision revision, TimePoint at) {
            push<GossipEvent>(gossipRing, Proof{revision, at});
        };
        hooks.failed = [this] { push<GossipEvent>(gossipRing, PlatformFailed{}); };
        hooks.vms = [this](const std::vector<platform::Vm> &vms) {
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
            core.agentUp(*hello, now);
        else if (auto *down = std::get_if<AgentDown>(&event))
            core.agentDown(down->server, now);
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
            links.setAgents(std::get<std::vector<platform::Vm>>(event));
    }

    void onGossipEvent(GossipEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *own = std::get_if<std::vector<decision::OwnService>>(&event))
            coordinator.setOwnService(*own, now);
        else if (auto *notice = std::get_if<wire::QuarantineNotice>(&event))
            coordinator.spreadQuarantine({*notice}, now);
        else if (auto *proof = std::get_if<Proof>(&event))
            coordinator.proof(proof->revision, proof->at, now);
        else if (std::holds_alternative<PlatformFailed>(event))
            coordinator.platformFailed();
        else if (auto *linked = std::get_if<LinkedServers>(&event))
            coordinator.setLinkedServers(std::move(linked->servers));
        else if (auto *inForce = std::get_if<InForce>(&event))
            coordinator.inForce(inForce->revision, now);
        else
            setVms(std::get<std::vector<platform::Vm>>(event));
    }

    void setVms(const std::vector<platform::Vm> &vms)
    {
        coordinator.setKnown(vms);
        gossip.setPeers(vms);
    }

    void onPlatformEvent(PlatformEvent &event)
    {
        if (auto *claim = std::get_if<ClaimCommand>(&event))
            platform.claim(std::move(*claim));
        else if (auto *fetch = std::get_if<FetchFrom>(&event))
            platform.fetchFrom(fetch->router);
        else if (auto *watch = std::get_if<Watch>(&event))
            platform.setWatch(watch->watch);
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
    RouterCore core;
    Coordinator coordinator;
    AgentLinks links;
    GossipSocket gossip;
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
