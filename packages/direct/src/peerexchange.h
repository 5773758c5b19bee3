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
    void leave();

    /// Another router's entry.
    void entered(const store::Item &item);
    void removed(const std::string &router);

    /// @return true when the leaving of this router is recorded or given up
    bool left() const { return m_left; }

private:
    static boost::asio::awaitable<void> enter(std::shared_ptr<PeerExchange> self);
    static boost::asio::awaitable<void> removeEntry(std::shared_ptr<PeerExchange> self);
    void workChanged();
    void reportAt(TimePoint when);
    void report();
    std::vector<wire::DirectServerLoad> changedLoads(bool complete);
    Duration spacing() const;
    void received(wire::GossipMessage &&message);

    const DirectSettings &m_settings;
    store::CollectionStore &m_store;
    std::string m_collection;
    decision::ServerSelector &m_fleet;
    decision::CustomerUsageMeter &m_meter;
    Log m_log{"router.peers"};
    wire::GossipSocket m_socket;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_entryTimer;
    std::map<std::string, wire::GossipPeer> m_peers;
    std::map<RouterId, std::pair<Incarnation, std::uint64_t>> m_newest; ///< of received reports
    wire::GossipSender m_self;
    std::uint64_t m_sequence = 0;
    TimePoint m_reportAt = TimePoint::max(); ///< of the next report
    TimePoint m_reportedAt{};
    TimePoint m_completeAt{};
    TimePoint m_demandsAt{};
    std::map<decision::ServerKey, double> m_reportedMs; ///< unread work as the others know it
    bool m_leaving = false;
    bool m_left = false;
};

} // namespace bilberry::direct

#endif
