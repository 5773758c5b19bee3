#include "bilberry/agent/agent.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/agent/agentcore.h"
#include "bilberry/agent/backendclient.h"
#include "bilberry/agent/routerlinks.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"
#include "bilberry/model/configurationcodec.h"

#include "agentmetrics.h"

#include <deque>
#include <future>
#include <set>

namespace bilberry::agent {

namespace asio = boost::asio;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(50);
/// Ticks after which freed memory is returned to the system.
constexpr std::uint64_t ticksPerTrim = 20;
constexpr Duration finalAnswerDelay = std::chrono::milliseconds(200);

struct LinkUp
{
    decision::LinkId link = 0;
};
struct LinkDown
{
    decision::LinkId link = 0;
};
struct LinkReceived
{
    decision::LinkId link = 0;
    wire::LinkMessage message;
};
using CoreEvent = std::variant<LinkUp, LinkDown, LinkReceived, BackendEvent>;

struct LinkSend
{
    decision::LinkId link = 0;
    wire::LinkMessage message;
};

} // namespace

struct Agent::Impl
{
    explicit Impl(const AgentSettings &settings)
        : settings(settings),
          coreRing(coreDuty, settings.ringCapacity, [this](CoreEvent &&event) { handle(event); }),
          linkRing(linkDuty, settings.ringCapacity,
                   [this](LinkSend &&send) { links.send(send.link, send.message); }),
          backendRing(backendDuty, settings.ringCapacity,
                      [this](BackendCommand &&command) { backend.execute(std::move(command)); }),
          core(settings, randomId(),
               {[this](decision::LinkId link, wire::LinkMessage &&message) {
                    sendOrCloseLink(link, std::move(message));
                },
                [this](BackendCommand &&command) {
                    unsentCommands.push_back(std::move(command));
                    sendCommands();
                },
                [this](std::size_t bytes) { return holdRequest(bytes); },
                [this] { return memory->hasRoom(); }}),
          links(linkDuty.context(), settings.listenAddress, settings.listenPort, memory,
                {[this](decision::LinkId link) { push<CoreEvent>(coreRing, LinkUp{link}); },
                 [this](decision::LinkId link) { push<CoreEvent>(coreRing, LinkDown{link}); },
                 [this](decision::LinkId link, wire::LinkMessage &&message) {
                     push<CoreEvent>(coreRing, LinkReceived{link, std::move(message)});
                 },
                 [this](std::size_t bytes) { metrics.addControlBytes(bytes); }}),
          backend(
                  backendDuty.context(), settings,
                  [this](BackendEvent &&event) { push<CoreEvent>(coreRing, std::move(event)); },
                  memory),
          admin(adminDuty.context(), settings.listenAddress, settings.adminPort, adminHandlers(),
                admin::maxAdminBodyBytes, memory),
          tickTimer(coreDuty.context())
    {
    }

    /// @return what holds the memory of a request
    std::shared_ptr<void> holdRequest(std::size_t bytes)
    {
        // Routers take no request back, so that nobody can release it.
        auto holder = std::make_shared<MemoryHolder>(memory, nullptr, nullptr);
        holder->update(MemoryUse::Serving, bytes);
        return holder;
    }

    /// Waits for space when the ring is full, since a dropped message could lose a request. The
    /// core itself never waits for a ring, so that it always frees space.
    template <typename T>
    static void push(EventLoopQueue<T> &ring, T item)
    {
        ring.pushOrWait(std::move(item));
    }

    /// Runs on the core's thread. Closes the link when the ring is full, since a router that misses
    /// a message can't continue with this link.
    void sendOrCloseLink(decision::LinkId link, wire::LinkMessage &&message)
    {
        if (closingLinks.contains(link) || linkRing.push({link, std::move(message)}))
            return;
        metrics.addOverflow();
        log.warning("Ring of outgoing link messages is full; closing a router link.");
        closingLinks.insert(link);
        asio::post(linkDuty.context(), [this, link] { links.closeLink(link); });
    }

    /// Runs on the core's thread. Commands that don't fit in the ring stay queued; running requests
    /// and their credit bound their number.
    void sendCommands()
    {
        while (!unsentCommands.empty() && backendRing.push(std::move(unsentCommands.front())))
            unsentCommands.pop_front();
    }

    void closeRings()
    {
        coreRing.close();
        linkRing.close();
        backendRing.close();
    }

    void handle(CoreEvent &event)
    {
        const TimePoint now = Clock::now();
        if (auto *up = std::get_if<LinkUp>(&event))
            core.addLink(up->link, now);
        else if (auto *down = std::get_if<LinkDown>(&event))
            removeLink(down->link, now);
        else if (auto *received = std::get_if<LinkReceived>(&event))
            core.handleMessage(received->link, std::move(received->message), now);
        else
            core.handleBackendEvent(std::get<BackendEvent>(std::move(event)), now);
    }

    void removeLink(decision::LinkId link, TimePoint now)
    {
        core.removeLink(link, now);
        closingLinks.erase(link);
    }

    void tick()
    {
        tickTimer.expires_after(tickPeriod);
        tickTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.tick(Clock::now());
            sendCommands();
            if (++ticks % ticksPerTrim == 0)
                memory->returnFreedMemory();
            tick();
        });
    }

    /// Runs a function on a duty's thread and waits for its result.
    template <typename F>
    static auto runOn(EventLoopThread &duty, F function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(duty.context(), [&task] { task(); });
        return result.get();
    }

    /// @return true when no request is held or running and all queued messages are sent
    bool idle()
    {
        return runOn(coreDuty, [this] { return core.idle(); })
               && runOn(linkDuty, [this] { return links.allSent(); });
    }

    std::map<std::string, admin::AdminHandler> adminHandlers()
    {
        return {{"/healthz",
                 [](const auto &) {
                     return admin::AdminResponse{200, "{}"};
                 }},
                {"/readyz", [this](const auto &) { return readiness(); }},
                {"/metrics", [this](const auto &) { return metricsPage(); }},
                {"/v1/status", [this](const auto &) { return status(); }},
                {"/v1/configuration",
                 [this](const admin::AdminRequest &request) { return configuration(request); }},
                {"PUT /v1/configuration",
                 [this](const admin::AdminRequest &request) { return configuration(request); }}};
    }

    admin::AdminResponse readiness()
    {
        const bool accepting = runOn(coreDuty, [this] { return core.load().accepting; });
        return {accepting ? 200U : 503U, "{}"};
    }

    admin::AdminResponse metricsPage()
    {
        runOn(coreDuty, [this] { metrics.update(core); });
        metrics.update(*memory);
        return {200, metrics.text(), "text/plain; version=0.0.4"};
    }

    admin::AdminResponse status()
    {
        return {200, runOn(coreDuty, [this] { return statusJson(settings, core); })};
    }

    admin::AdminResponse configuration(const admin::AdminRequest &request)
    {
        if (request.method == "PUT") {
            const Result<Configuration> offered = decodeConfiguration(request.body);
            if (!offered)
                return {400, "{}"};
            // Routers check a configuration with the platform before they distribute it. An agent
            // can't, and accepts one from an operator only while no router is linked.
            runOn(coreDuty, [&] {
                if (!core.hasRouterLink())
                    core.applyConfiguration(offered.value(), Clock::now());
            });
            return {200, "{}"};
        }
        const ConfigurationPtr current = runOn(coreDuty, [this] { return core.configuration(); });
        if (!current)
            return {404, "{}"};
        return {200, encodeConfiguration(*current)};
    }

    AgentSettings settings;
    Log log{"agent"};
    AgentMetrics metrics;
    std::shared_ptr<MemoryAccount> memory
            = std::make_shared<MemoryAccount>(settings.limits.memoryBytes);
    std::uint64_t ticks = 0;
    EventLoopThread coreDuty{"agent-core"};
    EventLoopThread linkDuty{"agent-links"};
    EventLoopThread backendDuty{"agent-backend"};
    EventLoopThread adminDuty{"agent-admin"};
    EventLoopQueue<CoreEvent> coreRing;
    EventLoopQueue<LinkSend> linkRing;
    EventLoopQueue<BackendCommand> backendRing;
    std::set<decision::LinkId> closingLinks; ///< messages to these are dropped
    std::deque<BackendCommand> unsentCommands;
    AgentCore core;
    RouterLinks links;
    BackendClient backend;
    admin::AdminServer admin;
    asio::steady_timer tickTimer;
};

Agent::Agent(const AgentSettings &settings) : m_impl(std::make_unique<Impl>(settings)) {}

Agent::~Agent() = default;

void Agent::start()
{
    m_impl->links.start();
    m_impl->backend.start();
    m_impl->tick();
    m_impl->coreDuty.start();
    m_impl->linkDuty.start();
    m_impl->backendDuty.start();
    m_impl->adminDuty.start();
    m_impl->log.info("Agent started for server " + m_impl->settings.server.text() + ".");
}

void Agent::stop()
{
    m_impl->log.info("Graceful shutdown started.");
    Impl::runOn(m_impl->coreDuty, [this] { m_impl->core.drain(Clock::now()); });
    const TimePoint deadline = Clock::now() + m_impl->settings.drainLimit;
    while (Clock::now() < deadline && !m_impl->idle())
        std::this_thread::sleep_for(tickPeriod);
    // The last answers may still be in the ring while the links have nothing to send.
    std::this_thread::sleep_for(finalAnswerDelay);
    while (Clock::now() < deadline && !m_impl->idle())
        std::this_thread::sleep_for(tickPeriod);
    m_impl->closeRings();
    m_impl->adminDuty.stop();
    m_impl->linkDuty.stop();
    m_impl->backendDuty.stop();
    m_impl->coreDuty.stop();
    m_impl->log.info("Agent stopped.");
}

} // namespace bilberry::agent
