#ifndef BILBERRY_DIRECT_RESTORECATCHUP_H
#define BILBERRY_DIRECT_RESTORECATCHUP_H

#include "peers/peerexchange.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/restoreinquiry.h"
#include "bilberry/store/collectionwatcher.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberry::direct {

/// Lets a router learn from the others what the store lacks since it was restored from a copy: a
/// newer plan, zones that are out, servers that are leaving or were lost. One that starts after the
/// restore, or returns, would otherwise take the copy for the newest state.
class RestoreCatchUp
{
public:
    /// @param planVersion version of the plan in force here
    RestoreCatchUp(PeerExchange &peers, std::function<std::uint64_t()> planVersion, Log &log);

    /// Adds a collection, which must be known before the others can be asked.
    /// @param watcher must outlive this object
    void add(const std::string &collection, store::CollectionWatcher &watcher);

    /// Starts an inquiry, as the store was restored while this router ran.
    /// @param era of the restored store; the others are asked when all collections are known in it
    void begin(std::uint64_t era);
    /// Continues the inquiry that is open; to be called often.
    void update();

    /// @return true while others may know more than the store
    bool isOpen() const { return m_inquiry.isOpen() || isStarting(); }
    /// @return true while this router knows nothing but a restored store
    bool isStarting() const;

    /// Called with the plan that another router has; set by the owner.
    std::function<void(std::uint64_t version, StoreRevision revision)> onPlanElsewhere;
    /// Called at the end of an inquiry; set by the owner.
    std::function<void()> onEnd;

private:
    struct Collection
    {
        std::string name;
        store::CollectionWatcher *watcher = nullptr;
    };

    StoreRevision knownRevision() const;
    std::uint64_t newestEra() const;
    bool isListed() const;
    void answer(const wire::RestoredStateQuery &query);
    void handleReply(const wire::RestoredStateReply &reply);
    void applyHeld(const wire::RestoredStateReply &reply);

    PeerExchange &m_peers;
    std::function<std::uint64_t()> m_planVersion;
    Log &m_log;
    decision::RestoreInquiry m_inquiry;
    std::vector<Collection> m_collections;
    StoreRevision m_answeredRevision; ///< the newest one up to which another router knows the plans
    std::uint64_t m_era = 0;          ///< of the inquiry
    std::size_t m_heldCount = 0;      ///< items that others hold, in this inquiry
    bool m_hasStarted = false;        ///< all collections were listed once
    bool m_isStartInquiry = false;
};

} // namespace bilberry::direct

#endif
