#ifndef BILBERRY_STORE_COLLECTIONWATCHER_H
#define BILBERRY_STORE_COLLECTIONWATCHER_H

#include "bilberry/store/collectionstore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>

namespace bilberry::store {

struct WatcherSettings
{
    std::string collection;
    /// Longest wait of one call; also the age at which a silent connection is noticed.
    Duration maxWait = std::chrono::seconds(2);
    Duration callLimit = std::chrono::milliseconds(900);
    /// After changes the next call waits so long, so that one answer carries several of them.
    Duration coalescingDelay = std::chrono::milliseconds(150);
    Duration firstBackoff = std::chrono::milliseconds(150); ///< after one failed call
    Duration maxBackoff = std::chrono::milliseconds(800);
    /// An outage at least this long may have lapsed entries of living writers.
    Duration outageThreshold = std::chrono::seconds(1);
    /// Time for lapsed entries to come back after an outage, before they count as gone.
    Duration returnGracePeriod = std::chrono::milliseconds(1900);
    bool operator==(const WatcherSettings &) const = default;
};

/// What a watcher tells its owner.
struct WatcherHooks
{
    std::function<void(const Item &)> onItemChanged;
    std::function<void(const std::string &name)> onItemRemoved;
    /// An item vanished around an outage; it is removed later unless it returns.
    std::function<void(const std::string &name)> onItemMissing;
    std::function<void(const std::string &name)> onItemReturned;
    /// The collection was known to be current at that time.
    std::function<void(TimePoint at)> onConfirmedCurrent;
    std::function<void(std::error_code)> onStoreLost; ///< a call failed after a success
    std::function<void()> onStoreRegained;            ///< a call succeeded after a failure
};

/// Follows one collection: lists it, watches it, and lists again when history is gone or calls
/// fail. Entries that vanish around an outage count as removed only after some time to return.
class CollectionWatcher
{
public:
    /// @param store outlives this object
    /// @param random number below 1, for jitter
    CollectionWatcher(boost::asio::io_context &context, CollectionStore &store,
                      WatcherSettings settings, WatcherHooks hooks, std::function<double()> random);
    ~CollectionWatcher();

    /// Starts following; ends with the object.
    void start();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace bilberry::store

#endif
