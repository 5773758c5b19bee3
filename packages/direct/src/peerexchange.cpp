#include "peerexchange.h"

#include "bilberry/base/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <cmath>

namespace bilberry::direct {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Between two reports; a server reads about 3,000 prompt tokens meanwhile.
constexpr Duration reportPeriod = std::chrono::milliseconds(50);
/// With so many peers, and with each further so many, the period grows by itself.
constexpr std::size_t peersAtFullRate = 8;
/// Demands change slowly and go with every so many reports.
constexpr std::uint64_t reportsForDemands = 5;
/// A router without work reports this seldom.
constexpr std::uint64_t idleReports = 8;
constexpr Duration storeCallLimit = std::chrono::seconds(1);
/// Between two attempts to enter this router.
constexpr Duration entryRetry = std::chrono::milliseconds(700);

} // namespace

PeerExchange::PeerExchange(asio::io_context &io, const DirectSettings &settings,
                           store::CollectionStore &store, std::string collection,
                           decision::ServerFleet &fleet, decision::CustomerMeter &meter)
    : m_settings(settings), m_store(store), m_collection(std::move(collection)), m_fleet(fleet),
      m_meter(meter),
      m_socket(
              io, settings.peers.address, settings.peers.port,
              [this](wire::GossipMessage &&message) { received(std::move(message)); },
              [](std::size_t) {}),
      m_reportTimer(io), m_entryTimer(io), m_self{settings.router, randomId(), settings.zone}
{
}

void PeerExchange::start()
{
    m_socket.start();
    asio::co_spawn(m_entryTimer.get_executor(), enter(shared_from_this()), asio::detached);
    report();
}

asio::awaitable<void> PeerExchange::enter(std::shared_ptr<PeerExchange> self)
{
    const store::Item item{self->m_settings.router.text(),
                           json::serialize(json::object{{"address", self->m_settings.peers.address},
                                                        {"port", self->m_settings.peers.port}})};
    while (!self->m_leaving) {
        const Status entered = co_await self->m_store.put(self->m_collection, item, storeCallLimit);
        if (entered)
            co_return;
        self->m_log.decision("Could not enter this router.",
                             {{"error", entered.error().message()}});
        self->m_entryTimer.expires_after(entryRetry);
        boost::system::error_code ignored;
        co_await self->m_entryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void PeerExchange::leave()
{
    m_leaving = true;
    m_entryTimer.cancel();
    asio::co_spawn(m_entryTimer.get_executor(), removeEntry(shared_from_this()), asio::detached);
}

asio::awaitable<void> PeerExchange::removeEntry(std::shared_ptr<PeerExchange> self)
{
    const std::string name = self->m_settings.router.text();
    const Status removed = co_await self->m_store.remove(self->m_collection, name, storeCallLimit);
    if (!removed)
        self->m_log.decision("Left an entry behind.", {{"error", removed.error().message()}});
    self->m_left = true;
}

void PeerExchange::entered(const store::Item &item)
{
    if (item.name == m_settings.router.text())
        return;
    boost::system::error_code error;
    const json::value value = json::parse(item.value, error);
    const json::object *entry = error ? nullptr : value.if_object();
    const json::value *address = entry ? entry->if_contains("address") : nullptr;
    const json::value *port = entry ? entry->if_contains("port") : nullptr;
    if (!address || !address->is_string() || !port || !port->is_int64()) {
        m_log.decision("Ignored a router's entry.", {{"router", item.name}});
        return;
    }
    m_peers[item.name] = {RouterId(item.name), std::string(address->get_string()),
                          static_cast<std::uint16_t>(port->get_int64())};
    m_fleet.routerSeen(RouterId(item.name), Clock::now());
    std::vector<wire::GossipPeer> peers;
    for (const auto &[name, peer] : m_peers)
        peers.push_back(peer);
    m_socket.setPeers(peers);
}

void PeerExchange::removed(const std::string &router)
{
    m_peers.erase(router);
}

void PeerExchange::report()
{
    const TimePoint now = Clock::now();
    const auto work = m_fleet.ownWork();
    ++m_sequence;
    const bool due = !work.empty() || m_hadWork || m_sequence % idleReports == 0;
    if (due && !m_peers.empty()) {
        wire::DirectReport report;
        report.sender = m_self;
        report.sequence = m_sequence;
        for (const auto &[server, load] : work) {
            constexpr double usPerMs = 1000.0;
            report.loads.push_back({server, static_cast<std::uint32_t>(load.backlogMs * usPerMs),
                                    static_cast<std::uint32_t>(load.inFlight)});
        }
        if (m_sequence % reportsForDemands == 0 || m_sequence % idleReports == 0) {
            for (const auto &[customer, demand] : m_meter.own(now))
                report.demands.push_back({customer, static_cast<std::uint64_t>(demand.asked),
                                          static_cast<std::uint64_t>(demand.given)});
        }
        m_socket.sendToAll(report);
    }
    m_hadWork = !work.empty();
    // The datagrams that a router sends and receives in a second don't grow with the fleet.
    const auto stretch = static_cast<int>(1 + m_peers.size() / peersAtFullRate);
    m_reportTimer.expires_after(reportPeriod * stretch);
    m_reportTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error)
            self->report();
    });
}

void PeerExchange::received(wire::GossipMessage &&message)
{
    const auto *report = std::get_if<wire::DirectReport>(&message);
    if (!report || report->sender.router == m_settings.router)
        return;
    auto &[incarnation, sequence] = m_newest[report->sender.router];
    if (incarnation == report->sender.incarnation && report->sequence <= sequence)
        return;
    incarnation = report->sender.incarnation;
    sequence = report->sequence;
    const TimePoint now = Clock::now();
    std::map<ServerId, decision::WorkLoad> loads;
    for (const wire::DirectLoad &load : report->loads)
        loads[load.server] = {load.unreadUs / 1000.0, load.inFlight};
    m_fleet.report(report->sender.router, loads, now);
    if (report->demands.empty())
        return;
    std::map<CustomerId, decision::CustomerMeter::Demand> demands;
    for (const wire::CustomerDemand &demand : report->demands)
        demands[demand.customer]
                = {static_cast<double>(demand.asked), static_cast<double>(demand.given)};
    m_meter.report(report->sender.router, demands, now);
}

} // namespace bilberry::direct
