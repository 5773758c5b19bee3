#include "bilberry/decision/serviceaggregator.h"

#include "bilberry/decision/reckoning.h"

#include <algorithm>

namespace bilberry::decision {

void ServiceAggregator::report(const ReportOrigin &origin, std::uint64_t sequence,
                               const OwnService &counter, TimePoint now)
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
    state.reckoning.report(counter.normalised, now);
}

std::optional<RemoteService> ServiceAggregator::totalFor(const ServiceKey &key,
                                                         const ReportOrigin &receiver,
                                                         TimePoint now) const
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || now - found->second.since < m_settings.settleTime)
        return std::nullopt;
    RemoteService total;
    total.normalised = found->second.retired;
    total.offset = found->second.offset;
    for (const auto &[origin, counter] : found->second.counters) {
        if (origin == receiver)
            continue;
        total.normalised += counter.reckoning.expected(now);
        total.ratePerSecond += counter.reckoning.rate(now);
    }
    return total;
}

void ServiceAggregator::expire(TimePoint now)
{
    for (auto &[key, state] : m_keys) {
        for (auto counter = state.counters.begin(); counter != state.counters.end();) {
            if (now - counter->second.reckoning.reportedAt() <= m_settings.retireAfter) {
                ++counter;
                continue;
            }
            state.retired += counter->second.reckoning.reported();
            counter = state.counters.erase(counter);
        }
    }
    std::erase_if(m_keys, [](const auto &entry) { return entry.second.counters.empty(); });
}

} // namespace bilberry::decision
