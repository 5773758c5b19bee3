#ifndef BILBERRY_DIRECT_PLATFORMSTATE_H
#define BILBERRY_DIRECT_PLATFORMSTATE_H

#include "peerexchange.h"
#include "serverconnections.h"
#include "storerelay.h"

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

    /// @return the plan in force, nullptr when there is none yet
    const TrafficPlanPtr &plan() const { return m_plan; }
    /// @return time since the plan was last proved to be the newest one
    Duration planAge() const { return m_planProofs.age(BootClock::now()); }
    bool hasServers() const { return !m_servers.empty(); }

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
    void recordStoreRevision(store::StoreRevision revision, BootTime at);
    void scheduleNotice();
    void sendNotice(std::vector<wire::CollectionNotice> collections);
    void handleStoreNotice(const wire::StoreNotice &notice);
    void handlePlanProof(const decision::PlanProofAnswer &answer);
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
    decision::PlanProofs m_planProofs;
    std::map<std::string, DirectServer> m_servers;
    std::set<ZoneId> m_zonesOut;
    store::StoreRevision m_newestRevision = 0; ///< that the store is known to have reached
    StoreRelay m_relay;
    bool m_isNoticeScheduled = false;
    TimePoint m_startedAt{};
    std::vector<std::unique_ptr<store::CollectionWatcher>> m_watchers;
    store::CollectionWatcher *m_planWatcher = nullptr; ///< one of the watchers
};

} // namespace bilberry::direct

#endif
