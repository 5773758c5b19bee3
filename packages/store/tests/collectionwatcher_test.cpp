#include "bilberry/store/collectionwatcher.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>

using namespace bilberry;
using namespace bilberry::store;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// Answers from a script; a watch without a script waits for its whole time.
class ScriptedStore : public CollectionStore
{
public:
    explicit ScriptedStore(asio::io_context &context) : m_context(context) {}

    asio::awaitable<Result<Snapshot>> list(std::string, Duration) override
    {
        ++lists;
        if (listErrors > 0) {
            --listErrors;
            co_return StoreErrc::Unavailable;
        }
        co_return snapshot;
    }

    asio::awaitable<Result<Changes>> watch(std::string, StoreRevision since, Duration wait,
                                           Duration) override
    {
        watchedFrom.push_back(since);
        if (!watches.empty()) {
            const Result<Changes> next = watches.front();
            watches.pop_front();
            co_return next;
        }
        asio::steady_timer timer(m_context, wait);
        co_await timer.async_wait(asio::use_awaitable);
        co_return Changes{{}, since};
    }

    asio::awaitable<Status> put(std::string, Item, Duration) override { co_return success(); }
    asio::awaitable<Status> remove(std::string, std::string, Duration) override
    {
        co_return success();
    }

    Snapshot snapshot;
    int listErrors = 0;
    int lists = 0;
    std::deque<Result<Changes>> watches;
    std::vector<StoreRevision> watchedFrom;

private:
    asio::io_context &m_context;
};

struct Followed
{
    Followed()
    {
        settings.collection = "things";
        settings.maxWait = 20ms;
        settings.firstBackoff = 2ms;
        settings.maxBackoff = 10ms;
        settings.coalescingDelay = 1ms;
        settings.outageThreshold = 5ms;
        settings.returnGracePeriod = 100ms;
        hooks.onItemChanged = [this](const Item &item) { values[item.name] = item.value; };
        hooks.onItemRemoved = [this](const std::string &name) { values.erase(name); };
        hooks.onItemMissing = [this](const std::string &name) { missing.insert(name); };
        hooks.onItemReturned = [this](const std::string &name) { missing.erase(name); };
        hooks.onConfirmedCurrent = [this](TimePoint at) { provenAt = at; };
        hooks.onStoreLost = [this](std::error_code) { ++lost; };
        hooks.onStoreRegained = [this] { ++regained; };
    }

    void follow(Duration limit)
    {
        if (!watcher) {
            watcher = std::make_unique<CollectionWatcher>(context, store, settings, hooks,
                                                          [] { return 0.5; });
            watcher->start();
        }
        context.restart();
        context.run_for(limit);
    }

    ~Followed()
    {
        watcher.reset();
        context.restart();
        context.run_for(200ms);
    }

    asio::io_context context;
    ScriptedStore store{context};
    WatcherSettings settings;
    WatcherHooks hooks;
    std::map<std::string, std::string> values;
    std::set<std::string> missing;
    TimePoint provenAt{};
    int lost = 0;
    int regained = 0;
    std::unique_ptr<CollectionWatcher> watcher;
};

} // namespace

SCENARIO("a watcher follows a collection")
{
    GIVEN("a collection of two items")
    {
        Followed followed;
        followed.store.snapshot = {{{"a", "1"}, {"b", "2"}}, 10};

        WHEN("changes come")
        {
            followed.store.watches.push_back(
                    Changes{{{{"a", "3"}, false}, {{"b", ""}, true}, {{"c", "4"}, false}}, 13});
            followed.follow(10ms);
            THEN("they are taken over, and the watch goes on behind them")
            {
                CHECK(followed.values
                      == std::map<std::string, std::string>{{"a", "3"}, {"c", "4"}});
                REQUIRE(followed.store.watchedFrom.size() >= 2);
                CHECK(followed.store.watchedFrom[0] == 10);
                CHECK(followed.store.watchedFrom[1] == 13);
            }
        }
        WHEN("nothing changes")
        {
            followed.follow(70ms);
            THEN("the end of each wait is a newer proof")
            {
                CHECK(followed.store.lists == 1);
                CHECK(Clock::now() - followed.provenAt < 45ms);
            }
        }
        WHEN("the history is gone")
        {
            followed.store.watches.push_back(StoreErrc::HistoryExpired);
            followed.follow(10ms);
            THEN("the collection is listed again, without an outage")
            {
                CHECK(followed.store.lists == 2);
                CHECK(followed.lost == 0);
            }
        }
        WHEN("an item vanishes between two lists of a working store")
        {
            followed.store.watches.push_back(StoreErrc::HistoryExpired);
            followed.follow(1ms);
            followed.store.snapshot = {{{"a", "1"}}, 20};
            followed.store.watches.push_back(StoreErrc::HistoryExpired);
            followed.follow(40ms);
            THEN("it is removed at once")
            {
                CHECK_FALSE(followed.values.contains("b"));
            }
        }
    }
}

SCENARIO("items that vanish around an outage may return")
{
    GIVEN("a watcher that lost the store for a while")
    {
        Followed followed;
        followed.store.snapshot = {{{"a", "1"}, {"b", "2"}}, 10};
        followed.follow(5ms);
        followed.store.watches.push_back(StoreErrc::Unavailable);
        followed.store.listErrors = 5;
        followed.store.snapshot = {{{"a", "1"}}, 20};
        followed.follow(90ms);
        REQUIRE(followed.lost == 1);
        REQUIRE(followed.regained == 1);

        THEN("a vanished item is missing, and not yet removed")
        {
            CHECK(followed.missing == std::set<std::string>{"b"});
            CHECK(followed.values.contains("b"));
        }
        WHEN("it comes back in time")
        {
            followed.store.watches.push_back(Changes{{{{"b", "2"}, false}}, 21});
            followed.follow(150ms);
            THEN("nothing was removed")
            {
                CHECK(followed.missing.empty());
                CHECK(followed.values.contains("b"));
            }
        }
        WHEN("it does not come back")
        {
            followed.follow(150ms);
            THEN("it is removed")
            {
                CHECK_FALSE(followed.values.contains("b"));
            }
        }
    }
}
