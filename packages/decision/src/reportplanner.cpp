#include "bilberry/decision/reportplanner.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

ReportPlanner::ReportPlanner(ReportSettings settings)
    : m_settings(settings), m_availableBytes(settings.bytesPerSecond)
{
}

void ReportPlanner::refill(TimePoint now)
{
    const double seconds = toMilliseconds(now - m_lastRefill) / 1000.0;
    m_availableBytes
            = std::min(m_settings.bytesPerSecond,
                       m_availableBytes + m_settings.bytesPerSecond * std::max(0.0, seconds));
    m_lastRefill = now;
}

double ReportPlanner::weightedChange(const LocalServiceCounter &counter, TimePoint now) const
{
    const auto found = m_reported.find(counter.key);
    if (found == m_reported.end()) {
        const bool hasState = counter.normalisedMs != 0.0 || counter.backlogged;
        return hasState ? std::max(std::abs(counter.normalisedMs), m_settings.quantumMs) : 0.0;
    }
    const ReportedCounter &last = found->second;
    const double change = std::max(std::abs(counter.normalisedMs - last.extrapolator.valueAt(now)),
                                   std::abs(counter.offset - last.offset));
    if (!counter.backlogged)
        return change / m_settings.idleQuantumFactor;
    // The answer to a report carries the service of the other routers, so a backlogged customer
    // needs periodic reports even without a change.
    const bool due = now - last.extrapolator.lastUpdate() >= m_settings.maxBackloggedInterval;
    return due ? std::max(change, m_settings.quantumMs) : change;
}

void ReportPlanner::markReported(const LocalServiceCounter &counter, TimePoint now)
{
    ReportedCounter &reported = m_reported[counter.key];
    reported.extrapolator.update(counter.normalisedMs, now);
    reported.offset = counter.offset;
}

std::vector<LocalServiceCounter>
ReportPlanner::plan(const std::vector<LocalServiceCounter> &counters,
                    const LocalAggregationPredicate &isLocal, TimePoint now)
{
    if (now - m_lastReport < m_settings.minInterval)
        return {};
    refill(now);
    std::vector<LocalServiceCounter> planned;
    std::vector<Candidate> candidates;
    for (const LocalServiceCounter &counter : counters) {
        const double change = weightedChange(counter, now);
        if (change < m_settings.quantumMs)
            continue;
        if (isLocal(counter.key))
            planned.push_back(counter);
        else
            candidates.push_back({&counter, change});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.change > b.change; });
    double cost = static_cast<double>(m_settings.bytesPerReport);
    double spent = 0.0;
    for (const Candidate &candidate : candidates) {
        cost += static_cast<double>(m_settings.bytesPerCounter);
        if (cost > m_availableBytes)
            break;
        spent = cost;
        planned.push_back(*candidate.counter);
    }
    for (const LocalServiceCounter &counter : planned)
        markReported(counter, now);
    m_availableBytes -= spent;
    if (!planned.empty())
        m_lastReport = now;
    return planned;
}

} // namespace bilberry::decision
