#ifndef BILBERRY_STORE_THREADEDCOLLECTIONSTORE_H
#define BILBERRY_STORE_THREADEDCOLLECTIONSTORE_H

#include "bilberry/base/eventloopthread.h"
#include "bilberry/store/collectionstore.h"

#include <functional>
#include <memory>

namespace bilberry::store {

/// Runs another store's calls on a thread of its own and returns their results on the caller's
/// executor. A long answer takes many reads, which on a busy event loop would wait for all other
/// work between each two. Callers bound the number of calls in progress.
class ThreadedCollectionStore : public CollectionStore
{
public:
    /// @param open creates the store on the thread's event loop
    explicit ThreadedCollectionStore(
            const std::function<std::unique_ptr<CollectionStore>(boost::asio::io_context &)> &open);
    ~ThreadedCollectionStore() override;
    /// Ends the thread. Calls in progress don't return.
    void stop() { m_thread.stop(); }

    boost::asio::awaitable<Result<Snapshot>> list(std::string collection, Duration limit) override;
    boost::asio::awaitable<Result<Changes>> watch(std::string collection, StoreRevision since,
                                                  Duration wait, Duration limit) override;
    boost::asio::awaitable<Status> put(std::string collection, Item item, Duration limit) override;
    boost::asio::awaitable<Status> remove(std::string collection, std::string name,
                                          Duration limit) override;

private:
    EventLoopThread m_thread{"store"};
    std::unique_ptr<CollectionStore> m_store;
};

} // namespace bilberry::store

#endif
