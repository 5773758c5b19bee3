#include "bilberry/decision/serviceaggregator.h"

#include "bilberry/decision/counterextrapolator.h"

#include <algorithm>

namespace bilberry::decision {

void ServiceAggregator::applyReport(const ReportOrigin &origin, std::uint64_t sequence,
                                    const LocalServiceCounter &counter, TimePoint now)
{
    const auto [entry, isNew] = m_keys.try_emplace(counter.key);
    Key &key = entry->second;
    if (isNew)
        key.since = now;
    key.offset = std::max(key.offset, counter.offset);
    const auto [known, isFirst] = key.counters.try_emplace(origin);
    Counter &state = known->second;
    if (!isFirst && sequence <= state.sequence)
        return;
    state.sequence = sequence;
    state.reckoning.report(counter.normalisedMs, now);
}

std::optional<RemoteService> ServiceAggregator::totalFor(const ServiceKey &key,
                                                         const ReportOrigin &receiver,
                                                         TimePoint now) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || now - found->second.since < m_settings.settleTime)
        return std::nullopt;
    RemoteService total;
    total.normalisedMs = found->second.retired;
    total.offset = found->second.offset;
    for (const auto &[origin, counter] : found->second.counters) {
        if (origin == receiver)
            continue;
        total.normalisedMs += counter.reckoning.expected(now);
        total.ratePerSecond += counter.reckoning.rate(now);
    }
    return total;
}

void ServiceAggregator::retireEndedLives(Key &key, TimePoint now) const
{
    const auto silence
            = [now](const Counter &counter) { return now - counter.reckoning.reportedAt(); };
    for (auto entry = key.counters.begin(); entry != key.counters.end();) {
        // Lives of one router are neighbours in the map's order.
        const auto next = std::next(entry);
        const auto sameRouter = [&](const auto &other) {
            return other != key.counters.end() && other->first.router == entry->first.router
                   && silence(other->second) < silence(entry->second);
        };
        const bool replaced = sameRouter(next)
                              || (entry != key.counters.begin() && sameRouter(std::prev(entry)));
        if (replaced && silence(entry->second) > m_settings.retireAfter) {
            key.retired += entry->second.reckoning.reported();
            key.counters.erase(entry);
        }
        entry = next;
    }
}

void ServiceAggregator::expire(TimePoint now)
{
    for (auto &[name, key] : m_keys)
        retireEndedLives(key, now);
    std::erase_if(m_keys, [&](const auto &entry) {
        const auto &counters = entry.second.counters;
        return std::all_of(counters.begin(), counters.end(), [&](const auto &counter) {
            return now - counter.second.reckoning.reportedAt() > m_settings.forgetAfter;
        });
    });
}

} // namespace bilberry::decision
