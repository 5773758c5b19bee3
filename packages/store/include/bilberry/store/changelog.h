#ifndef BILBERRY_STORE_CHANGELOG_H
#define BILBERRY_STORE_CHANGELOG_H

#include "bilberry/store/collectionstore.h"

#include <cstddef>
#include <deque>

namespace bilberry::store {

/// The newest changes of a collection, to be relayed to those that don't watch it themselves.
class ChangeLog
{
public:
    /// @param lifetime time for which a change is repeated, since messages may be lost
    /// @param maxBytes limit of the names and values; older changes are dropped
    ChangeLog(Duration lifetime, std::size_t maxBytes) : m_lifetime(lifetime), m_maxBytes(maxBytes)
    {
    }

    /// Adds a change.
    /// @param revision up to which the collection is known with it
    void add(const ItemChange &change, StoreRevision revision, TimePoint now);

    /// Drops all changes: the store was restored from a copy, and what has changed by that isn't
    /// known from its history.
    /// @param revision up to which the collection is known
    void restart(StoreRevision revision);

    /// @param revision up to which the collection is known
    /// @return the changes, and the revision from which on they are all
    RelayedChanges relay(StoreRevision revision, TimePoint now);

private:
    struct Entry
    {
        RelayedChanges::Change change;
        TimePoint addedAt{};
    };

    void dropOldest();
    static std::size_t sizeOf(const Entry &entry);

    Duration m_lifetime;
    std::size_t m_maxBytes;
    std::deque<Entry> m_entries;
    std::size_t m_bytes = 0;
    StoreRevision m_base = 0; ///< of the newest change that was dropped
    bool m_isStarted = false;
};

} // namespace bilberry::store

#endif
