#ifndef BILBERRY_STORE_HELDSTATES_H
#define BILBERRY_STORE_HELDSTATES_H

#include "bilberry/base/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace bilberry::store {

/// Items of a restored store whose listed states are older than the known ones, which stay in force
/// until the items are written again.
class HeldStates
{
public:
    /// Value of an item; absent when there is none.
    using ItemState = std::optional<std::string>;

    struct Held
    {
        ItemState copy;
        std::optional<TimePoint> until; ///< absent: until the item is written again
        bool operator==(const Held &) const = default;
    };

    /// Holds an item.
    /// @param copy state in the restored store
    /// @param until absent: until the item is written again
    void hold(const std::string &name, ItemState copy, std::optional<TimePoint> until);

    /// @return true when the item is held and the listed state is still that of the copy
    bool isCopy(const std::string &name, const ItemState &listed) const;
    /// @return true when the item was held
    bool release(const std::string &name) { return m_items.erase(name) > 0; }
    /// Releases the items of the copy that are listed no more.
    void releaseUnlisted(const std::set<std::string> &listedNames);
    void clear() { m_items.clear(); }

    /// @return when the next hold ends
    std::optional<TimePoint> nextEnd() const;
    /// @return the items whose holds have ended, with their states in the restored store
    std::map<std::string, ItemState> takeEnded(TimePoint now);

    const std::map<std::string, Held> &items() const { return m_items; }

private:
    std::map<std::string, Held> m_items;
};

} // namespace bilberry::store

#endif
