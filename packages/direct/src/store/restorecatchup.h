#ifndef BILBERRY_DIRECT_RESTORECATCHUP_H
#define BILBERRY_DIRECT_RESTORECATCHUP_H

#include "peers/peerexchange.h"

#include "bilberry/base/log.h"
#include "bilberry/decision/restoreinquiry.h"
#include "bilberry/store/collectionwatcher.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberry::direct {

/// Lets a router learn from the others what the store lacks since it was restored from a copy: a
/// newer plan, zones that are out, servers that are leaving or were lost. One that starts after the
/// restore, or was cut off before it, would otherwise take the copy for the newest state.
class RestoreCatchUp
{
public:
    /// @param planVersion returns the version of the newest plan known here
    /// @param planAge returns the time since that plan was last proved to be the newest one
    RestoreCatchUp(PeerExchange &peers, std::function<std::uint64_t()> planVersion,
                   std::function<Duration()> planAge, Log &log);

    /// Adds a collection, which must be known before the others can be asked. The plans come first.
    /// @param watcher must outlive this object
    void add(const std::string &collection, store::CollectionWatcher &watcher);

    /// Records that the store was restored while this router ran.
    void recordRestore(std::uint64_t era);
    /// Starts, continues and ends inquiries; to be called often.
    void update();

    /// @return true while others may know more than the store
    bool isOpen() const { return m_stage == Stage::Asking || isStarting(); }
    /// @return true while this router knows nothing but a restored store
    bool isStarting() const;

    /// Called with the plan that another router has; set by the owner.
    std::function<void(std::uint64_t version, StoreRevision revision)> onPlanElsewhere;
    /// Called at the end of an inquiry; set by the owner.
    std::function<void()> onEnd;

private:
    enum class Stage {
        Unlisted, ///< not all collections are known yet
        AskingAtStart,
        Asking, ///< as the store was restored while this router ran
        Settled,
    };

    struct Collection
    {
        std::string name;
        store::CollectionWatcher *watcher = nullptr;
    };

    /// What another router holds.
    struct Answer
    {
        std::uint64_t query = 0;
        Duration knowledgeAge{};
        bool isStarting = false; ///< the router has started since the restore
        std::map<std::uint32_t, std::vector<wire::HeldItemNotice>> parts;
    };

    StoreRevision planRevision() const { return m_collections.front().watcher->revision(); }
    StoreRevision knownRevision() const;
    std::uint64_t newestEra() const;
    bool isListed() const;
    void startInquiry(Stage stage);
    void endInquiry();
    void adoptHeldItems();
    void answer(const wire::RestoredStateQuery &query);
    std::vector<std::vector<wire::HeldItemNotice>> heldItemParts() const;
    void handleReply(const wire::RestoredStateReply &reply);

    PeerExchange &m_peers;
    std::function<std::uint64_t()> m_planVersion;
    std::function<Duration()> m_planAge;
    Log &m_log;
    decision::RestoreInquiry m_inquiry;
    std::vector<Collection> m_collections;
    Stage m_stage = Stage::Unlisted;
    std::uint64_t m_era = 0;     ///< of the last restore that was recorded
    StoreRevision m_newerPlanAt; ///< a revision at which another router had a newer plan
    std::map<RouterId, Answer> m_answers;
    /// Age of what this router knew of the store when it learned of the restore.
    Duration m_knowledgeAge;
};

} // namespace bilberry::direct

#endif
