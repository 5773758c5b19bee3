#include "bilberry/store/collectionwatcher.h"

#include "knownitems.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

namespace bilberry::store {

namespace asio = boost::asio;

namespace {

/// Wait of a watch call that only asks for past changes.
constexpr Duration shortestWait = std::chrono::milliseconds(1);
/// Target of a check that is needed whatever revision is known.
constexpr StoreRevision anyRevision{std::numeric_limits<std::uint64_t>::max(),
                                    std::numeric_limits<std::uint64_t>::max()};
/// Minimum time between two questions whether the store was restored, as others say.
constexpr Duration eraCheckInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t noWatch = 0;

} // namespace

struct CollectionWatcher::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, CollectionStore &store, WatcherSettings settings,
          WatcherHooks hooks, std::function<double()> random)
        : store(store), settings(std::move(settings)), hooks(std::move(hooks)),
          random(std::move(random)), pauseTimer(context), behindTimer(context),
          silenceTimer(context),
          items(std::make_shared<KnownItems>(context, this->settings, this->hooks))
    {
    }

    /// Lists and watches until it is stopped or replaced.
    /// @param generation number of this loop; a higher one replaces it
    /// @param isListed true when the known items are those of the known revision
    static asio::awaitable<void> run(std::shared_ptr<State> self, std::uint64_t generation,
                                     bool isListed)
    {
        while (self->isCurrent(generation)) {
            // Without a first list, there is nothing that relayed changes could be applied to.
            if (self->revision != 0)
                co_await self->waitWhileRelying(generation);
            if (!self->isCurrent(generation))
                co_return;
            if (!isListed)
                isListed = co_await self->listOnce(generation);
            if (isListed)
                co_await self->watchUntilLost(generation);
            isListed = false;
        }
    }

    bool isCurrent(std::uint64_t loop) const { return !stopped && loop == generation; }

    bool isRelying() const { return Clock::now() < relayedUntil; }

    asio::awaitable<void> waitWhileRelying(std::uint64_t loop)
    {
        if (!isCurrent(loop) || !isRelying())
            co_return;
        while (isCurrent(loop) && isRelying())
            co_await sleep(relayedUntil - Clock::now());
        if (isCurrent(loop) && hooks.onRelayEnded)
            hooks.onRelayEnded();
    }

    asio::awaitable<bool> listOnce(std::uint64_t loop)
    {
        const BootTime requestedAt = BootClock::now();
        const StoreRevision knownBefore = revision;
        const Result<Snapshot> snapshot
                = co_await store.list(settings.collection, settings.callLimit);
        if (!isCurrent(loop))
            co_return false;
        if (!snapshot) {
            co_await handleFailure(snapshot.error());
            co_return false;
        }
        // A store that tells eras never goes back within one.
        if (knownBefore.era != 0 && snapshot.value().revision < knownBefore) {
            co_await handleFailure(StoreErrc::Malformed);
            co_return false;
        }
        handleSuccess();
        // Newer changes may have been relayed meanwhile.
        const bool isOutdated
                = snapshot.value().revision < revision && snapshot.value().revision >= knownBefore;
        if (!isOutdated) {
            applySnapshot(snapshot.value());
            confirm(requestedAt);
        }
        co_return true;
    }

    asio::awaitable<void> watchUntilLost(std::uint64_t loop)
    {
        for (;;) {
            co_await waitWhileRelying(loop);
            if (!isCurrent(loop))
                co_return;
            const BootTime requestedAt = BootClock::now();
            openWatch = ++lastWatch;
            const Result<Changes> changes = co_await store.watch(
                    settings.collection, revision, settings.maxWait, settings.callLimit);
            if (!isCurrent(loop))
                co_return;
            openWatch = noWatch;
            if (!changes) {
                if (changes.error() != StoreErrc::HistoryExpired)
                    co_await handleFailure(changes.error());
                co_return;
            }
            if (isOfEarlierEra(changes.value().revision)) {
                co_await handleFailure(StoreErrc::Malformed);
                co_return;
            }
            const bool unchanged = changes.value().changes.empty();
            handleSuccess();
            if (isOfLaterEra(changes.value().revision))
                co_return;
            // Only the time of the request is certain: the response may have waited to be read.
            if (applyChanges(changes.value()))
                confirm(requestedAt);
            if (!unchanged) {
                pausedUntil = Clock::now() + settings.coalescingDelay;
                co_await sleep(settings.coalescingDelay);
            }
        }
    }

    asio::awaitable<void> sleep(Duration duration)
    {
        pauseTimer.expires_after(duration);
        boost::system::error_code ignored;
        co_await pauseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// @return true for a revision that was lost when the store was restored from a copy
    bool isOfEarlierEra(StoreRevision other) const { return other.era < revision.era; }

    /// @return true when the store was restored from a copy after the known revision, so that what
    /// has changed by that is in no list of changes
    bool isOfLaterEra(StoreRevision other) const { return other.era > revision.era; }

    void recordStoreRevision(StoreRevision storeRevision, BootTime at)
    {
        if (stopped || revision == 0)
            return;
        if (storeRevision == revision && !failingSince) {
            hooks.onConfirmedCurrent(revision, at);
            return;
        }
        recordReachedRevision(storeRevision);
    }

    void recordReachedRevision(StoreRevision storeRevision)
    {
        if (isOfLaterEra(storeRevision)) {
            stopRelying();
            scheduleCheck(std::max(Clock::now(), lastCheckAt + eraCheckInterval), storeRevision);
            return;
        }
        if (settings.behindLimit && !isRelying())
            expectRevision(storeRevision, *settings.behindLimit);
    }

    void stopRelying()
    {
        if (std::exchange(relayedUntil, TimePoint()) > Clock::now())
            pauseTimer.cancel();
    }

    RelayResult applyRelayed(const RelayedChanges &relayed)
    {
        if (isOfEarlierEra(relayed.revision))
            return RelayResult::Outdated;
        if (stopped || revision == 0 || revision < relayed.base || isOfLaterEra(relayed.revision))
            return RelayResult::Gap;
        if (relayed.revision <= revision)
            return RelayResult::Applied;
        const StoreRevision known = std::exchange(revision, relayed.revision);
        std::map<std::string, const ItemChange *> newest;
        for (const RelayedChanges::Change &item : relayed.changes) {
            if (item.revision > known)
                newest[item.change.item.name] = &item.change;
        }
        items->applyNewest(newest);
        return RelayResult::Applied;
    }

    void expectRevision(StoreRevision expected, Duration delay)
    {
        if (expected <= revision)
            return;
        // The watch call after a pause reports what changed in the meantime.
        const TimePoint due = std::max(Clock::now(), pausedUntil) + delay;
        scheduleCheck(std::max(due, lastCheckAt + settings.checkInterval), expected);
    }

    /// @param target revision from which on the check is needless
    void scheduleCheck(TimePoint due, StoreRevision target)
    {
        if (stopped || revision == 0 || failingSince)
            return;
        checkTarget = std::max(checkTarget, target);
        if (isCheckScheduled) {
            isCheckRepeated = isCheckRepeated || target == anyRevision;
            // Ends the wait for a later time.
            if (due < behindTimer.expiry())
                behindTimer.expires_at(due);
            return;
        }
        isCheckScheduled = true;
        behindTimer.expires_at(due);
        asio::co_spawn(behindTimer.get_executor(), check(shared_from_this()), asio::detached);
    }

    /// Asks the store for changes that the watch call has not reported. A failure is left to the
    /// watch call.
    static asio::awaitable<void> check(std::shared_ptr<State> self)
    {
        boost::system::error_code ignored;
        co_await self->behindTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        self->isCheckRepeated = false;
        const StoreRevision target = std::exchange(self->checkTarget, StoreRevision());
        const bool isNeeded = !self->stopped && self->revision < target && !self->failingSince;
        if (isNeeded) {
            self->lastCheckAt = Clock::now();
            const std::uint64_t watch = self->openWatch;
            const BootTime requestedAt = BootClock::now();
            const Result<Changes> changes
                    = co_await self->store.watch(self->settings.collection, self->revision,
                                                 shortestWait, self->settings.callLimit);
            // A watch call may wait on although the history that it needs is gone.
            const bool isIncomplete = changes ? self->isOfLaterEra(changes.value().revision)
                                              : changes.error() == StoreErrc::HistoryExpired;
            if (isIncomplete)
                co_await listBeside(self, watch);
            const bool isUsable = changes && !self->stopped && !self->failingSince;
            if (isUsable && self->applyChanges(changes.value())) {
                self->confirm(requestedAt);
                if (!changes.value().changes.empty())
                    self->expectWatch(watch);
            }
        }
        self->isCheckScheduled = false;
        if (std::exchange(self->isCheckRepeated, false))
            self->scheduleCheck(Clock::now(), anyRevision);
    }

    /// Replaces the watch call unless it returns soon, since there are changes that it has to
    /// report.
    void expectWatch(std::uint64_t watch)
    {
        if (watch == noWatch || openWatch != watch)
            return;
        silenceTimer.expires_after(settings.silenceLimit);
        silenceTimer.async_wait(
                [self = shared_from_this(), watch](boost::system::error_code error) {
                    if (!error && !self->stopped && self->openWatch == watch)
                        self->replaceWatch();
                });
    }

    void replaceWatch()
    {
        if (hooks.onWatchSilent)
            hooks.onWatchSilent();
        openWatch = noWatch;
        asio::co_spawn(silenceTimer.get_executor(), run(shared_from_this(), ++generation, true),
                       asio::detached);
    }

    /// Lists the collection while the watch call waits on. A failure is left to the watch call.
    static asio::awaitable<void> listBeside(std::shared_ptr<State> self, std::uint64_t watch)
    {
        const BootTime requestedAt = BootClock::now();
        const Result<Snapshot> snapshot
                = co_await self->store.list(self->settings.collection, self->settings.callLimit);
        const bool isUsable = snapshot && !self->stopped && !self->failingSince;
        if (!isUsable || snapshot.value().revision < self->revision)
            co_return;
        self->applySnapshot(snapshot.value());
        self->confirm(requestedAt);
        self->expectWatch(watch);
    }

    void applySnapshot(const Snapshot &snapshot)
    {
        const bool isRestored = revision != 0 && isOfLaterEra(snapshot.revision);
        revision = snapshot.revision;
        if (isRestored)
            items->applyRestored(snapshot.items);
        else
            items->applySnapshot(snapshot.items);
        if (isRestored && hooks.onRestored)
            hooks.onRestored(revision);
    }

    /// @return false when the changes are outdated, because the response of a later call was
    ///         received before
    bool applyChanges(const Changes &changes)
    {
        if (changes.revision < revision)
            return false;
        revision = changes.revision;
        std::map<std::string, const ItemChange *> newest;
        for (const ItemChange &change : changes.changes)
            newest[change.item.name] = &change;
        items->applyNewest(newest);
        return true;
    }

    void handleSuccess()
    {
        consecutiveFailures = 0;
        if (failingSince) {
            const TimePoint now = Clock::now();
            if (now - *failingSince >= settings.outageThreshold)
                items->allowReturns(now + settings.returnGracePeriod);
            failingSince.reset();
            hooks.onStoreRegained();
        }
    }

    void confirm(BootTime at)
    {
        hooks.onConfirmedCurrent(revision, at);
        if (hooks.onStoreRevision)
            hooks.onStoreRevision(revision, at);
    }

    asio::awaitable<void> handleFailure(std::error_code error)
    {
        if (!failingSince) {
            failingSince = Clock::now();
            hooks.onStoreLost(error);
        }
        const std::uint32_t doublings = std::min(consecutiveFailures++, 8U);
        const Duration backoff
                = std::min(settings.firstBackoff * (1U << doublings), settings.maxBackoff);
        co_await sleep(fromMilliseconds(toMilliseconds(backoff) * (0.5 + 0.5 * random())));
    }

    CollectionStore &store;
    WatcherSettings settings;
    WatcherHooks hooks;
    std::function<double()> random;
    asio::steady_timer pauseTimer;
    asio::steady_timer behindTimer;
    asio::steady_timer silenceTimer;
    std::shared_ptr<KnownItems> items;
    StoreRevision revision;       ///< up to which the items are known; 0 before the first list
    std::uint64_t generation = 0; ///< of the loop that lists and watches
    std::uint64_t lastWatch = noWatch;
    std::uint64_t openWatch = noWatch; ///< number of the watch call that waits
    TimePoint pausedUntil{};           ///< the next watch call starts then
    TimePoint relayedUntil{};          ///< another watcher relays all changes until then
    TimePoint lastCheckAt{};
    StoreRevision checkTarget; ///< from which on the scheduled check is needless
    bool isCheckScheduled = false;
    bool isCheckRepeated = false; ///< another one was asked for in the meantime
    std::uint32_t consecutiveFailures = 0;
    std::optional<TimePoint> failingSince;
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
    m_state->behindTimer.cancel();
    m_state->silenceTimer.cancel();
    m_state->items->stop();
}

void CollectionWatcher::recordStoreRevision(StoreRevision revision, BootTime at)
{
    m_state->recordStoreRevision(revision, at);
}

void CollectionWatcher::recordReachedRevision(StoreRevision revision)
{
    m_state->recordReachedRevision(revision);
}

void CollectionWatcher::expectRevision(StoreRevision revision, Duration delay)
{
    m_state->expectRevision(revision, delay);
}

StoreRevision CollectionWatcher::revision() const
{
    return m_state->revision;
}

bool CollectionWatcher::isSettled() const
{
    return m_state->revision != 0 && !m_state->failingSince && !m_state->items->hasMissing();
}

RelayResult CollectionWatcher::applyRelayed(const RelayedChanges &relayed)
{
    return m_state->applyRelayed(relayed);
}

std::vector<HeldItem> CollectionWatcher::heldItems() const
{
    return m_state->items->heldItems();
}

void CollectionWatcher::adoptHeldItems(const std::vector<HeldItem> &items)
{
    m_state->items->adoptHeldItems(items);
}

void CollectionWatcher::releaseHeldExcept(const std::set<std::string> &names)
{
    m_state->items->releaseHeldExcept(names);
}

void CollectionWatcher::relyOnRelay(TimePoint until)
{
    m_state->relayedUntil = std::max(m_state->relayedUntil, until);
}

void CollectionWatcher::stopRelying()
{
    m_state->stopRelying();
}

void CollectionWatcher::setCoalescingDelay(Duration delay)
{
    m_state->settings.coalescingDelay = delay;
}

void CollectionWatcher::check()
{
    m_state->scheduleCheck(Clock::now(), anyRevision);
}

void CollectionWatcher::start()
{
    asio::co_spawn(m_state->pauseTimer.get_executor(), State::run(m_state, 0, false),
                   asio::detached);
}

} // namespace bilberry::store
