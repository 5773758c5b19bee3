#ifndef BILBERRY_DIRECT_STORERELAY_H
#define BILBERRY_DIRECT_STORERELAY_H

#include "bilberry/base/log.h"
#include "bilberry/store/changelog.h"
#include "bilberry/store/collectionwatcher.h"
#include "bilberry/wire/gossipmessages.h"

#include <functional>
#include <string>
#include <vector>

namespace bilberry::direct {

/// Lets two routers watch the store for all: these relay what changes, and show to the others each
/// second that nothing else did. A router that hears of neither in time watches the store itself,
/// so that the calls of a fleet don't grow with its routers.
class StoreRelay
{
public:
    /// @param send sends the collections of a notice to all other routers
    StoreRelay(std::function<void(std::vector<wire::CollectionNotice>)> send, Log &log);

    /// @param relaysValues false when only the fact of a change is relayed
    /// @param leaderPause pause of the watch after changes while this router relays them
    void add(const std::string &collection, store::CollectionWatcher &watcher, bool relaysValues,
             Duration leaderPause, Duration usualPause);

    /// Records what the collection's watcher has applied.
    void recordChange(const std::string &collection, const store::ItemChange &change);
    /// Records that the store was restored from a copy, whose changes aren't relayed.
    /// @param revision up to which the collection is known now
    void recordRestored(const std::string &collection, StoreRevision revision);
    /// Records that the items known were the newest ones.
    void recordCurrent(const std::string &collection, BootTime at);

    /// @param isLeader true when this router watches the store for the others
    void setLeader(bool isLeader);
    bool isLeader() const { return m_isLeader; }
    /// Tells the other routers what has been learned since the last notice, and what they may rely
    /// on. Does nothing unless this router is a leader.
    void send();

    /// Applies what a leader has learned. A leader applies nothing: it asks the store itself.
    void receive(const wire::CollectionNotice &notice);

private:
    struct Collection
    {
        std::string name;
        store::CollectionWatcher *watcher = nullptr;
        bool relaysValues = true;
        Duration leaderPause{};
        Duration usualPause{};
        store::ChangeLog log;
        BootTime currentAt{};
    };

    Collection *find(const std::string &name);

    std::function<void(std::vector<wire::CollectionNotice>)> m_send;
    Log &m_log;
    std::vector<Collection> m_collections;
    bool m_isLeader = false;
};

} // namespace bilberry::direct

#endif
