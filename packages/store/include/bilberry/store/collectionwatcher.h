#ifndef BILBERRY_STORE_COLLECTIONWATCHER_H
#define BILBERRY_STORE_COLLECTIONWATCHER_H

#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberry::store {

struct WatcherSettings
{
    std::string collection;                     ///< name of the watched collection
    Duration maxWait = std::chrono::seconds(2); ///< of one watch call
    /// Maximum duration of a call in addition to its wait.
    Duration callLimit = std::chrono::milliseconds(900);
    /// Delay between changes and the next watch call, so that one answer carries several changes.
    Duration coalescingDelay = std::chrono::milliseconds(150);
    /// Time after which the watcher asks the store, when it learns of a revision that its watch
    /// call has not reported: the change belongs to another collection, or the connection is
    /// silent. Absent: never, the owner calls check().
    std::optional<Duration> behindLimit;
    /// Minimum time between two such questions.
    Duration checkInterval = std::chrono::seconds(1);
    /// Time in which an open watch call must deliver changes that such a question has found;
    /// afterwards its connection counts as silent, and another call takes its place.
    Duration silenceLimit = std::chrono::milliseconds(250);
    Duration firstBackoff = std::chrono::milliseconds(150); ///< after the first failed call
    Duration maxBackoff = std::chrono::milliseconds(800);
    /// After an outage at least this long, items of live writers may have expired in the store.
    Duration outageThreshold = std::chrono::seconds(1);
    /// Time after such an outage in which expired items may return before they count as removed.
    Duration returnGracePeriod = std::chrono::milliseconds(1900);
    /// Time after a restore of the store for which items that the copy lacks are kept, so that
    /// their writers can write them again. Absent: until they are written again.
    std::optional<Duration> unlistedHold = std::chrono::seconds(3);
    /// Time after a restore for which items that had been removed and that the copy has again stay
    /// removed.
    Duration removedHold{};
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
    /// A watch call missed changes and was replaced by another one. May be unset.
    std::function<void()> onWatchSilent;
    /// The relay that the watcher relied on has ended; it watches by itself. May be unset.
    std::function<void()> onRelayEnded;
    /// The store was restored from a copy, and what it lists has been applied. May be unset.
    std::function<void(StoreRevision)> onRestored;
    /// @return true when an item of a restored store is an older state of the known one, or of the
    ///         one that was removed, so that it must not be used until it is written again. Unset:
    ///         never.
    std::function<bool(const Item &known, const Item &restored)> isOutdated;
};

/// How a watcher stands to what another one has relayed.
enum class RelayResult {
    Applied,
    Gap,      ///< changes between the known revision and the relayed ones are missing
    Outdated, ///< the other one doesn't know yet that the store was restored
};

/// An item whose known state is newer than the one in a store that was restored from a copy.
struct HeldItem
{
    std::string name;
    std::optional<std::string> known; ///< absent: the item was removed
    std::optional<std::string> copy;  ///< absent: the copy lacks the item
    /// Time until the copy's state is used. Absent: until the item is written again.
    std::optional<Duration> remaining;
    bool operator==(const HeldItem &) const = default;
};

/// Keeps up with one collection: lists it, watches it, and lists it again when the history has
/// expired or a call fails. Items that disappear during an outage or shortly after are reported as
/// removed only when WatcherSettings::returnGracePeriod has passed.
///
/// A watch call that returns nothing proves nothing, as its connection may have gone silent. Only
/// an answer of the store shows that the collection is current, so that its owner has to ask now
/// and then: check(), or recordStoreRevision() with what others have learned.
///
/// When the store is restored from a copy, the collection is listed again. What was known stays in
/// force where the copy is older, until the items are written again (see WatcherSettings).
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

    /// Records that the store has reached a revision, at an unknown time.
    void recordReachedRevision(StoreRevision revision);

    /// Asks the store, unless the collection is known up to a revision by then.
    /// @param delay in which an open watch call may report the change
    void expectRevision(StoreRevision revision, Duration delay);

    /// @return revision up to which the items are known; 0 before the first list
    StoreRevision revision() const;

    /// @return false while the store is out of reach, or items that have disappeared may return
    bool isSettled() const;

    /// Applies what another watcher of the same collection knows.
    RelayResult applyRelayed(const RelayedChanges &relayed);

    /// @return what holds in place of what the restored store lists
    std::vector<HeldItem> heldItems() const;
    /// Lets what another watcher holds be in force here, for a watcher that has started since the
    /// restore, or missed what was written before. Items that were written again stay as they are.
    void adoptHeldItems(const std::vector<HeldItem> &items);
    /// Follows the restored store where an item is held but isn't among these: what this watcher
    /// knew was older than what others know.
    void releaseHeldExcept(const std::set<std::string> &names);

    /// Starts no watch call before a point in time, and asks for no revision that others have
    /// learned of: another watcher relays all changes until then.
    void relyOnRelay(TimePoint until);
    /// Starts the next watch call at once.
    void stopRelying();

    /// @param delay replaces WatcherSettings::coalescingDelay
    void setCoalescingDelay(Duration delay);

    /// Asks the store whether the collection is current, beside the watch call that waits for
    /// changes. Does nothing while such a question is open or the store is out of reach.
    void check();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::store

#endif
