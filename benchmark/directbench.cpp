// Measures the processor time of a direct router's event loop per streamed event, per request, per
// refusal on a new connection, and for the reports of other routers.

#include "benchmarkoptions.h"

#include "support/fleet.h"
#include "support/inprocessrouter.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"
#include "bilberry/base/log.h"
#include "bilberry/wire/gossipsocket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Size of the largest fleet that the users plan: its servers, and the routers besides this one.
constexpr int serverCount = 46;
constexpr int peerCount = 24;
constexpr int reportsPerPeerPerSecond = 5;
constexpr int eventsPerStream = 20;
constexpr auto eventInterval = 5ms;

const std::string streamedEvent = "id: 1\ndata: " + std::string(48, 'x') + "\n\n";

/// Answers each request with a stream of events.
class StreamServer
{
public:
    StreamServer()
        : m_acceptor(m_eventLoop.context(), tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(m_eventLoop.context(), accept(), asio::detached);
        m_eventLoop.start();
    }
    ~StreamServer() { m_eventLoop.stop(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(m_eventLoop.context(), serve(std::move(socket)), asio::detached);
        }
    }

    static asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string input;
        asio::steady_timer timer(socket.get_executor());
        const std::string head = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                 "Bilberry-Signature: sig\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", streamedEvent.size());
        const std::string chunk = size + streamedEvent + "\r\n";
        const std::string end = "0\r\n\r\n";
        for (;;) {
            const std::size_t length = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
            input.erase(0, length);
            co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
            for (int i = 0; i < eventsPerStream; ++i) {
                timer.expires_after(eventInterval);
                co_await timer.async_wait(asio::use_awaitable);
                co_await asio::async_write(socket, asio::buffer(chunk), asio::use_awaitable);
            }
            co_await asio::async_write(socket, asio::buffer(end), asio::use_awaitable);
        }
    }

    EventLoopThread m_eventLoop{"servers"};
    tcp::acceptor m_acceptor;
};

/// Callers that send one request after the other, each on a new connection.
class Callers
{
public:
    Callers(std::uint16_t port, std::string request, int count)
        : m_port(port), m_request(std::move(request))
    {
        for (int i = 0; i < count; ++i)
            asio::co_spawn(m_eventLoop.context(), sendRequests(), asio::detached);
        m_eventLoop.start();
    }
    ~Callers() { m_eventLoop.stop(); }

    std::uint64_t answerCount() const { return m_answerCount; }

private:
    asio::awaitable<void> sendRequests()
    {
        for (;;) {
            tcp::socket socket(m_eventLoop.context());
            co_await socket.async_connect({asio::ip::address_v4::loopback(), m_port},
                                          asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(m_request), asio::use_awaitable);
            std::array<char, 4096> input{};
            for (;;) {
                std::size_t size = 0;
                boost::system::error_code error;
                size = co_await socket.async_read_some(
                        asio::buffer(input), asio::redirect_error(asio::use_awaitable, error));
                if (error || size == 0)
                    break;
            }
            ++m_answerCount;
        }
    }

    EventLoopThread m_eventLoop{"callers"};
    std::uint16_t m_port;
    std::string m_request;
    std::atomic<std::uint64_t> m_answerCount = 0;
};

/// Sends the reports of other routers; each reports one request in flight at each server.
class PeerRouters
{
public:
    explicit PeerRouters(const direct::Endpoint &router)
        : m_socket(
                m_eventLoop.context(), "127.0.0.1", freePort(), [](wire::GossipMessage &&) {},
                [](std::size_t) {}),
          m_timer(m_eventLoop.context())
    {
        m_socket.setPeers({{RouterId("router"), router.address, router.port}});
        sendReport();
        m_eventLoop.start();
    }
    ~PeerRouters() { m_eventLoop.stop(); }

private:
    void sendReport()
    {
        wire::DirectRouterReport report;
        report.sender
                = {RouterId("peer-" + std::to_string(m_sequence % peerCount)), 1, ZoneId("a")};
        report.sequence = ++m_sequence;
        for (int i = 0; i < serverCount; ++i)
            report.loads.push_back(
                    {decision::serverKey(ServerId("i-0123456789-" + std::to_string(i))), 0, 1});
        m_socket.sendToAll(report);
        m_timer.expires_after(std::chrono::nanoseconds(1s) / (peerCount * reportsPerPeerPerSecond));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                this->sendReport();
        });
    }

    EventLoopThread m_eventLoop{"peers"};
    wire::GossipSocket m_socket;
    asio::steady_timer m_timer;
    std::uint64_t m_sequence = 0;
};

TrafficPlan makePlan()
{
    DirectRoute route;
    route.name = "stream";
    route.host = "h.example";
    route.prefix = "/stream/";
    route.kind = RequestKind::Stream;
    route.pools = {{PoolId("pool"), 1.0}};
    TrafficPlanParts parts;
    parts.routes = {route};
    DirectPool &pool = parts.pools[PoolId("pool")];
    pool.id = PoolId("pool");
    pool.maxConnections = 4000;
    pool.engine = EngineTraits{64, 493000};
    parts.customers = {CustomerKeys{CustomerId("kitchen"), {sha256Hex("key")}}};
    return TrafficPlan::create(1, parts).value();
}

std::string promptFields(int tokens)
{
    return "Bilberry-Model: m\r\nBilberry-Token-Counts: " + std::to_string(tokens)
           + ",100\r\nBilberry-Prompt-Parts: 5c1e07a2:10,"
           + "91bd3f06:10,e4402b7d:" + std::to_string(tokens) + "\r\n";
}

/// Runs a load and prints the event loop's processor time per answer and per unit.
/// @param unitsPerAnswer events or requests that one answer counts for
void measure(const char *name, InProcessRouter &setting, const std::string &request, int callers,
             double unitsPerAnswer, Duration length)
{
    const Callers load(setting.port(), request, callers);
    std::this_thread::sleep_for(500ms);
    const std::uint64_t answersBefore = load.answerCount();
    const Duration usedBefore = setting.processorTime();
    std::this_thread::sleep_for(length);
    const double usedMs = toMilliseconds(setting.processorTime() - usedBefore);
    const auto answers = static_cast<double>(load.answerCount() - answersBefore);
    std::printf("%-10s %9.0f answers/s  %7.1f us an answer  %6.1f us a unit\n", name,
                answers * 1000.0 / toMilliseconds(length), usedMs * 1000.0 / answers,
                usedMs * 1000.0 / (answers * unitsPerAnswer));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("directbench",
                             "Measures the processor time of a direct router's event loop.");
    options.add_options()("seconds", "length of each load in seconds",
                          cxxopts::value<int>()->default_value("4"));
    options.add_options()("only", "streams, refusals or reports",
                          cxxopts::value<std::string>()->default_value(""));
    const auto arguments = benchmark::parseOptions(options, argc, argv);
    const Duration length = std::chrono::seconds(arguments["seconds"].as<int>());
    const auto only = arguments["only"].as<std::string>();
    const auto isSelected = [&](const char *name) { return only.empty() || only == name; };

    // Log lines are formatted and written as in bilberryd, so that their cost is included.
    setUpLogging({LogLevel::Info, LogFormat::Json});
    StreamServer server;
    std::vector<DirectServer> servers;
    for (int i = 0; i < serverCount; ++i)
        servers.push_back(loopbackServer("i-0123456789-" + std::to_string(i), server.port()));
    InProcessRouter setting(makePlan(), servers, [](direct::DirectSettings &settings) {
        settings.maxPlanStaleness = 1h;
    });
    if (isSelected("streams"))
        measure("streams", setting,
                InProcessRouter::request("/stream/x", promptFields(10), "", "key"), 100,
                eventsPerStream, length);
    if (isSelected("refusals")) {
        // The negative limit excludes idle servers too, so that every request is refused.
        InProcessRouter refusing(makePlan(), servers, [](direct::DirectSettings &settings) {
            settings.maxPlanStaleness = 1h;
            settings.serverSelector.standaloneBacklogLimit = -1ms;
        });
        measure("refusals", refusing,
                InProcessRouter::request("/stream/x", promptFields(10), "", "key"), 5, 1, length);
    }
    if (isSelected("reports")) {
        const PeerRouters peers(setting.settings().peerEndpoint);
        const Duration before = setting.processorTime();
        std::this_thread::sleep_for(length);
        const double used = toMilliseconds(setting.processorTime() - before);
        std::printf("%-10s %9d reports/s  %7.2f ms a second\n", "reports",
                    peerCount * reportsPerPeerPerSecond, used * 1000.0 / toMilliseconds(length));
    }
    flushLogging();
    return 0;
}
