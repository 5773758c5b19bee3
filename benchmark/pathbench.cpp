// Measures the overhead of router and agent: latency, request rate, streamed parts per second, each
// compared with direct connections to the backend stand-in, and the memory of idle connections.

#include "benchmarkoptions.h"
#include "processstats.h"

#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace bilberry::benchmark;

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Load on one port; each connection sends its requests one after the other.
struct Load
{
    std::uint16_t port = 0;
    std::size_t connections = 1;
    Duration length = std::chrono::seconds(3);
    Duration interval{}; ///< between the starts of two requests of a connection; 0: no pause
    long chunks = 0;     ///< streamed parts of each answer; 0: not streamed
    long chunkBytes = 0;
};

/// Measurements of one load.
struct LoadResult
{
    std::vector<double> latenciesMs;
    std::uint64_t failures = 0;
    std::uint64_t parts = 0;
    double seconds = 0.0;

    double requestsPerSecond() const { return static_cast<double>(latenciesMs.size()) / seconds; }
    double percentileMs(double fraction)
    {
        if (latenciesMs.empty())
            return 0.0;
        std::sort(latenciesMs.begin(), latenciesMs.end());
        const auto last = static_cast<double>(latenciesMs.size() - 1);
        return latenciesMs[static_cast<std::size_t>(fraction * last)];
    }
};

http::request<http::empty_body> makeRequest(const Load &load)
{
    http::request<http::empty_body> request(http::verb::get, "/v1/bench", 11);
    request.set(http::field::host, "127.0.0.1");
    request.set("X-Api-Key", "bench-key");
    if (load.chunks > 0) {
        request.set("X-Chunks", std::to_string(load.chunks));
        request.set("X-Bytes", std::to_string(load.chunkBytes));
    }
    return request;
}

asio::awaitable<void> runConnection(asio::io_context &context, const Load &load, LoadResult &result,
                                    TimePoint deadline)
{
    boost::system::error_code error;
    beast::tcp_stream stream(context);
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), load.port);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        ++result.failures;
        co_return;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    const auto request = makeRequest(load);
    beast::flat_buffer buffer;
    asio::steady_timer timer(context, Clock::now());
    while (Clock::now() < deadline) {
        const TimePoint start = Clock::now();
        co_await http::async_write(stream, request,
                                   asio::redirect_error(asio::use_awaitable, error));
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (!error)
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        if (error || parser.get().result() != http::status::ok) {
            ++result.failures;
            co_return;
        }
        result.latenciesMs.push_back(toMilliseconds(Clock::now() - start));
        result.parts += static_cast<std::uint64_t>(load.chunks);
        if (load.interval.count() > 0) {
            timer.expires_at(std::max(timer.expiry() + load.interval, Clock::now()));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

LoadResult runLoad(const Load &load)
{
    asio::io_context context(1);
    LoadResult result;
    const TimePoint start = Clock::now();
    const TimePoint deadline = start + load.length;
    for (std::size_t i = 0; i < load.connections; ++i)
        asio::co_spawn(context, runConnection(context, load, result, deadline), asio::detached);
    context.run();
    result.seconds = toMilliseconds(Clock::now() - start) / 1000.0;
    return result;
}

void printLatency(const char *label, LoadResult result)
{
    std::printf("%-22s %9.0f req/s  median %.3f ms  p99 %.3f ms  failed %llu\n", label,
                result.requestsPerSecond(), result.percentileMs(0.5), result.percentileMs(0.99),
                static_cast<unsigned long long>(result.failures));
}

void measureLatency(Fleet &fleet, Duration length)
{
    std::printf("\nLatency at moderate load (20 connections, 1,000 requests/s)\n");
    Load load{fleet.backend("server").port(), 20, length, std::chrono::milliseconds(20), 0, 0};
    LoadResult direct = runLoad(load);
    load.port = fleet.callerPort(0);
    LoadResult routed = runLoad(load);
    printLatency("direct", direct);
    printLatency("router and agent", routed);
    std::printf("added: median %.3f ms, p99 %.3f ms\n",
                routed.percentileMs(0.5) - direct.percentileMs(0.5),
                routed.percentileMs(0.99) - direct.percentileMs(0.99));
}

void measureRate(Fleet &fleet, Duration length)
{
    std::printf("\nSmall requests as fast as possible (64 connections)\n");
    Load load{fleet.backend("server").port(), 64, length, {}, 0, 0};
    printLatency("direct", runLoad(load));
    load.port = fleet.callerPort(0);
    const double routerBefore = processorSeconds(fleet.router(0).id());
    const double agentBefore = processorSeconds(fleet.agent("server").id());
    const LoadResult routed = runLoad(load);
    const auto requests = static_cast<double>(routed.latenciesMs.size());
    printLatency("router and agent", routed);
    std::printf("processor time: router %.1f us/request, agent %.1f us/request\n",
                (processorSeconds(fleet.router(0).id()) - routerBefore) * 1e6 / requests,
                (processorSeconds(fleet.agent("server").id()) - agentBefore) * 1e6 / requests);
}

void measureStream(Fleet &fleet, Duration length)
{
    std::printf("\nStreamed parts (64 streams, 1,000 parts of 40 bytes each)\n");
    Load load{fleet.backend("server").port(), 64, length, {}, 1000, 20};
    const LoadResult direct = runLoad(load);
    load.port = fleet.callerPort(0);
    const double routerBefore = processorSeconds(fleet.router(0).id());
    const double agentBefore = processorSeconds(fleet.agent("server").id());
    const LoadResult routed = runLoad(load);
    const auto parts = static_cast<double>(routed.parts);
    std::printf("%-22s %9.0f parts/s\n%-22s %9.0f parts/s  failed %llu\n", "direct",
                static_cast<double>(direct.parts) / direct.seconds, "router and agent",
                parts / routed.seconds, static_cast<unsigned long long>(routed.failures));
    std::printf("processor time: router %.2f us/part, agent %.2f us/part\n",
                (processorSeconds(fleet.router(0).id()) - routerBefore) * 1e6 / parts,
                (processorSeconds(fleet.agent("server").id()) - agentBefore) * 1e6 / parts);
}

void measureIdle(Fleet &fleet)
{
    std::printf("\nIdle caller connections at one router\n");
    asio::io_context context(1);
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> sockets;
    long baselineKib = residentKib(fleet.router(0).id());
    std::printf("%6d connections: %ld KiB resident\n", 0, baselineKib);
    for (const std::size_t count : {5000UL, 10000UL}) {
        while (sockets.size() < count) {
            auto socket = std::make_unique<asio::ip::tcp::socket>(context);
            boost::system::error_code error;
            socket->connect({asio::ip::address_v4::loopback(), fleet.callerPort(0)}, error);
            if (error) {
                std::printf("connect failed at %zu: %s\n", sockets.size(), error.message().c_str());
                return;
            }
            sockets.push_back(std::move(socket));
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const long currentKib = residentKib(fleet.router(0).id());
        std::printf("%6zu connections: %ld KiB resident, %.2f KiB each\n", count, currentKib,
                    static_cast<double>(currentKib - baselineKib) / static_cast<double>(count));
    }
}

FleetPlan makePlan(const std::string &binaries)
{
    FleetPlan plan;
    plan.binaries = binaries;
    plan.routers = {"a"};
    plan.servers = {{"server", "models", "a"}};
    plan.releaseNote = "added:\n"
                       "  zones: { a: {} }\n"
                       "  pools:\n"
                       "    models: { zones: [a], coldLimit: 256, fullLimit: 256 }\n"
                       "  customers:\n"
                       "    bench: { keyDigests: ["
                       + sha256Hex("bench-key")
                       + "] }\n"
                         "  routes:\n"
                         "    /v1: { pool: models }\n";
    return plan;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pathbench", "Measures the overhead of router and agent per request.");
    options.add_options()("binaries", "directory of bilberryd",
                          cxxopts::value<std::string>()->default_value("build/bin"))(
            "seconds", "length of each load in seconds", cxxopts::value<int>()->default_value("3"));
    const auto arguments = parseOptions(options, argc, argv);
    raiseOpenFileLimit();
    Fleet fleet(makePlan(arguments["binaries"].as<std::string>()));
    if (!fleet.start()) {
        std::fprintf(stderr, "cannot start the fleet of one router and one agent\n");
        return 1;
    }
    const Duration length = std::chrono::seconds(arguments["seconds"].as<int>());
    measureLatency(fleet, length);
    measureRate(fleet, length);
    measureStream(fleet, length);
    measureIdle(fleet);
    return 0;
}
