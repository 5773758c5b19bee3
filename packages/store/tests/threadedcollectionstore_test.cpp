#include "bilberry/store/threadedcollectionstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace bilberry;
using namespace bilberry::store;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// Reads of a long answer, such as a list of many servers.
constexpr int readsPerAnswer = 100;

/// Needs many rounds of its event loop for each answer.
class LongAnswerStore : public CollectionStore
{
public:
    explicit LongAnswerStore(asio::io_context &context) : m_context(context) {}

    asio::awaitable<Result<Snapshot>> list(std::string collection, Duration) override
    {
        for (int i = 0; i < readsPerAnswer; ++i)
            co_await asio::post(m_context, asio::use_awaitable);
        const bool isKnown = collection == "things";
        if (!isKnown)
            co_return StoreErrc::Unavailable;
        co_return Snapshot{{{"a", "1"}}, 10};
    }
    asio::awaitable<Result<Changes>> watch(std::string, StoreRevision since, Duration,
                                           Duration) override
    {
        co_return Changes{{}, since};
    }
    asio::awaitable<Status> put(std::string, Item, Duration) override { co_return success(); }
    asio::awaitable<Status> remove(std::string, std::string, Duration) override
    {
        co_return StoreErrc::RateLimited;
    }

private:
    asio::io_context &m_context;
};

/// An event loop on which a handler of 5 ms is always ready.
struct BusyLoop
{
    void work()
    {
        asio::post(context, [this] {
            std::this_thread::sleep_for(5ms);
            if (!done)
                work();
        });
    }

    asio::io_context context;
    bool done = false;
};

/// @return the time that one list() takes on the busy loop
Duration timeOfList(BusyLoop &loop, CollectionStore &store)
{
    std::optional<Result<Snapshot>> result;
    const auto call = [&]() -> asio::awaitable<void> {
        const Result<Snapshot> listed = co_await store.list("things", 1s);
        result = listed;
        loop.done = true;
    };
    loop.work();
    asio::co_spawn(loop.context, call, asio::detached);
    const TimePoint start = Clock::now();
    loop.context.run();
    REQUIRE(result);
    REQUIRE(*result);
    CHECK(result->value().revision == 10);
    return Clock::now() - start;
}

} // namespace

SCENARIO("pattern: a long answer of the store arrives at a busy router")
{
    GIVEN("an event loop that always has other work")
    {
        BusyLoop loop;
        WHEN("the store's calls run on a thread of their own")
        {
            ThreadedCollectionStore store([](asio::io_context &context) {
                return std::make_unique<LongAnswerStore>(context);
            });
            THEN("an answer doesn't wait for the other work between its reads")
            {
                CHECK(timeOfList(loop, store) < 100ms);
            }
            THEN("errors are returned unchanged")
            {
                std::optional<Status> removed;
                const auto call = [&]() -> asio::awaitable<void> {
                    const Status status = co_await store.remove("things", "a", 1s);
                    removed = status;
                };
                asio::co_spawn(loop.context, call, asio::detached);
                loop.context.run();
                REQUIRE(removed);
                CHECK(removed->error() == StoreErrc::RateLimited);
            }
        }
        WHEN("they run on the busy loop")
        {
            LongAnswerStore store(loop.context);
            THEN("an answer takes a round of the loop for each read")
            {
                CHECK(timeOfList(loop, store) > 400ms);
            }
        }
    }
}
