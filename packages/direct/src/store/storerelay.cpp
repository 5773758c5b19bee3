#include "store/storerelay.h"

#include <algorithm>

namespace bilberry::direct {

namespace {

/// Time after a leader's knowledge was current for which the others rely on it: two of its
/// questions to the store, and well below the shortest time limit for drained servers.
constexpr Duration relayLifetime = std::chrono::milliseconds(1500);
/// Time for which a change is repeated in notices, some of which may be lost.
constexpr Duration changeLifetime = std::chrono::seconds(3);
/// Limit of the changes of one collection in a notice, which must fit into a datagram with others.
constexpr std::size_t maxChangeBytes = 16U << 10U;
/// Time after a notice with a gap until the store is asked: the rest may come from another leader.
constexpr Duration gapDelay = std::chrono::milliseconds(50);

} // namespace

StoreRelay::StoreRelay(std::function<void(std::vector<wire::CollectionNotice>)> send, Log &log)
    : m_send(std::move(send)), m_log(log)
{
}

void StoreRelay::add(const std::string &collection, store::CollectionWatcher &watcher,
                     bool relaysValues, Duration leaderPause, Duration usualPause)
{
    m_collections.push_back({collection,
                             &watcher,
                             relaysValues,
                             leaderPause,
                             usualPause,
                             store::ChangeLog(changeLifetime, relaysValues ? maxChangeBytes : 0),
                             {}});
}

void StoreRelay::recordChange(const std::string &collection, const store::ItemChange &change)
{
    if (Collection *known = find(collection))
        known->log.add(change, known->watcher->revision(), Clock::now());
}

void StoreRelay::recordRestored(const std::string &collection, StoreRevision revision)
{
    if (Collection *known = find(collection))
        known->log.restart(revision);
}

void StoreRelay::recordCurrent(const std::string &collection, BootTime at)
{
    if (Collection *known = find(collection))
        known->currentAt = std::max(known->currentAt, at);
}

void StoreRelay::setLeader(bool isLeader)
{
    if (std::exchange(m_isLeader, isLeader) == isLeader)
        return;
    for (Collection &collection : m_collections) {
        collection.watcher->setCoalescingDelay(isLeader ? collection.leaderPause
                                                        : collection.usualPause);
        if (isLeader)
            collection.watcher->stopRelying();
    }
    m_log.decision(isLeader ? "Watches the store for the other routers."
                            : "No longer watches the store for the other routers.",
                   {{"collections", std::to_string(m_collections.size())}});
}

void StoreRelay::send()
{
    if (!m_isLeader)
        return;
    std::vector<wire::CollectionNotice> notices;
    for (Collection &collection : m_collections) {
        const Duration age = BootClock::now() - collection.currentAt;
        // Items that may return are no change to be relayed yet.
        if (age >= relayLifetime || !collection.watcher->isSettled())
            continue;
        const store::RelayedChanges relayed
                = collection.log.relay(collection.watcher->revision(), Clock::now());
        wire::CollectionNotice notice{collection.name,
                                      relayed.base,
                                      relayed.revision,
                                      static_cast<std::uint32_t>(toMilliseconds(age)),
                                      {}};
        for (const auto &[revision, change] : relayed.changes)
            notice.changes.push_back(
                    {revision, change.item.name, change.item.value, change.removed});
        notices.push_back(std::move(notice));
    }
    m_send(std::move(notices));
}

void StoreRelay::receive(const wire::CollectionNotice &notice)
{
    Collection *known = find(notice.collection);
    if (!known || m_isLeader)
        return;
    store::RelayedChanges relayed{notice.base, notice.revision, {}};
    for (const wire::StoreChange &change : notice.changes)
        relayed.changes.push_back({change.revision, {{change.name, change.value}, change.removed}});
    switch (known->watcher->applyRelayed(relayed)) {
    case store::RelayResult::Outdated:
        return;
    case store::RelayResult::Gap:
        known->watcher->expectRevision(notice.revision, gapDelay);
        return;
    case store::RelayResult::Applied:
        break;
    }
    const Duration age = std::chrono::milliseconds(notice.ageMs);
    if (age < relayLifetime)
        known->watcher->relyOnRelay(Clock::now() + relayLifetime - age);
}

StoreRelay::Collection *StoreRelay::find(const std::string &name)
{
    const auto found
            = std::find_if(m_collections.begin(), m_collections.end(),
                           [&](const Collection &collection) { return collection.name == name; });
    return found == m_collections.end() ? nullptr : &*found;
}

} // namespace bilberry::direct
