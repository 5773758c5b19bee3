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

constexpr double smallestMs = 5.0;
constexpr char streamedParts[] = "4";
constexpr auto answerLimit = std::chrono::seconds(40);

using Request = http::request<http::empty_body>;

/// A caller's connection; opened again when the router closed it.
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

    double cost(const CustomerLoad &load)
    {
        if (load.largeFraction > 0.0
            && std::uniform_real_distribution<>(0.0, 1.0)(random) < load.largeFraction)
            return deployment.largestMs;
        const double drawn = std::exponential_distribution<>(1.0 / load.meanMs)(random);
        return std::clamp(drawn, smallestMs, 4.0 * load.meanMs);
    }

    Request request(std::size_t customer, double ms)
    {
        Request request(http::verb::get, "/v1/chat", 11);
        request.set(http::field::host, "127.0.0.1");
        request.set("X-Api-Key", keyOf(deployment.customers[customer].name));
        const auto whole = static_cast<long>(ms);
        request.set("X-Ms", std::to_string(whole));
        request.set("X-Tag", std::to_string(customer) + ":" + std::to_string(whole));
        if (deployment.streamed)
            request.set("X-Chunks", streamedParts);
        return request;
    }

    asio::awaitable<void> call(Connection &connection, std::size_t router, Request request,
                               std::size_t customer)
    {
        CallRecord record;
        record.customer = customer;
        record.repeatable = request.method() == http::verb::get;
        record.sentAt = Clock::now();
        boost::system::error_code error;
        connection.stream.expires_after(answerLimit);
        if (!connection.open) {
            const asio::ip::tcp::endpoint to(asio::ip::address_v4::loopback(), ports[router]);
            co_await connection.stream.async_connect(
                    to, asio::redirect_error(asio::use_awaitable, error));
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

    /// A caller that sends its next request as soon as the last one is answered.
    asio::awaitable<void> closedCaller(std::size_t customer, std::size_t router)
    {
        const CustomerLoad &load = deployment.customers[customer];
        Connection connection(context);
        while (Clock::now() < until) {
            const TimePoint now = Clock::now();
            if (load.burstSeconds > 0.0) {
                const Duration burst = fromMilliseconds(load.burstSeconds * 1000.0);
                const auto turn = (now - startedAt) / burst;
                if (turn % 2 == 0) {
                    co_await pauseUntil(startedAt + (turn + 1) * burst);
                    continue;
                }
            }
            co_await call(connection, router, request(customer, cost(load)), customer);
            const bool refused = records.back().status != 200;
            if (refused)
                co_await pauseUntil(Clock::now() + std::chrono::milliseconds(100));
        }
        --open;
    }

    asio::awaitable<void> single(std::size_t customer, std::size_t router, Request request)
    {
        Connection connection(context);
        co_await call(connection, router, std::move(request), customer);
        --open;
    }

    /// Sends at random times, whether earlier requests are answered or not.
    asio::awaitable<void> openCaller(std::size_t customer, std::size_t router, double perSecond,
                                     bool order, double meanMs)
    {
        TimePoint next = startedAt;
        for (;;) {
            const double wait = std::exponential_distribution<>(perSecond)(random);
            next += fromMilliseconds(wait * 1000.0);
            if (next >= until)
                break;
            co_await pauseUntil(next);
            CustomerLoad load = deployment.customers[customer];
            load.meanMs = meanMs;
            load.largeFraction = 0.0;
            Request sent = request(customer, cost(load));
            if (order) {
                sent.method(http::verb::post);
                sent.target("/app/book");
                sent.set("Idempotency-Key", "order-" + std::to_string(++orders));
                sent.set(http::field::content_length, "0");
            }
            ++open;
            asio::co_spawn(context, single(customer, router, std::move(sent)), asio::detached);
        }
        --open;
    }

    void spawnCallers(const LoadPlan &plan)
    {
        const auto spawn = [this](asio::awaitable<void> caller) {
            ++open;
            asio::co_spawn(context, std::move(caller), asio::detached);
        };
        for (std::size_t i = 0; i < deployment.customers.size(); ++i) {
            const CustomerLoad &load = deployment.customers[i];
            for (const std::size_t router : load.routers) {
                for (std::size_t n = 0; plan.saturating && n < load.callersPerRouter; ++n)
                    spawn(closedCaller(i, router));
                if (!plan.saturating || load.callersPerRouter == 0)
                    spawn(openCaller(i, router, plan.openPerSecond, false, plan.openMeanMs));
            }
        }
        const std::size_t light = deployment.customers.size() - 1;
        for (std::size_t router = 0; router < ports.size(); ++router)
            spawn(openCaller(light, router,
                             plan.ordersPerSecond / static_cast<double>(ports.size()), true, 50.0));
    }

    const Deployment &deployment;
    std::vector<std::uint16_t> ports;
    asio::io_context context{1};
    std::mt19937_64 random{1};
    TimePoint startedAt{};
    TimePoint until{};
    std::size_t open = 0; ///< callers that still send or wait
    std::uint64_t orders = 0;
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
