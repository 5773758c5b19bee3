#include "store/storerelay.h"

#include "support/mutator.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace bilberry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

constexpr char collectionName[] = "servers";
constexpr std::size_t leaderCount = 2;
constexpr std::size_t routerCount = 6;
/// Time without faults after which all routers must know all items: the lifetime of a relay, a
/// watch call that has to be replaced, and a question to the store.
constexpr Duration convergenceTime = 3s;

/// A store's history, which all routers read.
class History
{
public:
    void change(const std::string &name, const std::string &value)
    {
        m_written[name] = value;
        apply(name, value);
    }

    void apply(const std::string &name, const std::string &value)
    {
        m_items[name] = value;
        m_changes.push_back({++m_revision, {{name, value}, value.empty()}});
        if (value.empty())
            m_items.erase(name);
    }

    /// Takes the copy that the next restore brings back.
    void copy() { m_copy = {m_items, m_revision.number}; }

    /// Brings the copy back: what was written since is lost, and its revisions are given out again.
    void restore()
    {
        m_items = m_copy.first;
        m_changes.clear();
        m_revision = {m_revision.era + 1, m_copy.second};
    }

    /// Lets all writers write again what a restore has lost.
    void writeAgain()
    {
        for (const auto &[name, value] : m_written) {
            const auto item = m_items.find(name);
            const std::string now = item == m_items.end() ? "" : item->second;
            if (now != value)
                apply(name, value);
        }
    }

    store::Snapshot list() const
    {
        store::Snapshot snapshot;
        snapshot.revision = m_revision;
        for (const auto &[name, value] : m_items)
            snapshot.items.push_back({name, value});
        return snapshot;
    }

    store::Changes since(StoreRevision revision) const
    {
        store::Changes changes;
        changes.revision = m_revision;
        for (const auto &[at, change] : m_changes) {
            if (at > revision)
                changes.changes.push_back(change);
        }
        return changes;
    }

    const std::map<std::string, std::string> &items() const { return m_items; }
    StoreRevision revision() const { return m_revision; }

private:
    std::map<std::string, std::string> m_items;
    std::deque<store::RelayedChanges::Change> m_changes;
    std::map<std::string, std::string> m_written; ///< by the writers; empty when removed
    std::pair<std::map<std::string, std::string>, std::uint64_t> m_copy{{}, 1};
    StoreRevision m_revision{1, 1};
};

/// One router's way to the store, which may be cut or go silent.
class StoreClient : public store::CollectionStore
{
public:
    StoreClient(asio::io_context &context, const History &history)
        : m_context(context), m_history(history)
    {
    }

    asio::awaitable<Result<store::Snapshot>> list(std::string, Duration) override
    {
        ++calls;
        if (isCut)
            co_return store::StoreErrc::Unavailable;
        co_return m_history.list();
    }

    asio::awaitable<Result<store::Changes>> watch(std::string, StoreRevision since, Duration wait,
                                                  Duration) override
    {
        ++calls;
        const TimePoint end = Clock::now() + wait;
        const int generation = silentGeneration;
        asio::steady_timer timer(m_context);
        while (Clock::now() < end) {
            timer.expires_after(std::min<Duration>(5ms, end - Clock::now()));
            co_await timer.async_wait(asio::use_awaitable);
            const bool isSilent = generation < silentGeneration;
            if (isCut && !isSilent)
                co_return store::StoreErrc::Unavailable;
            if (!isSilent && m_history.revision() > since)
                break;
        }
        if (isCut || generation < silentGeneration)
            co_return store::StoreErrc::Unavailable;
        co_return m_history.since(since);
    }

    asio::awaitable<Status> put(std::string, store::Item, Duration) override
    {
        co_return success();
    }
    asio::awaitable<Status> remove(std::string, std::string, Duration) override
    {
        co_return success();
    }

    bool isCut = false;
    int silentGeneration = 0; ///< open watch calls of earlier ones get no answer
    int calls = 0;

private:
    asio::io_context &m_context;
    const History &m_history;
};

/// Routers that relay one collection to each other over a network that loses, repeats and delays.
class RelayFleet
{
public:
    explicit RelayFleet(std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < routerCount; ++i)
            startRouter(i);
    }

    ~RelayFleet()
    {
        for (auto &router : m_routers)
            router->watcher.reset();
        context.restart();
        context.run_for(100ms);
    }

    struct Router
    {
        std::unique_ptr<StoreClient> client;
        std::unique_ptr<direct::StoreRelay> relay;
        std::unique_ptr<store::CollectionWatcher> watcher;
        std::map<std::string, std::string> items;
        bool isMute = false; ///< its messages are lost
    };

    /// Runs the fleet; leaders ask the store each 100 ms, as for proofs of the plan.
    void run(Duration duration)
    {
        const TimePoint end = Clock::now() + duration;
        while (Clock::now() < end) {
            for (std::size_t i = 0; i < leaderCount; ++i) {
                m_routers[i]->watcher->check();
                m_routers[i]->relay->send();
            }
            context.restart();
            context.run_for(100ms);
        }
    }

    bool allKnow(const std::map<std::string, std::string> &items) const
    {
        return std::all_of(m_routers.begin(), m_routers.end(),
                           [&](const auto &router) { return router->items == items; });
    }

    void changeItem()
    {
        const std::string name = "i" + std::to_string(m_random() % 5);
        const bool removes = m_random() % 4 == 0;
        history.change(name, removes ? "" : std::to_string(++m_value));
    }

    void breakSomething()
    {
        Router &router = *m_routers[m_random() % routerCount];
        switch (m_random() % 4) {
        case 0:
            ++router.client->silentGeneration;
            break;
        case 1:
            router.client->isCut = !router.client->isCut;
            break;
        case 2:
            router.isMute = !router.isMute;
            break;
        default:
            lossPercent = m_random() % 60;
        }
    }

    void repair()
    {
        lossPercent = 0;
        for (auto &router : m_routers) {
            router->client->isCut = false;
            router->isMute = false;
        }
    }

    /// @return calls to the store of the routers that are no leaders
    int followerCalls() const
    {
        int calls = 0;
        for (std::size_t i = leaderCount; i < routerCount; ++i)
            calls += m_routers[i]->client->calls;
        return calls;
    }

    Router &router(std::size_t index) { return *m_routers[index]; }

    asio::io_context context;
    History history;
    std::size_t lossPercent = 0;
    bool reverted = false; ///< a router applied an older value after a newer one

private:
    void startRouter(std::size_t index)
    {
        auto router = std::make_unique<Router>();
        router->client = std::make_unique<StoreClient>(context, history);
        router->relay = std::make_unique<direct::StoreRelay>(
                [this, index](const std::vector<wire::CollectionNotice> &notices) {
                    send(index, notices);
                },
                m_log);
        Router &started = *router;
        store::WatcherSettings settings;
        settings.collection = collectionName;
        settings.maxWait = 10s;
        settings.callLimit = 100ms;
        settings.coalescingDelay = 50ms;
        settings.behindLimit = 20ms;
        settings.checkInterval = 50ms;
        settings.maxBackoff = 200ms;
        settings.returnGracePeriod = 300ms;
        settings.unlistedHold = 500ms;
        settings.removedHold = 500ms;
        store::WatcherHooks hooks;
        hooks.onItemChanged = [this, &started](const store::Item &item) {
            started.relay->recordChange(collectionName, {item, false});
            std::string &known = started.items[item.name];
            reverted = reverted || (!known.empty() && std::stoi(item.value) < std::stoi(known));
            known = item.value;
        };
        hooks.onItemRemoved = [&started](const std::string &name) {
            started.relay->recordChange(collectionName, {{name, ""}, true});
            started.items.erase(name);
        };
        hooks.onItemMissing = [](const std::string &) {};
        hooks.onItemReturned = [](const std::string &) {};
        hooks.onConfirmedCurrent = [&started](StoreRevision, BootTime at) {
            started.relay->recordCurrent(collectionName, at);
        };
        hooks.onRestored = [&started](StoreRevision revision) {
            started.relay->recordRestored(collectionName, revision);
        };
        hooks.isOutdated = [](const store::Item &known, const store::Item &restored) {
            return std::stoi(restored.value) <= std::stoi(known.value);
        };
        hooks.onStoreLost = [](std::error_code) {};
        hooks.onStoreRegained = [] {};
        router->watcher = std::make_unique<store::CollectionWatcher>(
                context, *router->client, settings, std::move(hooks), [] { return 0.5; });
        router->relay->add(collectionName, *router->watcher, true, 10ms, 50ms);
        router->relay->setLeader(index < leaderCount);
        router->watcher->start();
        m_routers.push_back(std::move(router));
    }

    void send(std::size_t from, const std::vector<wire::CollectionNotice> &notices)
    {
        for (std::size_t to = 0; to < routerCount; ++to) {
            const bool isLost = m_routers[from]->isMute || m_random() % 100 < lossPercent;
            if (to == from || isLost)
                continue;
            const std::size_t copies = m_random() % 10 == 0 ? 2 : 1;
            for (std::size_t copy = 0; copy < copies; ++copy)
                deliver(to, notices, std::chrono::milliseconds(m_random() % 40));
        }
    }

    void deliver(std::size_t to, const std::vector<wire::CollectionNotice> &notices, Duration delay)
    {
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([this, to, notices, timer](boost::system::error_code) {
            if (!m_routers[to]->watcher)
                return;
            for (const wire::CollectionNotice &notice : notices)
                m_routers[to]->relay->receive(notice);
        });
    }

    std::mt19937_64 m_random;
    int m_value = 0;
    Log m_log{"relay.test"};
    std::vector<std::unique_ptr<Router>> m_routers;
};

} // namespace

// pattern: calls to the store grow with the routers and with the changes
SCENARIO("two routers watch the store for a fleet")
{
    GIVEN("six routers, two of which relay")
    {
        RelayFleet fleet(1);
        fleet.run(500ms);
        const int callsBefore = fleet.followerCalls();
        WHEN("items change again and again")
        {
            for (int i = 0; i < 20; ++i) {
                fleet.changeItem();
                fleet.run(100ms);
            }
            fleet.run(300ms);
            THEN("all know all changes, and the others have made hardly a call")
            {
                CHECK(fleet.allKnow(fleet.history.items()));
                CHECK(fleet.followerCalls() - callsBefore <= 8);
            }
        }
        WHEN("the routers that relay fall silent, and an item changes")
        {
            fleet.router(0).isMute = true;
            fleet.router(1).isMute = true;
            fleet.run(100ms);
            fleet.changeItem();
            fleet.run(1800ms);
            THEN("the others have noticed by themselves")
            {
                CHECK(fleet.allKnow(fleet.history.items()));
            }
        }
        WHEN("the store turns away a router that others reach, and items change")
        {
            fleet.router(5).client->isCut = true;
            for (int i = 0; i < 5; ++i) {
                fleet.changeItem();
                fleet.run(100ms);
            }
            fleet.run(200ms);
            THEN("it goes on by what is relayed")
            {
                CHECK(fleet.allKnow(fleet.history.items()));
            }
        }
        WHEN("the watch calls of the routers that relay go silent, and an item changes")
        {
            ++fleet.router(0).client->silentGeneration;
            ++fleet.router(1).client->silentGeneration;
            fleet.changeItem();
            fleet.run(600ms);
            THEN("their questions to the store show it to all")
            {
                CHECK(fleet.allKnow(fleet.history.items()));
            }
        }
    }
}

// A router that relies on a relay must not take the lower revisions of a restored store for old
// ones (CONFIG).
SCENARIO("the store is restored from a copy while two routers watch it for a fleet")
{
    RelayFleet fleet(5);
    GIVEN("routers that know more than the copy has")
    {
        fleet.run(300ms);
        fleet.changeItem();
        fleet.run(200ms);
        fleet.history.copy();
        for (int i = 0; i < 12; ++i)
            fleet.changeItem();
        fleet.run(300ms);
        fleet.history.restore();
        WHEN("what was lost is written again, and a further change comes")
        {
            fleet.run(300ms);
            fleet.history.writeAgain();
            fleet.history.change("new", "1000");
            fleet.run(1s);
            THEN("all routers know all items, and none went back to an older value")
            {
                CHECK(fleet.allKnow(fleet.history.items()));
                CHECK_FALSE(fleet.reverted);
            }
        }
    }
}

SCENARIO("a fleet that relays the store's changes meets random faults and restores")
{
    const std::uint64_t seed = tests::fuzzSeed() + GENERATE(3, 4, 5);
    GIVEN("the seed " + std::to_string(seed))
    {
        RelayFleet fleet(seed);
        std::mt19937_64 random(seed);
        fleet.run(300ms);
        for (int step = 0; step < 30; ++step) {
            for (std::size_t changes = random() % 3; changes > 0; --changes)
                fleet.changeItem();
            if (random() % 2 == 0)
                fleet.breakSomething();
            if (random() % 4 == 0)
                fleet.history.copy();
            const bool isRestored = random() % 8 == 0;
            if (isRestored)
                fleet.history.restore();
            fleet.run(100ms);
            if (isRestored)
                fleet.history.writeAgain();
        }
        fleet.repair();
        fleet.run(convergenceTime);
        THEN("all routers know all items in the end")
        {
            CHECK(fleet.allKnow(fleet.history.items()));
        }
    }
}

SCENARIO("a fleet that relays the store's changes meets random faults")
{
    const std::uint64_t seed = tests::fuzzSeed() + GENERATE(0, 1, 2);
    GIVEN("the seed " + std::to_string(seed))
    {
        RelayFleet fleet(seed);
        std::mt19937_64 random(seed);
        fleet.run(300ms);
        for (int step = 0; step < 30; ++step) {
            for (std::size_t changes = random() % 3; changes > 0; --changes)
                fleet.changeItem();
            if (random() % 2 == 0)
                fleet.breakSomething();
            fleet.run(100ms);
        }
        fleet.repair();
        fleet.run(convergenceTime);
        THEN("all routers know all items in the end, and none went back to an older value")
        {
            CHECK(fleet.allKnow(fleet.history.items()));
            CHECK_FALSE(fleet.reverted);
        }
    }
}
