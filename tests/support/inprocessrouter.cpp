#include "support/inprocessrouter.h"

#include "support/fleet.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <pthread.h>

#include <ctime>
#include <stdexcept>

namespace bilberry::tests {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

/// Duration of a removal.
constexpr Duration removalTime = 400ms;

/// In-memory store with constant collections, which records what is written; list() and watch()
/// fail while `down` is set.
class MemoryStore : public store::CollectionStore
{
public:
    MemoryStore(asio::io_context &context, InProcessRouter::Collections &collections,
                std::function<void(const std::string &, const store::Item &)> onPut,
                std::atomic<bool> &down, std::function<std::uint64_t(const std::string &)> eraOf,
                std::atomic<int> &removedItems)
        : m_context(context), m_collections(collections), m_onPut(std::move(onPut)), m_down(down),
          m_eraOf(std::move(eraOf)), m_removedItems(removedItems)
    {
    }

    asio::awaitable<Result<store::Snapshot>> list(std::string collection, Duration) override
    {
        if (m_down)
            co_return store::StoreErrc::Unavailable;
        co_return store::Snapshot{m_collections[collection], {m_eraOf(collection), 1}};
    }

    asio::awaitable<Result<store::Changes>> watch(std::string collection, StoreRevision,
                                                  Duration wait, Duration) override
    {
        asio::steady_timer timer(m_context, wait);
        co_await timer.async_wait(asio::use_awaitable);
        if (m_down)
            co_return store::StoreErrc::Unavailable;
        co_return store::Changes{{}, {m_eraOf(collection), 1}};
    }

    asio::awaitable<Status> put(std::string collection, store::Item item, Duration) override
    {
        m_onPut(collection, item);
        co_return success();
    }
    asio::awaitable<Status> remove(std::string, std::string, Duration) override
    {
        asio::steady_timer timer(m_context, removalTime);
        co_await timer.async_wait(asio::use_awaitable);
        ++m_removedItems;
        co_return success();
    }

private:
    asio::io_context &m_context;
    InProcessRouter::Collections &m_collections;
    std::function<void(const std::string &, const store::Item &)> m_onPut;
    std::atomic<bool> &m_down;
    std::function<std::uint64_t(const std::string &)> m_eraOf;
    std::atomic<int> &m_removedItems;
};

/// Occurs in no answer, so that readUntil() reads until the connection ends.
const std::string absentText = "\x01none";

} // namespace

InProcessRouter::InProcessRouter(TrafficPlan plan, const std::vector<DirectServer> &servers,
                                 const ChangeSettings &change, const Collections &stored,
                                 const StartOptions &options)
    : m_collections(stored), m_storeEra(options.storeEra)
{
    for (const DirectServer &server : servers) {
        m_servers[server.id.text()] = server;
        m_collections["servers"].push_back({server.id.text(), server.id.text()});
    }
    m_collections["plans"].push_back({"current", "1"});
    direct::PlatformAdapter adapter;
    adapter.decodePlan = [plan](const std::string &) -> Result<TrafficPlan> { return plan; };
    adapter.decodeServer
            = [this](const std::string &id, const std::string &) -> Result<DirectServer> {
        return m_servers.at(id);
    };
    adapter.openStore
            = [this](asio::io_context &context, const direct::Endpoint &, direct::StoreCallHook) {
                  return std::make_unique<MemoryStore>(
                          context, m_collections,
                          [this](const std::string &collection, const store::Item &item) {
                              const std::lock_guard lock(m_writtenMutex);
                              m_written[collection].push_back(item);
                          },
                          m_storeDown,
                          [this](const std::string &collection) {
                              const bool seesIt = m_isRestoreSeen || collection == "routers";
                              return m_storeEra - (seesIt ? 0 : 1);
                          },
                          m_removedItems);
              };
    adapter.headers.reserved = {"Bilberry-Secret"};
    m_settings.router = RouterId("router");
    m_settings.zone = ZoneId("a");
    for (direct::Endpoint *endpoint :
         {&m_settings.callerEndpoint, &m_settings.readinessEndpoint, &m_settings.metricsEndpoint,
          &m_settings.peerEndpoint, &m_settings.storeEndpoint})
        *endpoint = {"127.0.0.1", freePort()};
    m_settings.readinessPath = "/readyz";
    m_settings.maxPlanStaleness = 300ms;
    m_settings.planRefreshAge = 50ms;
    m_settings.planFallbackAge = 100ms;
    m_settings.balancerLag = 200ms;
    m_settings.shutdownTimeout = 2s;
    if (change)
        change(m_settings);
    m_router = std::make_unique<direct::DirectRouter>(m_settings, adapter);
    m_thread = std::thread([this] { m_router->run(); });
    if (options.waitUntilReady && !eventually([this] { return ready(); })) {
        stop();
        m_thread.join();
        throw std::runtime_error("the direct router did not become ready");
    }
}

InProcessRouter::~InProcessRouter()
{
    if (!m_thread.joinable())
        return;
    stop();
    m_thread.join();
}

void InProcessRouter::stop()
{
    asio::post(m_router->context(), [this] { m_router->stop(); });
}

void InProcessRouter::occupy(Duration duration)
{
    asio::post(m_router->context(), [duration] { std::this_thread::sleep_for(duration); });
}

std::vector<store::Item> InProcessRouter::written(const std::string &collection) const
{
    const std::lock_guard lock(m_writtenMutex);
    const auto found = m_written.find(collection);
    return found == m_written.end() ? std::vector<store::Item>() : found->second;
}

bool InProcessRouter::ready() const
{
    RawCaller caller(m_settings.readinessEndpoint.port);
    caller.send("GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
    return caller.readAnswer().status() == 200;
}

Duration InProcessRouter::processorTime() const
{
    clockid_t clock{};
    timespec used{};
    auto &thread = const_cast<std::thread &>(m_thread); // native_handle() is not const
    if (pthread_getcpuclockid(thread.native_handle(), &clock) != 0
        || clock_gettime(clock, &used) != 0)
        throw std::runtime_error("cannot read the processor clock of the router's thread");
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

RawAnswer InProcessRouter::call(const std::string &path, const std::string &fields,
                                const std::string &body, const std::string &key) const
{
    RawCaller caller(port());
    caller.send(request(path, fields, body, key));
    return caller.readUntil(absentText);
}

std::string InProcessRouter::request(const std::string &path, const std::string &fields,
                                     const std::string &body, const std::string &key,
                                     bool keepAlive)
{
    std::string text = "POST " + path
                       + " HTTP/1.1\r\nHost: h.example\r\n"
                         "Bilberry-Request-Id: r1\r\nBilberry-Remaining-Ms: 1500\r\n";
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    if (!keepAlive)
        text += "Connection: close\r\n";
    return text + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

DirectServer loopbackServer(const std::string &id, std::uint16_t port)
{
    DirectServer server;
    server.id = ServerId(id);
    server.pool = PoolId("pool");
    server.zone = ZoneId("a");
    server.address = "127.0.0.1";
    server.port = port;
    server.slots = 8;
    return server;
}

} // namespace bilberry::tests
