#ifndef BILBERRY_STORE_COLLECTIONWATCHER_H
#define BILBERRY_STORE_COLLECTIONWATCHER_H

#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace bilberry::store {

struct WatcherSettings
{
    std::string collection; ///< name of the watched collection
    /// Maximum wait of one watch call; also the time after which a silent connection is noticed.
    Duration maxWait = std::chrono::seconds(2);
    /// Maximum duration of a call in addition to its wait.
    Duration callLimit = std::chrono::milliseconds(900);
    /// Delay between changes and the next watch call, so that one answer carries several changes.
    Duration coalescingDelay = std::chrono::milliseconds(150);
    /// Time after which the watcher asks the store, when recordStoreRevision() tells a revision
    /// that its watch call has not reported: the change belongs to another collection, or the
    /// connection is silent. Absent: never, the watch call's own limit is enough.
    std::optional<Duration> behindLimit;
    Duration firstBackoff = std::chrono::milliseconds(150); ///< after the first failed call
    Duration maxBackoff = std::chrono::milliseconds(800);
    /// After an outage at least this long, items of live writers may have expired in the store.
    Duration outageThreshold = std::chrono::seconds(1);
    /// Time after such an outage in which expired items may return before they count as removed.
    Duration returnGracePeriod = std::chrono::milliseconds(1900);
    bool operator==(const WatcherSettings &) const = default;
};

/// Callbacks of a CollectionWatcher; all of them must be set.
struct WatcherHooks
{
    std::function<void(const Item &)> onItemChanged;
    std::function<void(const std::string &name)> onItemRemoved;
    /// An item disappeared during an outage or shortly after; onItemRemoved follows unless it
    /// returns in time.
    std::function<void(const std::string &name)> onItemMissing;
    std::function<void(const std::string &name)> onItemReturned;
    /// The known items were current at this time, when the whole store was at this revision.
    std::function<void(StoreRevision, BootTime at)> onConfirmedCurrent;
    std::function<void(std::error_code)> onStoreLost; ///< the first failed call after a success
    std::function<void()> onStoreRegained;            ///< the first successful call after a failure
    /// The whole store was at this revision at this time. May be unset.
    std::function<void(StoreRevision, BootTime at)> onStoreRevision;
};

/// Keeps up with one collection: lists it, watches it, and lists it again when the history has
/// expired or a call fails. Items that disappear during an outage or shortly after are reported as
/// removed only when WatcherSettings::returnGracePeriod has passed.
class CollectionWatcher
{
public:
    /// @param store must outlive this object
    /// @param random returns a number in [0, 1), for the jitter of the backoff
    CollectionWatcher(boost::asio::io_context &context, CollectionStore &store,
                      WatcherSettings settings, WatcherHooks hooks, std::function<double()> random);
    ~CollectionWatcher();

    /// Starts watching; the destructor stops it.
    void start();

    /// Records what another collection's watcher has learned of the same store. While the store's
    /// revision is the one up to which this collection is known, the collection is current without
    /// a call of its own.
    /// @param revision of the whole store
    /// @param at when the store was at that revision
    void recordStoreRevision(StoreRevision revision, BootTime at);

    /// Asks the store whether the collection is current, beside the watch call that waits for
    /// changes. Does nothing while such a question is open or the store is out of reach.
    void check();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::store

#endif
