#ifndef BILBERRY_STORE_COLLECTIONSTORE_H
#define BILBERRY_STORE_COLLECTIONSTORE_H

#include "bilberry/base/time.h"
#include "bilberry/model/storerevision.h"
#include "bilberry/store/storeerror.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::store {

/// One object of a collection.
struct Item
{
    std::string name;
    std::string value; ///< JSON text; the platform adapter decodes it into the product's types
    bool operator==(const Item &) const = default;
};

/// An item that was created, replaced or removed.
struct ItemChange
{
    Item item;
    bool removed = false; ///< false: created or replaced
    bool operator==(const ItemChange &) const = default;
};

/// All items of a collection at its revision or a later one.
struct Snapshot
{
    std::vector<Item> items;
    StoreRevision revision = 0; ///< start of the next watch()
    bool operator==(const Snapshot &) const = default;
};

/// Changes since a revision; empty if nothing changed during the wait.
struct Changes
{
    std::vector<ItemChange> changes;
    StoreRevision revision = 0; ///< start of the next watch()
    bool operator==(const Changes &) const = default;
};

/// What a watcher of the same collection elsewhere knows.
struct RelayedChanges
{
    /// A change, and the revision up to which its watcher knew the collection with it.
    struct Change
    {
        StoreRevision revision = 0;
        ItemChange change;
        bool operator==(const Change &) const = default;
    };

    StoreRevision base = 0;      ///< all changes after it are listed, up to `revision`
    StoreRevision revision = 0;  ///< up to which the other watcher knows the collection
    std::vector<Change> changes; ///< oldest first; also some up to `base`; all of one era
    bool operator==(const RelayedChanges &) const = default;
};

/// Named collections in a platform's store. Each implementation translates the protocol of one
/// platform.
class CollectionStore
{
public:
    virtual ~CollectionStore() = default;

    /// Lists a collection.
    /// @param collection name of the collection
    /// @param limit maximum duration of each HTTP call
    /// @return all items, or RateLimited, Unavailable, Malformed
    virtual boost::asio::awaitable<Result<Snapshot>> list(std::string collection, Duration limit)
            = 0;

    /// Waits for changes of a collection.
    /// @param since revision of the last Snapshot or Changes
    /// @param wait maximum wait for a change
    /// @param limit maximum duration of the call in addition to the wait
    /// @return the changes, or HistoryExpired, or an error of list()
    virtual boost::asio::awaitable<Result<Changes>>
    watch(std::string collection, StoreRevision since, Duration wait, Duration limit) = 0;

    /// Creates an item or replaces it unconditionally.
    /// @param limit maximum duration of each HTTP call
    /// @return success, or RateLimited, Unavailable, OutcomeUnknown
    virtual boost::asio::awaitable<Status> put(std::string collection, Item item, Duration limit)
            = 0;

    /// Removes an item; succeeds if there is no such item.
    /// @return success, or an error of put()
    virtual boost::asio::awaitable<Status> remove(std::string collection, std::string name,
                                                  Duration limit)
            = 0;
};

} // namespace bilberry::store

#endif
