#include "bilberry/store/collectionwatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace bilberry::store {

namespace asio = boost::asio;

struct CollectionWatcher::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, CollectionStore &store, WatcherSettings settings,
          WatcherHooks hooks, std::function<double()> random)
        : store(store), settings(std::move(settings)), hooks(std::move(hooks)),
          random(std::move(random)), pauseTimer(context), returnTimer(context)
    {
    }

    static asio::awaitable<void> follow(std::shared_ptr<State> self)
    {
        while (!self->stopped) {
            const bool listed = co_await self->listOnce();
            if (listed)
                co_await self->watchUntilLost();
        }
    }

    asio::awaitable<bool> listOnce()
    {
        const TimePoint askedAt = Clock::now();
        const Result<Snapshot> snapshot
                = co_await store.list(settings.collection, settings.callLimit);
        if (stopped)
            co_return false;
        if (!snapshot) {
            co_await failed(snapshot.error());
            co_return false;
        }
        succeeded(askedAt);
        take(snapshot.value());
        co_return true;
    }

    asio::awaitable<void> watchUntilLost()
    {
        while (!stopped) {
            const TimePoint askedAt = Clock::now();
            const Result<Changes> changes = co_await store.watch(
                    settings.collection, revision, settings.maxWait, settings.callLimit);
            if (stopped)
                co_return;
            if (!changes) {
                if (changes.error() != StoreErrc::HistoryExpired)
                    co_await failed(changes.error());
                co_return;
            }
            const bool quiet = changes.value().changes.empty();
            // An empty answer was held back for the whole wait, so that it is younger than the
            // call.
            const TimePoint heldUntil = std::min(askedAt + settings.maxWait, Clock::now());
            succeeded(quiet ? heldUntil : askedAt);
            take(changes.value());
            if (!quiet)
                co_await sleep(settings.coalescingDelay);
        }
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        pauseTimer.expires_after(duration);
        boost::system::error_code ignored;
        co_await pauseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void take(const Snapshot &snapshot)
    {
        revision = snapshot.revision;
        std::set<std::string> present;
        for (const Item &item : snapshot.items) {
            present.insert(item.name);
            put(item);
        }
        std::vector<std::string> vanished;
        for (const auto &[name, value] : known) {
            if (!present.contains(name))
                vanished.push_back(name);
        }
        for (const std::string &name : vanished)
            vanish(name);
    }

    void take(const Changes &changes)
    {
        revision = changes.revision;
        for (const ItemChange &change : changes.changes) {
            if (change.removed)
                vanish(change.item.name);
            else
                put(change.item);
        }
    }

    void put(const Item &item)
    {
        if (missing.erase(item.name) > 0)
            hooks.onItemReturned(item.name);
        const auto [found, added] = known.try_emplace(item.name, item.value);
        if (!added && found->second == item.value)
            return;
        found->second = item.value;
        hooks.onItemChanged(item);
    }

    void vanish(const std::string &name)
    {
        if (!known.contains(name))
            return;
        const bool mayReturn = returnUntil && Clock::now() < *returnUntil;
        if (!mayReturn) {
            drop(name);
            return;
        }
        missing.insert(name);
        hooks.onItemMissing(name);
        returnTimer.expires_at(*returnUntil);
        returnTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error || self->stopped)
                return;
            for (const std::string &late : std::exchange(self->missing, {}))
                self->drop(late);
        });
    }

    void drop(const std::string &name)
    {
        known.erase(name);
        hooks.onItemRemoved(name);
    }

    void succeeded(TimePoint provenAt)
    {
        failures = 0;
        if (failingSince) {
            const TimePoint now = Clock::now();
            if (now - *failingSince >= settings.outageThreshold)
                returnUntil = now + settings.returnGracePeriod;
            failingSince.reset();
            hooks.onStoreRegained();
        }
        hooks.onConfirmedCurrent(provenAt);
    }

    asio::awaitable<void> failed(std::error_code error)
    {
        if (!failingSince) {
            failingSince = Clock::now();
            hooks.onStoreLost(error);
        }
        const std::uint32_t doublings = std::min(failures++, 8U);
        const Duration backoff
                = std::min(settings.firstBackoff * (1U << doublings), settings.maxBackoff);
        co_await sleep(fromMilliseconds(toMilliseconds(backoff) * (0.5 + 0.5 * random())));
    }

    CollectionStore &store;
    WatcherSettings settings;
    WatcherHooks hooks;
    std::function<double()> random;
    asio::steady_timer pauseTimer;
    asio::steady_timer returnTimer;
    StoreRevision revision = 0;
    std::map<std::string, std::string> known; ///< values by name
    std::set<std::string> missing;            ///< vanished, may return until returnUntil
    std::uint32_t failures = 0;
    std::optional<TimePoint> failingSince;
    std::optional<TimePoint> returnUntil;
    bool stopped = false;
};

CollectionWatcher::CollectionWatcher(asio::io_context &context, CollectionStore &store,
                                     WatcherSettings settings, WatcherHooks hooks,
                                     std::function<double()> random)
    : m_state(std::make_shared<State>(context, store, std::move(settings), std::move(hooks),
                                      std::move(random)))
{
}

CollectionWatcher::~CollectionWatcher()
{
    m_state->stopped = true;
    m_state->pauseTimer.cancel();
    m_state->returnTimer.cancel();
}

void CollectionWatcher::start()
{
    asio::co_spawn(m_state->pauseTimer.get_executor(), State::follow(m_state), asio::detached);
}

} // namespace bilberry::store
