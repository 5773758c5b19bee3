#include "bilberry/decision/virtualtimetracker.h"

#include <algorithm>

namespace bilberry::decision {

void VirtualTimeTracker::charge(const ServiceKey &key, double amount, double share)
{
    Account &account = m_accounts[key];
    account.charged += amount;
    account.own += amount / share;
}

void VirtualTimeTracker::applyRemote(const ServiceKey &key, const RemoteService &remote,
                                     bool aggregatorChanged, TimePoint now)
{
    if (!m_settings.countRemote)
        return;
    Account &account = m_accounts[key];
    const double before = virtualTime(account, now);
    account.remote = remote;
    account.remoteAt = now;
    account.offset = std::max(account.offset, remote.offset);
    if (aggregatorChanged)
        lift(account, before, now);
}

void VirtualTimeTracker::setBacklogged(const ServiceKey &key, TimePoint now)
{
    Account &account = m_accounts[key];
    if (account.backlogged)
        return;
    lift(account, entryTime(key.pool, now), now);
    account.backlogged = true;
}

double VirtualTimeTracker::entryTime(const PoolId &pool, TimePoint now) const
{
    double smallest = poolVirtualTime(pool);
    for (auto entry = m_accounts.lower_bound({pool, CustomerId()});
         entry != m_accounts.end() && entry->first.pool == pool; ++entry) {
        if (entry->second.backlogged)
            smallest = std::min(smallest, virtualTime(entry->second, now));
    }
    return smallest;
}

void VirtualTimeTracker::setIdle(const ServiceKey &key)
{
    m_accounts[key].backlogged = false;
}

void VirtualTimeTracker::raisePoolVirtualTime(const PoolId &pool, double virtualTime)
{
    double &frontier = m_frontiers[pool];
    frontier = std::max(frontier, virtualTime);
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
            lift(account, largest[key.pool] - m_settings.catchUpCapMs, now);
    }
}

double VirtualTimeTracker::virtualTime(const ServiceKey &key, TimePoint now) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? 0.0 : virtualTime(found->second, now);
}

double VirtualTimeTracker::poolVirtualTime(const PoolId &pool) const
{
    const auto found = m_frontiers.find(pool);
    return found == m_frontiers.end() ? 0.0 : found->second;
}

std::vector<LocalServiceCounter> VirtualTimeTracker::localCounters() const
{
    std::vector<LocalServiceCounter> services;
    services.reserve(m_accounts.size());
    for (const auto &[key, account] : m_accounts)
        services.push_back({key, account.own, account.offset, account.backlogged});
    return services;
}

double VirtualTimeTracker::chargedMs(const ServiceKey &key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? 0.0 : found->second.charged;
}

double VirtualTimeTracker::remoteNow(const Account &account, TimePoint now) const
{
    const Duration age = std::min(now - account.remoteAt, m_settings.maxExtrapolation);
    const double seconds = std::max(0.0, toMilliseconds(age) / 1000.0);
    return account.remote.normalisedMs + account.remote.ratePerSecond * seconds;
}

double VirtualTimeTracker::virtualTime(const Account &account, TimePoint now) const
{
    return account.offset + account.own + remoteNow(account, now);
}

void VirtualTimeTracker::lift(Account &account, double target, TimePoint now) const
{
    const double lag = target - virtualTime(account, now);
    if (lag > 0.0)
        account.offset += lag;
}

} // namespace bilberry::decision
