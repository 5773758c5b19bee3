#include "knownitems.h"

#include <algorithm>

namespace bilberry::store {

namespace {

/// Removed items that are kept to recognise them in a restored store.
constexpr std::size_t maxRemovedItems = 1024;

} // namespace

KnownItems::KnownItems(boost::asio::io_context &context, const WatcherSettings &settings,
                       const WatcherHooks &hooks)
    : m_settings(settings), m_hooks(hooks), m_returnTimer(context), m_heldTimer(context)
{
}

void KnownItems::stop()
{
    m_isStopped = true;
    m_returnTimer.cancel();
    m_heldTimer.cancel();
}

void KnownItems::applyRestored(const std::vector<Item> &items)
{
    holdNewerStates(items);
    applySnapshot(items);
}

void KnownItems::applySnapshot(const std::vector<Item> &items)
{
    std::set<std::string> listedNames;
    for (const Item &item : items) {
        listedNames.insert(item.name);
        if (!m_held.isCopy(item.name, item.value))
            applyWritten(item);
    }
    m_held.releaseUnlisted(listedNames);
    std::vector<std::string> unlistedNames;
    for (const auto &[name, value] : m_valuesByName) {
        if (!listedNames.contains(name) && !m_held.isCopy(name, std::nullopt))
            unlistedNames.push_back(name);
    }
    for (const std::string &name : unlistedNames)
        applyRemoval(name);
}

/// Keeps what is known where the copy that the store was restored from is older.
void KnownItems::holdNewerStates(const std::vector<Item> &items)
{
    m_held.clear();
    const TimePoint now = Clock::now();
    std::set<std::string> listedNames;
    for (const Item &item : items) {
        listedNames.insert(item.name);
        if (const auto known = m_valuesByName.find(item.name); known != m_valuesByName.end()) {
            if (known->second != item.value && isOlder({item.name, known->second}, item))
                m_held.hold(item.name, item.value, std::nullopt);
        } else if (const auto removed = m_removedValues.find(item.name);
                   removed != m_removedValues.end()) {
            if (removed->second == item.value || isOlder({item.name, removed->second}, item))
                m_held.hold(item.name, item.value, now + m_settings.removedHold);
        }
    }
    for (const auto &[name, value] : m_valuesByName) {
        if (listedNames.contains(name))
            continue;
        std::optional<TimePoint> until;
        if (m_settings.unlistedHold)
            until = now + *m_settings.unlistedHold;
        m_held.hold(name, std::nullopt, until);
    }
    scheduleHeldEnd();
}

std::vector<HeldItem> KnownItems::heldItems() const
{
    const TimePoint now = Clock::now();
    std::vector<HeldItem> items;
    for (const auto &[name, held] : m_held.items()) {
        HeldItem item{name, std::nullopt, held.copy, std::nullopt};
        if (const auto known = m_valuesByName.find(name); known != m_valuesByName.end())
            item.known = known->second;
        if (held.until)
            item.remaining = std::max(*held.until - now, Duration::zero());
        items.push_back(std::move(item));
    }
    return items;
}

void KnownItems::adoptHeldItems(const std::vector<HeldItem> &items)
{
    for (const HeldItem &item : items) {
        const auto known = m_valuesByName.find(item.name);
        const HeldStates::ItemState state = known == m_valuesByName.end()
                                                    ? HeldStates::ItemState()
                                                    : HeldStates::ItemState(known->second);
        // Any other state than the copy's was written after the restore, or is held already.
        if (state != item.copy || state == item.known)
            continue;
        std::optional<TimePoint> until;
        if (item.remaining)
            until = Clock::now() + *item.remaining;
        m_held.hold(item.name, item.copy, until);
        if (item.known)
            applyItem({item.name, *item.known});
        else
            removeItem(item.name);
    }
    scheduleHeldEnd();
}

bool KnownItems::isOlder(const Item &known, const Item &restored) const
{
    return m_hooks.isOutdated && m_hooks.isOutdated(known, restored);
}

/// Follows the restored store where nobody has written an item again in time.
void KnownItems::scheduleHeldEnd()
{
    const std::optional<TimePoint> end = m_held.nextEnd();
    if (!end)
        return;
    m_heldTimer.expires_at(*end);
    m_heldTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_isStopped)
            return;
        for (const auto &[name, copy] : self->m_held.takeEnded(Clock::now()))
            self->applyCopy(name, copy);
        self->scheduleHeldEnd();
    });
}

void KnownItems::releaseHeldExcept(const std::set<std::string> &names)
{
    for (const auto &[name, held] : std::map(m_held.items())) {
        if (names.contains(name))
            continue;
        m_held.release(name);
        applyCopy(name, held.copy);
    }
}

void KnownItems::applyCopy(const std::string &name, const HeldStates::ItemState &copy)
{
    if (copy)
        applyItem({name, *copy});
    else
        removeItem(name);
}

void KnownItems::applyNewest(const std::map<std::string, const ItemChange *> &newest)
{
    for (const auto &[name, change] : newest) {
        if (change->removed)
            applyRemoval(name);
        else
            applyWritten(change->item);
    }
}

/// Applies an item that was written after what is known. One that was m_held is reported even if
/// it is the same: others that don't hold it may know the copy only.
void KnownItems::applyWritten(const Item &item)
{
    const bool wasHeld = m_held.release(item.name);
    const auto known = m_valuesByName.find(item.name);
    const bool isSame = known != m_valuesByName.end() && known->second == item.value;
    applyItem(item);
    if (wasHeld && isSame)
        m_hooks.onItemChanged(item);
}

/// Applies a removal; the same of one that was m_held.
void KnownItems::applyRemoval(const std::string &name)
{
    const bool wasHeld = m_held.release(name);
    const bool isKnown = m_valuesByName.contains(name);
    handleDisappearance(name);
    if (wasHeld && !isKnown)
        m_hooks.onItemRemoved(name);
}

void KnownItems::applyItem(const Item &item)
{
    if (m_missingNames.erase(item.name) > 0)
        m_hooks.onItemReturned(item.name);
    m_removedValues.erase(item.name);
    const auto [found, added] = m_valuesByName.try_emplace(item.name, item.value);
    if (!added && found->second == item.value)
        return;
    found->second = item.value;
    m_hooks.onItemChanged(item);
}

void KnownItems::handleDisappearance(const std::string &name)
{
    if (!m_valuesByName.contains(name))
        return;
    const bool mayReturn = m_returnDeadline && Clock::now() < *m_returnDeadline;
    if (!mayReturn) {
        removeItem(name);
        return;
    }
    m_missingNames.insert(name);
    m_hooks.onItemMissing(name);
    m_returnTimer.expires_at(*m_returnDeadline);
    m_returnTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_isStopped)
            return;
        for (const std::string &missingName : std::exchange(self->m_missingNames, {}))
            self->removeItem(missingName);
    });
}

void KnownItems::removeItem(const std::string &name)
{
    m_missingNames.erase(name);
    const auto known = m_valuesByName.find(name);
    if (known == m_valuesByName.end())
        return;
    if (m_settings.removedHold > Duration::zero()) {
        if (m_removedValues.size() >= maxRemovedItems)
            m_removedValues.erase(m_removedValues.begin());
        m_removedValues[name] = known->second;
    }
    m_valuesByName.erase(known);
    m_hooks.onItemRemoved(name);
}

} // namespace bilberry::store
