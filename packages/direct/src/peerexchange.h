#ifndef BILBERRY_DIRECT_PEEREXCHANGE_H
#define BILBERRY_DIRECT_PEEREXCHANGE_H

#include "bilberry/base/log.h"
#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/store/collectionstore.h"
#include "bilberry/wire/gossipsocket.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bilberry::direct {

/// What routers tell one another: work at the servers and customers' demands, by datagrams. Routers
/// find each other in a collection of the store, where each enters itself.
class PeerExchange : public std::enable_shared_from_this<PeerExchange>
{
public:
    PeerExchange(boost::asio::io_context &io, const DirectSettings &settings,
                 store::CollectionStore &store, std::string collection,
                 decision::ServerSelector &fleet, decision::CustomerUsageMeter &meter);

    /// Enters this router and starts to report.
    void start();

    /// Takes this router's entry out.
    void unregister();

    /// Another router's entry.
    void updatePeer(const store::Item &item);
    void removePeer(const std::string &router);

    /// @return true when the leaving of this router is recorded or given up
    bool isUnregistered() const { return m_isUnregistered; }

private:
    static boost::asio::awaitable<void> registerRouter(std::shared_ptr<PeerExchange> self);
    static boost::asio::awaitable<void> unregisterRouter(std::shared_ptr<PeerExchange> self);
    void handleWorkChange();
    void scheduleReport(TimePoint when);
    void sendReport();
    std::vector<wire::DirectServerLoad> changedLoads(bool complete);
    Duration reportInterval() const;
    void handleMessage(wire::GossipMessage &&message);

    const DirectSettings &m_settings;
    store::CollectionStore &m_store;
    std::string m_collection;
    decision::ServerSelector &m_fleet;
    decision::CustomerUsageMeter &m_meter;
    Log m_log{"router.peers"};
    wire::GossipSocket m_socket;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_registrationTimer;
    std::map<std::string, wire::GossipPeer> m_peers;
    std::map<RouterId, std::pair<Incarnation, std::uint64_t>>
            m_lastReports; ///< of received reports
    wire::GossipSender m_sender;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextReportAt = TimePoint::max(); ///< of the next report
    TimePoint m_lastReportAt{};
    TimePoint m_lastCompleteReportAt{};
    TimePoint m_lastDemandReportAt{};
    std::map<decision::ServerKey, double>
            m_reportedBacklogMs; ///< unread work as the others know it
    bool m_isUnregistering = false;
    bool m_isUnregistered = false;
};

} // namespace bilberry::direct

#endif
