#ifndef BILBERRY_STORE_KNOWNITEMS_H
#define BILBERRY_STORE_KNOWNITEMS_H

#include "bilberry/store/collectionwatcher.h"
#include "bilberry/store/heldstates.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberry::store {

/// The items of one collection as a watcher knows them. Reports each change to the watcher's hooks,
/// keeps items that may return after an outage, and those that a restored store has in an older
/// state.
class KnownItems : public std::enable_shared_from_this<KnownItems>
{
public:
    /// @param settings of the watcher; must be valid until stop()
    /// @param hooks of the watcher; must be valid until stop()
    KnownItems(boost::asio::io_context &context, const WatcherSettings &settings,
               const WatcherHooks &hooks);

    /// Calls no hook any more.
    void stop();

    /// Applies a list of all items.
    void applySnapshot(const std::vector<Item> &items);
    /// Applies the first list after the store was restored from a copy: keeps what is known where
    /// the copy is older.
    void applyRestored(const std::vector<Item> &items);
    /// Applies the newest change of each item only: an earlier one may be older than what is known
    /// by another way.
    void applyNewest(const std::map<std::string, const ItemChange *> &newest);

    /// @return the items whose state in the restored store is older than the known one
    std::vector<HeldItem> heldItems() const;
    /// Takes over what another watcher holds, where this one knows the copy only.
    void adoptHeldItems(const std::vector<HeldItem> &items);
    /// Follows the restored store where an item is held but isn't among these.
    void releaseHeldExcept(const std::set<std::string> &names);

    /// Lets items that disappear until a point in time return before they count as removed.
    void allowReturns(TimePoint until) { m_returnDeadline = until; }
    /// @return true while items have disappeared that may return
    bool hasMissing() const { return !m_missingNames.empty(); }

private:
    void holdNewerStates(const std::vector<Item> &items);
    bool isOlder(const Item &known, const Item &restored) const;
    void scheduleHeldEnd();
    void applyCopy(const std::string &name, const HeldStates::ItemState &copy);
    void applyWritten(const Item &item);
    void applyRemoval(const std::string &name);
    void applyItem(const Item &item);
    void handleDisappearance(const std::string &name);
    void removeItem(const std::string &name);

    const WatcherSettings &m_settings;
    const WatcherHooks &m_hooks;
    boost::asio::steady_timer m_returnTimer;
    boost::asio::steady_timer m_heldTimer;
    std::map<std::string, std::string> m_valuesByName;
    std::set<std::string> m_missingNames; ///< disappeared, may return until m_returnDeadline
    std::map<std::string, std::string> m_removedValues; ///< last values of removed items
    HeldStates m_held;
    std::optional<TimePoint> m_returnDeadline;
    bool m_isStopped = false;
};

} // namespace bilberry::store

#endif
