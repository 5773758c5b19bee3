#include "bilberry/decision/reportplanner.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

ReportPlanner::ReportPlanner(ReportSettings settings)
    : m_settings(settings), m_tokens(settings.bytesPerSecond)
{
}

void ReportPlanner::refill(TimePoint now)
{
    const double seconds = toMilliseconds(now - m_refilled) / 1000.0;
    m_tokens = std::min(m_settings.bytesPerSecond,
                        m_tokens + m_settings.bytesPerSecond * std::max(0.0, seconds));
    m_refilled = now;
}

double ReportPlanner::changeOf(const LocalServiceCounter &service, TimePoint now) const
{
    const auto found = m_reported.find(service.key);
    if (found == m_reported.end()) {
        const bool known = service.normalisedMs != 0.0 || service.backlogged;
        return known ? std::max(std::abs(service.normalisedMs), m_settings.quantumMs) : 0.0;
    }
    const Reported &last = found->second;
    const double change = std::max(std::abs(service.normalisedMs - last.reckoning.expected(now)),
                                   std::abs(service.offset - last.offset));
    if (!service.backlogged)
        return change / m_settings.idleFactor;
    // The answer to a report tells what the other routers served, so that a waiting customer
    // needs one now and then without any change.
    const bool due = now - last.reckoning.reportedAt() >= m_settings.longestSilence;
    return due ? std::max(change, m_settings.quantumMs) : change;
}

void ReportPlanner::noteReported(const LocalServiceCounter &service, TimePoint now)
{
    Reported &reported = m_reported[service.key];
    reported.reckoning.report(service.normalisedMs, now);
    reported.offset = service.offset;
}

std::vector<LocalServiceCounter> ReportPlanner::plan(const std::vector<LocalServiceCounter> &own,
                                                     const LocalAggregationPredicate &isLocal,
                                                     TimePoint now)
{
    if (now - m_lastReport < m_settings.shortestGap)
        return {};
    refill(now);
    std::vector<LocalServiceCounter> planned;
    std::vector<Candidate> candidates;
    for (const LocalServiceCounter &service : own) {
        const double change = changeOf(service, now);
        if (change < m_settings.quantumMs)
            continue;
        if (isLocal(service.key))
            planned.push_back(service);
        else
            candidates.push_back({&service, change});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.change > b.change; });
    double cost = static_cast<double>(m_settings.bytesPerReport);
    double spent = 0.0;
    for (const Candidate &candidate : candidates) {
        cost += static_cast<double>(m_settings.bytesPerCounter);
        if (cost > m_tokens)
            break;
        spent = cost;
        planned.push_back(*candidate.service);
    }
    for (const LocalServiceCounter &service : planned)
        noteReported(service, now);
    m_tokens -= spent;
    if (!planned.empty())
        m_lastReport = now;
    return planned;
}

} // namespace bilberry::decision
