#include "bilberry/decision/serviceaggregator.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// A single dispatch or correction between two reports must not pass for a lasting rate.
constexpr double rateTimeConstantMs = 1000.0;

/// @param rate so far, a second
/// @return exponentially weighted mean, weighted by time
double smoothedRate(double rate, double change, Duration span)
{
    const double spanMs = toMilliseconds(span);
    if (spanMs <= 0.0)
        return rate + std::max(0.0, change * 1000.0 / rateTimeConstantMs);
    const double kept = std::exp(-spanMs / rateTimeConstantMs);
    return std::max(0.0, kept * rate + (1.0 - kept) * change * 1000.0 / spanMs);
}

} // namespace

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
    if (!isFirst)
        state.rate
                = smoothedRate(state.rate, counter.normalised - state.normalised, now - state.at);
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
