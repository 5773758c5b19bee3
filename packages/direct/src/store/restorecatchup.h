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
/// restore, or returns, would otherwise take the copy for the newest state.
class RestoreCatchUp
{
public:
    /// @param planVersion returns the version of the newest plan known here
    /// @param planAge returns the time since that plan was last proved to be the newest one
    RestoreCatchUp(PeerExchange &peers, std::function<std::uint64_t()> planVersion,
                   std::function<Duration()> planAge, Log &log);

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

    /// What another router holds.
    struct Answer
    {
        std::uint64_t query = 0;
        bool isUsable = false; ///< whole, and of a router that ran before the restore
        Duration knowledgeAge{};
        std::vector<wire::HeldItemNotice> items;
    };

    StoreRevision knownRevision() const;
    std::uint64_t newestEra() const;
    bool isListed() const;
    void answer(const wire::RestoredStateQuery &query);
    void handleReply(const wire::RestoredStateReply &reply);
    void end();
    void takeOver();

    PeerExchange &m_peers;
    std::function<std::uint64_t()> m_planVersion;
    std::function<Duration()> m_planAge;
    Log &m_log;
    decision::RestoreInquiry m_inquiry;
    std::vector<Collection> m_collections;
    StoreRevision m_answeredRevision; ///< the newest one up to which another router knows the plans
    std::uint64_t m_era = 0;          ///< of the inquiry
    std::map<RouterId, Answer> m_answers;
    /// Age of what this router knew when it learned of the restore; unset before there was any.
    Duration m_knowledgeAge = Duration::max();
    bool m_hasStarted = false; ///< all collections were listed once
    bool m_isStartInquiry = false;
};

} // namespace bilberry::direct

#endif
