#ifndef BILBERRY_DIRECT_PEEREXCHANGE_H
#define BILBERRY_DIRECT_PEEREXCHANGE_H

#include "bilberry/base/log.h"
#include "bilberry/decision/crashsuspicion.h"
#include "bilberry/decision/customerusagemeter.h"
#include "bilberry/decision/planproofs.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/direct/directsettings.h"
#include "bilberry/store/collectionstore.h"
#include "bilberry/wire/gossipsocket.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bilberry::direct {

/// Exchanges reports between routers as datagrams: their work at the servers, the demands of
/// customers, what servers say of themselves, and what may have crashed servers. Routers find each
/// other in a collection of the store, where each registers itself.
class PeerExchange : public std::enable_shared_from_this<PeerExchange>
{
public:
    PeerExchange(boost::asio::io_context &io, const DirectSettings &settings,
                 store::CollectionStore &store, std::string collection,
                 decision::ServerSelector &serverSelector, decision::CustomerUsageMeter &usageMeter,
                 decision::CrashSuspicion &crashSuspicion);

    /// Registers this router and starts to send reports.
    void start();

    /// Writes this router's entry again, which a restored store may lack.
    void registerAgain();
    /// Starts to remove this router's item from the store.
    void unregister();

    /// @return the other routers that are registered
    std::vector<RouterId> routers() const;
    /// Asks another router for a proof of its plan.
    /// @param query number of the question
    void queryPlanProof(const RouterId &router, std::uint64_t query);

    /// @return the other registered routers that a message has come from lately
    std::vector<RouterId> liveRouters() const;
    /// Tells all other routers what this one has learned of the store.
    void announceStore(std::uint64_t planVersion, StoreRevision storeRevision,
                       std::vector<wire::CollectionNotice> collections);

    /// Asks another router what the store lacks since it was restored from a copy.
    /// @param query number of the question
    /// @param revision that this router knows of the restored store
    void queryRestoredState(const RouterId &router, std::uint64_t query, StoreRevision revision);
    /// Sends a part of the answer to such a question; adds the sender.
    void sendRestoredState(const RouterId &router, wire::RestoredStateReply reply);

    /// Sends the next report soon, after what this router suspects of crashes has changed.
    void handleSuspicionChange() { handleLoadChange(); }

    /// Answers another router's question; set by the owner.
    std::function<std::optional<decision::PlanProofAnswer>(std::uint64_t query)> onPlanProofQuery;
    std::function<void(const decision::PlanProofAnswer &)> onPlanProofAnswer;
    /// Called with what another router has learned of the store; set by the owner.
    std::function<void(const wire::StoreNotice &)> onStoreNotice;

    /// Called with another router's question what the restored store lacks, and with an answer to
    /// one of this router; set by the owner.
    std::function<void(const wire::RestoredStateQuery &)> onRestoredStateQuery;
    std::function<void(const wire::RestoredStateReply &)> onRestoredStateReply;

    /// Adds or updates another router.
    /// @param item name, and address and port as JSON; ignored when invalid or of this router
    void updatePeer(const store::Item &item);
    /// Removes another router.
    void removePeer(const std::string &router);

    /// @return true when this router's item is removed, or the attempt to remove it has failed
    bool isUnregistered() const { return m_isUnregistered; }

private:
    static boost::asio::awaitable<void> registerRouter(std::shared_ptr<PeerExchange> self);
    static boost::asio::awaitable<void> unregisterRouter(std::shared_ptr<PeerExchange> self);
    void superviseRegistration();
    void handleLoadChange();
    void addPlacement(const decision::PlacedPrefix &placed);
    void scheduleReport(TimePoint when);
    void sendReport();
    void sendServerNotices();
    void sendSuspects(const std::vector<decision::CrashSuspect> &suspects);
    wire::CrashSuspectGossip
    suspectGossip(const std::vector<decision::CrashSuspect> &suspects) const;
    std::vector<wire::DirectServerLoad> changedLoads(bool complete);
    Duration reportInterval() const;
    void handleMessage(wire::GossipMessage &&message);
    void recordHeard(const RouterId &router);
    void handleReport(const wire::DirectRouterReport &report);
    void handleServerNotices(const wire::ServerNoticeGossip &gossip);
    void handleSuspects(const wire::CrashSuspectGossip &gossip);
    void handleQuery(const wire::PlanProofQuery &query);
    void handleRestoredStateQuery(const wire::RestoredStateQuery &query);

    const DirectSettings &m_settings;
    store::CollectionStore &m_store;
    std::string m_collection;
    decision::ServerSelector &m_serverSelector;
    decision::CustomerUsageMeter &m_usageMeter;
    decision::CrashSuspicion &m_crashSuspicion;
    Log m_log{"router.peers"};
    wire::GossipSocket m_socket;
    boost::asio::steady_timer m_reportTimer;
    boost::asio::steady_timer m_registrationTimer;
    boost::asio::steady_timer m_registrationCheckTimer;
    std::map<std::string, wire::GossipPeer> m_peers;
    std::map<RouterId, TimePoint> m_heardAt; ///< when the last message of each router came
    std::map<RouterId, std::pair<Incarnation, std::uint64_t>>
            m_lastReports; ///< newest report of each router
    wire::GossipSender m_sender;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextReportAt = TimePoint::max(); ///< max() when none is scheduled
    TimePoint m_lastReportAt{};
    TimePoint m_lastCompleteReportAt{};
    TimePoint m_lastDemandReportAt{};
    std::map<decision::ServerKey, double> m_reportedBacklogMs; ///< backlog in the last report
    std::vector<wire::DirectPlacement> m_placements;           ///< not reported yet, oldest first
    bool m_isListed = false;                                   ///< the store lists this router
    std::optional<TimePoint> m_registeredAt; ///< absent while a registration is under way
    bool m_mustRegisterAgain = false;        ///< after the one that is under way
    bool m_isUnregistering = false;
    bool m_isUnregistered = false;
};

} // namespace bilberry::direct

#endif
