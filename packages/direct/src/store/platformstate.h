#ifndef BILBERRY_DIRECT_PLATFORMSTATE_H
#define BILBERRY_DIRECT_PLATFORMSTATE_H

#include "peers/peerexchange.h"
#include "server/serverconnections.h"
#include "store/restorecatchup.h"
#include "store/storerelay.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/planproofs.h"
#include "bilberry/decision/serverselector.h"
#include "bilberry/direct/directrouter.h"
#include "bilberry/store/collectionwatcher.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bilberry::direct {

/// Follows the platform's store: the plan, the servers, the zones that are out and the other
/// routers. Passes changes on, and keeps the proof that the plan is the newest one.
class PlatformState
{
public:
    /// All arguments must outlive this object.
    PlatformState(boost::asio::io_context &io, const DirectSettings &settings,
                  const PlatformAdapter &adapter, store::CollectionStore &store,
                  decision::ServerSelector &serverSelector, ServerConnections &connections,
                  PeerExchange &peers, Log &log, std::mt19937_64 &random);

    /// Starts to watch the store.
    void start();

    /// Asks the store or another router for a younger proof of the plan when it is time to.
    void refreshPlanProof();

    /// @return the newest plan known, nullptr when there is none yet
    const TrafficPlanPtr &plan() const { return m_plan; }
    /// @return the plan by which requests are handled; nullptr when there is none, or other routers
    ///         know a newer one, or may do so, which the store lacks since it was restored from a
    ///         copy: the operators will write it again
    TrafficPlanPtr planInForce() const;
    /// @return time since the plan was last proved to be the newest one
    Duration planAge() const { return m_planProofs.age(BootClock::now()); }
    bool hasServers() const { return !m_servers.empty(); }
    /// Called when the store was restored from a copy that may lack what this router wrote; set by
    /// the owner.
    std::function<void()> onStoreRestored;

private:
    void watchPlans();
    void watchServers();
    void watchZones();
    void watchRouters();
    /// How the changes of a collection reach the routers that don't watch it themselves.
    enum class Relaying { Changes, NoticeOnly };
    store::CollectionWatcher *watch(const store::WatcherSettings &settings,
                                    store::WatcherHooks hooks, Relaying relaying);
    void relayChanges(const std::string &collection, store::WatcherHooks &hooks);
    void recordStoreRevision(StoreRevision revision, BootTime at);
    void handleRestore(const std::string &collection, StoreRevision revision);
    void scheduleNotice();
    void sendNotice(std::vector<wire::CollectionNotice> collections);
    void handleStoreNotice(const wire::StoreNotice &notice);
    void handlePlanProof(const decision::PlanProofAnswer &answer);
    void recordPlanElsewhere(std::uint64_t version, StoreRevision revision);
    bool isPlanOutdated() const;
    bool isOutdatedServer(const store::Item &known, const store::Item &restored) const;
    void updatePlan(const store::Item &item);
    void updateServer(const store::Item &item);
    void removeServer(const std::string &name);
    void setZoneOut(const std::string &zone, bool out);

    boost::asio::io_context &m_io;
    const PlatformAdapter &m_adapter;
    store::CollectionStore &m_store;
    decision::ServerSelector &m_serverSelector;
    ServerConnections &m_connections;
    PeerExchange &m_peers;
    Log &m_log;
    std::mt19937_64 &m_random;
    TrafficPlanPtr m_plan;
    std::uint64_t m_newestPlanElsewhere = 0; ///< version that another router has
    StoreRevision m_newestPlanSeenAt;        ///< a revision at which that router had it
    TimePoint m_newestPlanHeardAt{};         ///< when the last router told so
    decision::PlanProofs m_planProofs;
    std::map<std::string, DirectServer> m_servers;
    std::set<ZoneId> m_zonesOut;
    StoreRevision m_newestRevision; ///< that the store is known to have reached
    StoreRelay m_relay;
    RestoreCatchUp m_catchUp;
    std::uint64_t m_restoredEra = 0; ///< the newest one of which onStoreRestored was told
    bool m_isNoticeScheduled = false;
    TimePoint m_startedAt{};
    std::vector<std::unique_ptr<store::CollectionWatcher>> m_watchers;
    store::CollectionWatcher *m_planWatcher = nullptr; ///< one of the watchers
};

} // namespace bilberry::direct

#endif
