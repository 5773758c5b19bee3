#include "bilberry/agent/agent.h"

#include "bilberry/admin/adminserver.h"
#include "bilberry/agent/agentcore.h"
#include "bilberry/agent/backendclient.h"
#include "bilberry/agent/routerlinks.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/duty.h"
#include "bilberry/model/configurationcodec.h"

#include "agentmetrics.h"

#include <deque>
#include <future>
#include <set>

namespace bilberry::agent {

namespace asio = boost::asio;

namespace {

constexpr Duration tickPeriod = std::chrono::milliseconds(50);
constexpr Duration lastWordsDelay = std::chrono::milliseconds(200);

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

struct Agent::Parts
{
    explicit Parts(const AgentSettings &settings)
        : settings(settings),
          coreRing(coreDuty, settings.ringCapacity, [this](CoreEvent &&event) { handle(event); }),
          linkRing(linkDuty, settings.ringCapacity,
                   [this](LinkSend &&send) { links.send(send.link, send.message); }),
          backendRing(backendDuty, settings.ringCapacity,
                      [this](BackendCommand &&command) { backend.command(std::move(command)); }),
          core(settings, randomId(),
               {[this](decision::LinkId link, wire::LinkMessage &&message) {
                    sendOrDrop(link, std::move(message));
                },
                [this](BackendCommand &&command) {
                    unsentCommands.push_back(std::move(command));
                    sendCommands();
                }}),
          links(linkDuty.context(), settings.listenAddress, settings.listenPort,
                {[this](decision::LinkId link) { push<CoreEvent>(coreRing, LinkUp{link}); },
                 [this](decision::LinkId link) { push<CoreEvent>(coreRing, LinkDown{link}); },
                 [this](decision::LinkId link, wire::LinkMessage &&message) {
                     push<CoreEvent>(coreRing, LinkReceived{link, std::move(message)});
                 },
                 [this](std::size_t bytes) { metrics.addControlBytes(bytes); }}),
          backend(backendDuty.context(), settings,
                  [this](BackendEvent &&event) { push<CoreEvent>(coreRing, std::move(event)); }),
          admin(adminDuty.context(), settings.listenAddress, settings.adminPort, handlers()),
          tickTimer(coreDuty.context())
    {
    }

    /// A full ring means that the core is far behind. Losing a message could lose a request, so
    /// the producer waits for room. The core itself never waits, so that it always makes room.
    template <typename T>
    static void push(DutyRing<T> &ring, T item)
    {
        ring.pushOrWait(std::move(item));
    }

    /// On the core's thread. A router that misses a message can't go on with this link.
    void sendOrDrop(decision::LinkId link, wire::LinkMessage &&message)
    {
        if (dropped.contains(link) || linkRing.push({link, std::move(message)}))
            return;
        metrics.addOverflow();
        log.warning("The ring of the links is full; a router link is closed.");
        dropped.insert(link);
        asio::post(linkDuty.context(), [this, link] { links.drop(link); });
    }

    /// On the core's thread. What does not fit in stays here; running requests and their credit
    /// bound it.
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
            core.linkUp(up->link, now);
        else if (auto *down = std::get_if<LinkDown>(&event))
            linkDown(down->link, now);
        else if (auto *received = std::get_if<LinkReceived>(&event))
            core.received(received->link, std::move(received->message), now);
        else
            core.backend(std::get<BackendEvent>(std::move(event)), now);
    }

    void linkDown(decision::LinkId link, TimePoint now)
    {
        core.linkDown(link, now);
        dropped.erase(link);
    }

    void tick()
    {
        tickTimer.expires_after(tickPeriod);
        tickTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            core.tick(Clock::now());
            sendCommands();
            tick();
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

    /// @return true when nothing runs and all answers were sent
    bool idle()
    {
        return on(coreDuty, [this] { return core.idle(); })
               && on(linkDuty, [this] { return links.idle(); });
    }

    std::map<std::string, admin::AdminHandler> handlers()
    {
        return {{"/healthz",
                 [](const auto &) {
                     return admin::AdminResponse{200, "{}"};
                 }},
                {"/readyz", [this](const auto &) { return ready(); }},
                {"/metrics", [this](const auto &) { return metricsPage(); }},
                {"/v1/status", [this](const auto &) { return status(); }},
                {"/v1/configuration",
                 [this](const admin::AdminRequest &request) { return configuration(request); }},
                {"PUT /v1/configuration",
                 [this](const admin::AdminRequest &request) { return configuration(request); }}};
    }

    admin::AdminResponse ready()
    {
        const bool accepting = on(coreDuty, [this] { return core.load().accepting; });
        return {accepting ? 200U : 503U, "{}"};
    }

    admin::AdminResponse metricsPage()
    {
        on(coreDuty, [this] { metrics.update(core); });
        return {200, metrics.text(), "text/plain; version=0.0.4"};
    }

    admin::AdminResponse status()
    {
        return {200, on(coreDuty, [this] { return statusText(settings, core); })};
    }

    admin::AdminResponse configuration(const admin::AdminRequest &request)
    {
        if (request.method == "PUT") {
            const Result<Configuration> offered = decodeConfiguration(request.body);
            if (!offered)
                return {400, "{}"};
            on(coreDuty, [&] { core.offerConfiguration(offered.value(), Clock::now()); });
            return {200, "{}"};
        }
        const ConfigurationPtr present = on(coreDuty, [this] { return core.configuration(); });
        if (!present)
            return {404, "{}"};
        return {200, encodeConfiguration(*present)};
    }

    AgentSettings settings;
    Log log{"agent"};
    AgentMetrics metrics;
    Duty coreDuty{"agent-core"};
    Duty linkDuty{"agent-links"};
    Duty backendDuty{"agent-backend"};
    Duty adminDuty{"agent-admin"};
    DutyRing<CoreEvent> coreRing;
    DutyRing<LinkSend> linkRing;
    DutyRing<BackendCommand> backendRing;
    std::set<decision::LinkId> dropped; ///< links that are being closed
    std::deque<BackendCommand> unsentCommands;
    AgentCore core;
    RouterLinks links;
    BackendClient backend;
    admin::AdminServer admin;
    asio::steady_timer tickTimer;
};

Agent::Agent(const AgentSettings &settings) : m_parts(std::make_unique<Parts>(settings)) {}

Agent::~Agent() = default;

void Agent::start()
{
    m_parts->links.start();
    m_parts->backend.start();
    m_parts->tick();
    m_parts->coreDuty.start();
    m_parts->linkDuty.start();
    m_parts->backendDuty.start();
    m_parts->adminDuty.start();
    m_parts->log.info("Agent started for server " + m_parts->settings.server.text() + ".");
}

void Agent::stop()
{
    m_parts->log.info("Graceful shutdown started.");
    Parts::on(m_parts->coreDuty, [this] { m_parts->core.drain(Clock::now()); });
    const TimePoint deadline = Clock::now() + m_parts->settings.drainLimit;
    while (Clock::now() < deadline && !m_parts->idle())
        std::this_thread::sleep_for(tickPeriod);
    // The last answers may still be in the ring when the links have nothing to send.
    std::this_thread::sleep_for(lastWordsDelay);
    while (Clock::now() < deadline && !m_parts->idle())
        std::this_thread::sleep_for(tickPeriod);
    m_parts->closeRings();
    m_parts->adminDuty.stop();
    m_parts->linkDuty.stop();
    m_parts->backendDuty.stop();
    m_parts->coreDuty.stop();
    m_parts->log.info("Agent stopped.");
}

} // namespace bilberry::agent
