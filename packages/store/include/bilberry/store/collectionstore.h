#ifndef BILBERRY_STORE_COLLECTIONSTORE_H
#define BILBERRY_STORE_COLLECTIONSTORE_H

#include "bilberry/base/time.h"
#include "bilberry/store/storeerror.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry::store {

/// Revision of a whole store; rises with each change.
using StoreRevision = std::uint64_t;

/// One object of a collection.
struct Item
{
    std::string name;
    std::string value; ///< JSON text; platform adapters decode it into the product's types
    bool operator==(const Item &) const = default;
};

/// A change of a collection.
struct ItemChange
{
    Item item;
    bool removed = false;
    bool operator==(const ItemChange &) const = default;
};

/// A whole collection as it was at one revision or later.
struct Snapshot
{
    std::vector<Item> items;
    StoreRevision revision = 0; ///< to watch from
    bool operator==(const Snapshot &) const = default;
};

/// Changes since a revision; empty when nothing changed during the wait.
struct Changes
{
    std::vector<ItemChange> changes;
    StoreRevision revision = 0; ///< to watch from next
    bool operator==(const Changes &) const = default;
};

/// Access to named collections of a platform's store; an implementation translates one platform's
/// protocol.
class CollectionStore
{
public:
    virtual ~CollectionStore() = default;

    /// @param collection name of the collection
    /// @param limit longest duration of the call
    /// @return all items, or RateLimited, Unavailable, Malformed
    virtual boost::asio::awaitable<Result<Snapshot>> list(std::string collection, Duration limit)
            = 0;

    /// Waits for changes.
    /// @param since revision of the last snapshot or changes
    /// @param wait longest wait for a change
    /// @param limit longest duration of the call beyond the wait
    /// @return the changes, or HistoryExpired, or an error of list()
    virtual boost::asio::awaitable<Result<Changes>>
    watch(std::string collection, StoreRevision since, Duration wait, Duration limit) = 0;

    /// Creates an item or replaces it, whatever it holds.
    /// @return success, or RateLimited, Unavailable, OutcomeUnknown
    virtual boost::asio::awaitable<Status> put(std::string collection, Item item, Duration limit)
            = 0;

    /// Removes an item; one that is not there counts as removed.
    virtual boost::asio::awaitable<Status> remove(std::string collection, std::string name,
                                                  Duration limit)
            = 0;
};

} // namespace bilberry::store

#endif
