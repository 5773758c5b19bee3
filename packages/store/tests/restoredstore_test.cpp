#include "bilberry/store/collectionwatcher.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace bilberry;
using namespace bilberry::store;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

using Values = std::map<std::string, std::string>;

/// A store that may be restored from a copy. A watch call that waits stays with the store.
class RestorableStore : public CollectionStore
{
public:
    explicit RestorableStore(asio::io_context &context) : m_context(context) {}

    void change(const std::string &name, const std::string &value)
    {
        if (value.empty())
            m_values.erase(name);
        else
            m_values[name] = value;
        m_history.push_back({++m_revision, {{name, value}, value.empty()}});
    }

    /// Removes an item in a change that the history doesn't have any more.
    void removeUnseen(const std::string &name)
    {
        m_values.erase(name);
        ++m_revision;
        m_isExpired = true;
    }

    /// Restores a copy with these items.
    /// @param number of the copy's revision
    void restore(const Values &values, std::uint64_t number)
    {
        m_values = values;
        m_history.clear();
        m_revision = {m_revision.era + 1, number};
    }

    asio::awaitable<Result<Snapshot>> list(std::string, Duration) override
    {
        ++listCalls;
        if (lateList)
            co_return *std::exchange(lateList, std::nullopt);
        Snapshot snapshot{{}, m_revision};
        for (const auto &[name, value] : m_values)
            snapshot.items.push_back({name, value});
        co_return snapshot;
    }

    asio::awaitable<Result<Changes>> watch(std::string, StoreRevision since, Duration wait,
                                           Duration) override
    {
        const TimePoint end = Clock::now() + wait;
        asio::steady_timer timer(m_context);
        for (;;) {
            const bool isLost = since.era == m_revision.era && since.number > m_revision.number;
            if (std::exchange(m_isExpired, false) || isLost)
                co_return StoreErrc::HistoryExpired;
            Changes changes{{}, m_revision};
            for (const RelayedChanges::Change &entry : m_history) {
                if (entry.revision.number > since.number)
                    changes.changes.push_back(entry.change);
            }
            if (!changes.changes.empty() || Clock::now() >= end)
                co_return changes;
            timer.expires_after(1ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<Status> put(std::string, Item, Duration) override { co_return success(); }
    asio::awaitable<Status> remove(std::string, std::string, Duration) override
    {
        co_return success();
    }

    StoreRevision revision() const { return m_revision; }

    std::optional<Snapshot> lateList; ///< answers the next list
    int listCalls = 0;

private:
    asio::io_context &m_context;
    Values m_values;
    std::vector<RelayedChanges::Change> m_history;
    StoreRevision m_revision{1, 100};
    bool m_isExpired = false; ///< the next watch call needs dropped history
};

/// A watcher of a store; values are versions, of which a lower one is outdated.
struct Fixture
{
    Fixture()
    {
        settings.collection = "things";
        settings.maxWait = 20ms;
        settings.firstBackoff = 2ms;
        settings.maxBackoff = 10ms;
        settings.coalescingDelay = 1ms;
        settings.unlistedHold = 60ms;
        settings.removedHold = 60ms;
        hooks.onItemChanged = [this](const Item &item) { values[item.name] = item.value; };
        hooks.onItemRemoved = [this](const std::string &name) { values.erase(name); };
        hooks.onItemMissing = [](const std::string &) {};
        hooks.onItemReturned = [](const std::string &) {};
        hooks.onConfirmedCurrent = [](StoreRevision, BootTime) {};
        hooks.onStoreLost = [](std::error_code) {};
        hooks.onStoreRegained = [] {};
        hooks.onRestored = [this](StoreRevision) { ++restores; };
        hooks.isOutdated = [](const Item &known, const Item &restored) {
            return restored.value < known.value;
        };
        store.change("a", "2");
        store.change("b", "2");
    }

    ~Fixture()
    {
        watcher.reset();
        context.restart();
        context.run_for(200ms);
    }

    void start()
    {
        watcher = std::make_unique<CollectionWatcher>(context, store, settings, hooks,
                                                      [] { return 0.5; });
        watcher->start();
        run(10ms);
    }

    void run(Duration duration)
    {
        context.restart();
        context.run_for(duration);
    }

    asio::io_context context;
    RestorableStore store{context};
    WatcherSettings settings;
    WatcherHooks hooks;
    Values values;
    int restores = 0;
    std::unique_ptr<CollectionWatcher> watcher;
};

} // namespace

// A watcher must not wait for the lost revisions to be given out again (CONFIG).
SCENARIO("a watcher follows a store that is restored from a copy")
{
    Fixture fixture;
    fixture.start();
    REQUIRE(fixture.values == Values{{"a", "2"}, {"b", "2"}});
    GIVEN("a copy with a lower revision, and a change after the restore")
    {
        fixture.store.restore({{"a", "1"}, {"b", "2"}}, 50);
        fixture.run(30ms);
        CHECK(fixture.restores == 1);
        THEN("what it knew stays in force until the item is written again")
        {
            CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}});
            fixture.store.change("c", "1");
            fixture.run(100ms);
            CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}, {"c", "1"}});
            fixture.store.change("a", "3");
            fixture.run(30ms);
            CHECK(fixture.values["a"] == "3");
        }
        THEN("a second restore is followed as well")
        {
            fixture.store.change("a", "4");
            fixture.run(30ms);
            fixture.store.restore({{"a", "1"}, {"b", "3"}}, 10);
            fixture.run(40ms);
            CHECK(fixture.restores == 2);
            CHECK(fixture.values == Values{{"a", "4"}, {"b", "3"}});
        }
        THEN("a list of the earlier era that arrives late changes nothing")
        {
            fixture.store.lateList = Snapshot{{{"a", "9"}}, {1, 200}};
            fixture.watcher->check();
            fixture.store.restore({{"a", "1"}, {"b", "2"}}, 40);
            fixture.run(60ms);
            CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}});
            CHECK(fixture.watcher->revision().era == 3);
        }
    }
    GIVEN("a copy with the same revision and other items")
    {
        fixture.store.restore({{"a", "3"}, {"b", "2"}}, fixture.store.revision().number);
        fixture.run(40ms);
        THEN("they are listed")
        {
            CHECK(fixture.restores == 1);
            CHECK(fixture.values == Values{{"a", "3"}, {"b", "2"}});
        }
    }
}

SCENARIO("a restored store lacks items, or has removed ones again")
{
    Fixture fixture;
    GIVEN("an item that the copy lacks")
    {
        const bool untilWritten = GENERATE(false, true);
        if (untilWritten)
            fixture.settings.unlistedHold.reset();
        fixture.start();
        fixture.store.restore({{"b", "2"}}, 50);
        fixture.run(40ms);
        CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}});
        WHEN("its writer writes it again")
        {
            fixture.store.change("a", "2");
            fixture.run(100ms);
            THEN("it stays")
            {
                CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}});
            }
            THEN("it is removed when its writer removes it")
            {
                fixture.store.change("a", "");
                fixture.run(40ms);
                CHECK(fixture.values == Values{{"b", "2"}});
            }
        }
        WHEN("nobody writes it again")
        {
            fixture.run(100ms);
            THEN("it is removed after the hold, if that has an end")
            {
                CHECK(fixture.values.contains("a") == untilWritten);
            }
        }
    }
    GIVEN("an item that was removed and that the copy has again")
    {
        fixture.start();
        fixture.store.change("a", "");
        fixture.run(30ms);
        REQUIRE(fixture.values == Values{{"b", "2"}});
        fixture.store.restore({{"a", "2"}, {"b", "2"}}, 50);
        fixture.run(40ms);
        CHECK(fixture.values == Values{{"b", "2"}});
        WHEN("its writer removes it again")
        {
            fixture.store.change("a", "");
            fixture.run(100ms);
            THEN("it stays removed")
            {
                CHECK(fixture.values == Values{{"b", "2"}});
            }
        }
        WHEN("it is removed in a change that no watch call reports")
        {
            fixture.store.removeUnseen("a");
            fixture.run(100ms);
            THEN("it stays removed after the hold")
            {
                CHECK(fixture.values == Values{{"b", "2"}});
            }
        }
        WHEN("nobody does")
        {
            fixture.run(100ms);
            THEN("it is back after the hold")
            {
                CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}});
            }
        }
    }
}

SCENARIO("a watcher relies on a relay while the store is restored")
{
    Fixture fixture;
    fixture.start();
    fixture.watcher->relyOnRelay(Clock::now() + 10s);
    fixture.run(30ms);
    const StoreRevision before = fixture.store.revision();
    GIVEN("a relay of the new era, whose revisions are lower")
    {
        fixture.store.restore({{"a", "2"}, {"b", "2"}}, 50);
        fixture.store.change("a", "3");
        THEN("it is no older one: the watcher lists the store")
        {
            const StoreRevision now = fixture.store.revision();
            CHECK(fixture.watcher->applyRelayed({now, now, {}}) == RelayResult::Gap);
            fixture.watcher->recordReachedRevision(now);
            fixture.run(60ms);
            CHECK(fixture.values["a"] == "3");
        }
    }
    GIVEN("a relay of the earlier era after the watcher has learned of the new one")
    {
        fixture.store.restore({{"a", "2"}, {"b", "2"}}, 50);
        fixture.watcher->recordReachedRevision(fixture.store.revision());
        fixture.run(60ms);
        REQUIRE(fixture.restores == 1);
        THEN("it says nothing")
        {
            const RelayedChanges::Change change{{1, 200}, {{"a", "9"}, false}};
            CHECK(fixture.watcher->applyRelayed({before, {1, 200}, {change}})
                  == RelayResult::Outdated);
            CHECK(fixture.values["a"] == "2");
        }
    }
}

// A router that started after a restore took the copy for the newest state (CONFIG, EVAC, DRAIN).
SCENARIO("a watcher starts after the store was restored")
{
    Fixture running;
    running.settings.unlistedHold = 400ms;
    running.settings.removedHold = 400ms;
    running.store.change("removed", "1");
    running.start();
    running.store.change("removed", "");
    running.run(30ms);
    const Values copy{{"a", "1"}, {"removed", "1"}};
    running.store.restore(copy, 50);
    running.run(40ms);
    REQUIRE(running.values == Values{{"a", "2"}, {"b", "2"}});
    Fixture starting;
    starting.store.restore(copy, 50);
    GIVEN("one that is told by a running watcher what holds in place of the copy")
    {
        starting.start();
        REQUIRE(starting.values == copy);
        starting.watcher->adoptHeldItems(running.watcher->heldItems());
        THEN("it knows the same, and holds the same for others")
        {
            CHECK(starting.values == running.values);
            CHECK(starting.watcher->heldItems().size() == 3);
            starting.run(30ms);
            CHECK(starting.values == running.values);
        }
        THEN("an item that is written again is followed")
        {
            starting.store.change("a", "3");
            starting.run(40ms);
            CHECK(starting.values["a"] == "3");
            CHECK(starting.watcher->heldItems().size() == 2);
        }
        THEN("holds that have an end have the same end")
        {
            starting.run(500ms);
            CHECK(starting.values == Values{{"a", "2"}, {"removed", "1"}});
        }
    }
    GIVEN("one that holds what it knew before it was cut off, while others know better")
    {
        running.watcher->releaseHeldExcept({"a"});
        THEN("it follows the copy but for what they hold")
        {
            CHECK(running.values == Values{{"a", "2"}, {"removed", "1"}});
            CHECK(running.watcher->heldItems().size() == 1);
        }
    }
    GIVEN("one that has read an item that was written again")
    {
        starting.store.change("a", "3");
        starting.start();
        starting.watcher->adoptHeldItems(running.watcher->heldItems());
        THEN("that one stays as it is")
        {
            CHECK(starting.values == Values{{"a", "3"}, {"b", "2"}});
        }
    }
}
