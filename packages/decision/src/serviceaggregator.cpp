#include "bilberry/decision/serviceaggregator.h"

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
    const double seconds = toMilliseconds(now - state.at) / 1000.0;
    constexpr double shortestSpan = 0.02;
    if (!isFirst && seconds >= shortestSpan)
        state.rate = std::max(0.0, (counter.normalised - state.normalised) / seconds);
    state.sequence = sequence;
    state.normalised = counter.normalised;
    state.at = now;
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
        total.normalised += counter.normalised;
        constexpr auto rateLifetime = std::chrono::seconds(2);
        if (now - counter.at <= rateLifetime)
            total.ratePerSecond += counter.rate;
    }
    return total;
}

void ServiceAggregator::expire(TimePoint now)
{
    for (auto &[key, state] : m_keys) {
        for (auto counter = state.counters.begin(); counter != state.counters.end();) {
            if (now - counter->second.at <= m_settings.retireAfter) {
                ++counter;
                continue;
            }
            state.retired += counter->second.normalised;
            counter = state.counters.erase(counter);
        }
    }
    std::erase_if(m_keys, [](const auto &entry) { return entry.second.counters.empty(); });
}

} // namespace bilberry::decision
