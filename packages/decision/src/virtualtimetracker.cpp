#include "bilberry/decision/virtualtimetracker.h"

#include <algorithm>

namespace bilberry::decision {

void VirtualTimeTracker::charge(const ServiceKey &key, double amount, double share)
{
    Account &account = m_accounts[key];
    account.chargedMs += amount;
    account.normalisedMs += amount / share;
}

void VirtualTimeTracker::applyRemote(const ServiceKey &key, const RemoteService &remote,
                                     bool aggregatorChanged, TimePoint now)
{
    if (!m_settings.countRemote)
        return;
    Account &account = m_accounts[key];
    const double before = virtualTime(account, now);
    account.remote = remote;
    account.remoteReceivedAt = now;
    account.offset = std::max(account.offset, remote.offset);
    if (aggregatorChanged)
        raiseVirtualTime(account, before, now);
}

void VirtualTimeTracker::setBacklogged(const ServiceKey &key, TimePoint now)
{
    Account &account = m_accounts[key];
    if (account.backlogged)
        return;
    raiseVirtualTime(account, initialVirtualTime(key.pool, now), now);
    account.backlogged = true;
}

double VirtualTimeTracker::initialVirtualTime(const PoolId &pool, TimePoint now) const
{
    double smallest = poolVirtualTime(pool);
    for (auto account = m_accounts.lower_bound({pool, CustomerId()});
         account != m_accounts.end() && account->first.pool == pool; ++account) {
        if (account->second.backlogged)
            smallest = std::min(smallest, virtualTime(account->second, now));
    }
    return smallest;
}

void VirtualTimeTracker::setIdle(const ServiceKey &key)
{
    m_accounts[key].backlogged = false;
}

void VirtualTimeTracker::raisePoolVirtualTime(const PoolId &pool, double virtualTime)
{
    double &current = m_poolVirtualTimes[pool];
    current = std::max(current, virtualTime);
}

void VirtualTimeTracker::capCatchUp(TimePoint now)
{
    std::map<PoolId, double> largest;
    for (const auto &[key, account] : m_accounts) {
        if (!account.backlogged)
            continue;
        const double time = virtualTime(account, now);
        const auto [entry, isNew] = largest.try_emplace(key.pool, time);
        entry->second = std::max(entry->second, time);
    }
    for (auto &[key, account] : m_accounts) {
        if (account.backlogged)
            raiseVirtualTime(account, largest[key.pool] - m_settings.catchUpCapMs, now);
    }
}

double VirtualTimeTracker::virtualTime(const ServiceKey &key, TimePoint now) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? 0.0 : virtualTime(found->second, now);
}

double VirtualTimeTracker::poolVirtualTime(const PoolId &pool) const
{
    const auto found = m_poolVirtualTimes.find(pool);
    return found == m_poolVirtualTimes.end() ? 0.0 : found->second;
}

std::vector<LocalServiceCounter> VirtualTimeTracker::localCounters() const
{
    std::vector<LocalServiceCounter> counters;
    counters.reserve(m_accounts.size());
    for (const auto &[key, account] : m_accounts)
        counters.push_back({key, account.normalisedMs, account.offset, account.backlogged});
    return counters;
}

double VirtualTimeTracker::chargedMs(const ServiceKey &key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? 0.0 : found->second.chargedMs;
}

double VirtualTimeTracker::extrapolatedRemote(const Account &account, TimePoint now) const
{
    const Duration age = std::min(now - account.remoteReceivedAt, m_settings.maxExtrapolation);
    const double seconds = std::max(0.0, toMilliseconds(age) / 1000.0);
    return account.remote.normalisedMs + account.remote.ratePerSecond * seconds;
}

double VirtualTimeTracker::virtualTime(const Account &account, TimePoint now) const
{
    return account.offset + account.normalisedMs + extrapolatedRemote(account, now);
}

void VirtualTimeTracker::raiseVirtualTime(Account &account, double minimum, TimePoint now) const
{
    const double lag = minimum - virtualTime(account, now);
    if (lag > 0.0)
        account.offset += lag;
}

} // namespace bilberry::decision
