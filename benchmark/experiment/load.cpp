#include "load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace bilberry::benchmark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr double minCostMs = 5.0;
constexpr char partsPerAnswer[] = "4";
constexpr auto answerTimeout = std::chrono::seconds(40);

using Request = http::request<http::empty_body>;

/// A caller's connection; reopened after the router has closed it.
struct Connection
{
    explicit Connection(asio::io_context &context) : stream(context) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool open = false;
};

} // namespace

struct LoadGenerator::State
{
    State(const Deployment &deployment, std::vector<std::uint16_t> ports)
        : deployment(deployment), ports(std::move(ports))
    {
    }

    double drawCostMs(const CustomerLoad &load)
    {
        if (load.largestCostFraction > 0.0
            && std::uniform_real_distribution<>(0.0, 1.0)(random) < load.largestCostFraction)
            return deployment.largestCostMs;
        const double costMs = std::exponential_distribution<>(1.0 / load.meanCostMs)(random);
        return std::clamp(costMs, minCostMs, 4.0 * load.meanCostMs);
    }

    Request makeRequest(std::size_t customer, double costMs)
    {
        Request request(http::verb::get, "/v1/chat", 11);
        request.set(http::field::host, "127.0.0.1");
        request.set("X-Api-Key", apiKey(deployment.customers[customer].name));
        const auto wholeMs = static_cast<long>(costMs);
        request.set("X-Ms", std::to_string(wholeMs));
        request.set("X-Tag", std::to_string(customer) + ":" + std::to_string(wholeMs));
        if (deployment.streamed)
            request.set("X-Chunks", partsPerAnswer);
        return request;
    }

    asio::awaitable<void> performCall(Connection &connection, std::size_t router, Request request,
                                      std::size_t customer)
    {
        CallRecord record;
        record.customer = customer;
        record.repeatable = request.method() == http::verb::get;
        record.sentAt = Clock::now();
        boost::system::error_code error;
        connection.stream.expires_after(answerTimeout);
        if (!connection.open) {
            const asio::ip::tcp::endpoint routerEndpoint(asio::ip::address_v4::loopback(),
                                                         ports[router]);
            co_await connection.stream.async_connect(
                    routerEndpoint, asio::redirect_error(asio::use_awaitable, error));
            connection.buffer.clear();
        }
        if (!error)
            co_await http::async_write(connection.stream, request,
                                       asio::redirect_error(asio::use_awaitable, error));
        http::response_parser<http::string_body> parser;
        if (!error)
            co_await http::async_read_header(connection.stream, connection.buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, error));
        record.firstByteAt = Clock::now();
        if (!error)
            co_await http::async_read(connection.stream, connection.buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        record.endedAt = Clock::now();
        if (!error)
            record.status = parser.get().result_int();
        connection.open = !error && parser.get().keep_alive();
        if (!connection.open)
            connection.stream.close();
        records.push_back(record);
    }

    asio::awaitable<void> pauseUntil(TimePoint at)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(context, at);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Sends each request when the previous one is answered; waits 100 ms after a refusal or
    /// failure.
    asio::awaitable<void> runClosedLoop(std::size_t customer, std::size_t router)
    {
        const CustomerLoad &load = deployment.customers[customer];
        Connection connection(context);
        while (Clock::now() < until) {
            const TimePoint now = Clock::now();
            if (load.burstSeconds > 0.0) {
                const Duration burst = fromMilliseconds(load.burstSeconds * 1000.0);
                const auto phase = (now - startedAt) / burst;
                if (phase % 2 == 0) {
                    co_await pauseUntil(startedAt + (phase + 1) * burst);
                    continue;
                }
            }
            co_await performCall(connection, router, makeRequest(customer, drawCostMs(load)),
                                 customer);
            const bool refused = records.back().status != 200;
            if (refused)
                co_await pauseUntil(Clock::now() + std::chrono::milliseconds(100));
        }
        --activeCallers;
    }

    asio::awaitable<void> sendOnce(std::size_t customer, std::size_t router, Request request)
    {
        Connection connection(context);
        co_await performCall(connection, router, std::move(request), customer);
        --activeCallers;
    }

    /// Sends at exponentially distributed intervals, independent of the answers.
    /// @param isOrder sends non-repeatable requests
    asio::awaitable<void> runOpenLoop(std::size_t customer, std::size_t router, double perSecond,
                                      bool isOrder, double meanCostMs)
    {
        TimePoint next = startedAt;
        for (;;) {
            const double waitSeconds = std::exponential_distribution<>(perSecond)(random);
            next += fromMilliseconds(waitSeconds * 1000.0);
            if (next >= until)
                break;
            co_await pauseUntil(next);
            CustomerLoad load = deployment.customers[customer];
            load.meanCostMs = meanCostMs;
            load.largestCostFraction = 0.0;
            Request outgoing = makeRequest(customer, drawCostMs(load));
            if (isOrder) {
                outgoing.method(http::verb::post);
                outgoing.target("/app/book");
                outgoing.set("Idempotency-Key", "order-" + std::to_string(++orderCount));
                outgoing.set(http::field::content_length, "0");
            }
            ++activeCallers;
            asio::co_spawn(context, sendOnce(customer, router, std::move(outgoing)),
                           asio::detached);
        }
        --activeCallers;
    }

    void spawnCallers(const LoadPlan &plan)
    {
        const auto spawn = [this](asio::awaitable<void> caller) {
            ++activeCallers;
            asio::co_spawn(context, std::move(caller), asio::detached);
        };
        for (std::size_t i = 0; i < deployment.customers.size(); ++i) {
            const CustomerLoad &load = deployment.customers[i];
            for (const std::size_t router : load.routers) {
                for (std::size_t n = 0; plan.saturating && n < load.callersPerRouter; ++n)
                    spawn(runClosedLoop(i, router));
                if (!plan.saturating || load.callersPerRouter == 0)
                    spawn(runOpenLoop(i, router, plan.openRequestsPerSecond, false,
                                      plan.openMeanCostMs));
            }
        }
        const std::size_t orderCustomer = deployment.customers.size() - 1;
        for (std::size_t router = 0; router < ports.size(); ++router)
            spawn(runOpenLoop(orderCustomer, router,
                              plan.ordersPerSecond / static_cast<double>(ports.size()), true,
                              50.0));
    }

    const Deployment &deployment;
    std::vector<std::uint16_t> ports;
    asio::io_context context{1};
    std::mt19937_64 random{1};
    TimePoint startedAt{};
    TimePoint until{};
    std::size_t activeCallers = 0; ///< callers that still send or wait for an answer
    std::uint64_t orderCount = 0;
    std::vector<CallRecord> records;
};

LoadGenerator::LoadGenerator(const Deployment &deployment, std::vector<std::uint16_t> ports)
    : m_state(std::make_unique<State>(deployment, std::move(ports)))
{
}

LoadGenerator::~LoadGenerator() = default;

std::vector<CallRecord> LoadGenerator::run(const LoadPlan &plan, TimePoint until,
                                           const std::function<void()> &meanwhile)
{
    State &state = *m_state;
    state.startedAt = Clock::now();
    state.until = until;
    state.records.clear();
    state.context.restart();
    state.spawnCallers(plan);
    std::thread thread([&] { state.context.run(); });
    meanwhile();
    thread.join();
    return std::move(state.records);
}

} // namespace bilberry::benchmark
