#include "bilberry/store/threadedcollectionstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace bilberry::store {

namespace asio = boost::asio;

namespace {

/// co_spawn() needs a result type with a default constructor.
template <typename T>
asio::awaitable<std::optional<T>> toOptional(asio::awaitable<T> call)
{
    std::optional<T> result = co_await std::move(call);
    co_return result;
}

template <typename T>
asio::awaitable<T> runOn(asio::io_context &context, asio::awaitable<T> call)
{
    std::optional<T> result
            = co_await asio::co_spawn(context, toOptional(std::move(call)), asio::use_awaitable);
    co_return *std::move(result);
}

} // namespace

ThreadedCollectionStore::ThreadedCollectionStore(
        const std::function<std::unique_ptr<CollectionStore>(asio::io_context &)> &open)
    : m_store(open(m_thread.context()))
{
    m_thread.start();
}

ThreadedCollectionStore::~ThreadedCollectionStore()
{
    m_thread.stop();
}

asio::awaitable<Result<Snapshot>> ThreadedCollectionStore::list(std::string collection,
                                                                Duration limit)
{
    return runOn(m_thread.context(), m_store->list(std::move(collection), limit));
}

asio::awaitable<Result<Changes>> ThreadedCollectionStore::watch(std::string collection,
                                                                StoreRevision since, Duration wait,
                                                                Duration limit)
{
    return runOn(m_thread.context(), m_store->watch(std::move(collection), since, wait, limit));
}

asio::awaitable<Status> ThreadedCollectionStore::put(std::string collection, Item item,
                                                     Duration limit)
{
    return runOn(m_thread.context(), m_store->put(std::move(collection), std::move(item), limit));
}

asio::awaitable<Status> ThreadedCollectionStore::remove(std::string collection, std::string name,
                                                        Duration limit)
{
    return runOn(m_thread.context(),
                 m_store->remove(std::move(collection), std::move(name), limit));
}

} // namespace bilberry::store
