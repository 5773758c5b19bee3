#include "bilberry/decision/serviceaggregator.h"

#include "bilberry/decision/counterextrapolator.h"

#include <algorithm>

namespace bilberry::decision {

void ServiceAggregator::applyReport(const ReportOrigin &origin, std::uint64_t sequence,
                                    const LocalServiceCounter &counter, TimePoint now)
{
    const auto [entry, isNew] = m_accounts.try_emplace(counter.key);
    Account &account = entry->second;
    if (isNew)
        account.createdAt = now;
    account.offset = std::max(account.offset, counter.offset);
    const auto [known, isFirst] = account.counters.try_emplace(origin);
    Counter &stored = known->second;
    if (!isFirst && sequence <= stored.sequence)
        return;
    stored.sequence = sequence;
    stored.extrapolator.update(counter.normalisedMs, now);
}

std::optional<RemoteService> ServiceAggregator::totalFor(const ServiceKey &key,
                                                         const ReportOrigin &receiver,
                                                         TimePoint now) const
{
    const auto found = m_accounts.find(key);
    if (found == m_accounts.end() || now - found->second.createdAt < m_settings.warmupTime)
        return std::nullopt;
    RemoteService total;
    total.normalisedMs = found->second.retiredMs;
    total.offset = found->second.offset;
    for (const auto &[origin, counter] : found->second.counters) {
        if (origin == receiver)
            continue;
        total.normalisedMs += counter.extrapolator.valueAt(now);
        total.ratePerSecond += counter.extrapolator.rateAt(now);
    }
    return total;
}

void ServiceAggregator::retireEndedIncarnations(Account &account, TimePoint now) const
{
    const auto silence
            = [now](const Counter &counter) { return now - counter.extrapolator.lastUpdate(); };
    for (auto entry = account.counters.begin(); entry != account.counters.end();) {
        // Incarnations of one router are adjacent in the map.
        const auto next = std::next(entry);
        const auto isLaterIncarnation = [&](const auto &other) {
            return other != account.counters.end() && other->first.router == entry->first.router
                   && silence(other->second) < silence(entry->second);
        };
        const bool hasSuccessor
                = isLaterIncarnation(next)
                  || (entry != account.counters.begin() && isLaterIncarnation(std::prev(entry)));
        if (hasSuccessor && silence(entry->second) > m_settings.retireIncarnationAfter) {
            account.retiredMs += entry->second.extrapolator.lastValue();
            account.counters.erase(entry);
        }
        entry = next;
    }
}

void ServiceAggregator::expire(TimePoint now)
{
    for (auto &[key, account] : m_accounts)
        retireEndedIncarnations(account, now);
    std::erase_if(m_accounts, [&](const auto &entry) {
        const auto &counters = entry.second.counters;
        return std::all_of(counters.begin(), counters.end(), [&](const auto &counter) {
            return now - counter.second.extrapolator.lastUpdate() > m_settings.removeCustomerAfter;
        });
    });
}

} // namespace bilberry::decision
