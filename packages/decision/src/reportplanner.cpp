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

double ReportPlanner::changeOf(const OwnService &service, TimePoint now) const
{
    const auto found = m_reported.find(service.key);
    if (found == m_reported.end()) {
        const bool known = service.normalised != 0.0 || service.backlogged;
        return known ? std::max(std::abs(service.normalised), m_settings.quantum) : 0.0;
    }
    const Reported &last = found->second;
    const double change = std::max(std::abs(service.normalised - last.reckoning.expected(now)),
                                   std::abs(service.offset - last.offset));
    if (!service.backlogged)
        return change / m_settings.idleFactor;
    // The answer to a report tells what the other routers served, so that a waiting customer
    // needs one now and then without any change.
    const bool due = now - last.reckoning.reportedAt() >= m_settings.longestSilence;
    return due ? std::max(change, m_settings.quantum) : change;
}

void ReportPlanner::noteReported(const OwnService &service, TimePoint now)
{
    Reported &reported = m_reported[service.key];
    reported.reckoning.report(service.normalised, now);
    reported.offset = service.offset;
}

std::vector<OwnService> ReportPlanner::plan(const std::vector<OwnService> &own,
                                            const LocalHook &isLocal, TimePoint now)
{
    if (now - m_lastReport < m_settings.shortestGap)
        return {};
    refill(now);
    std::vector<OwnService> planned;
    std::vector<Candidate> candidates;
    for (const OwnService &service : own) {
        const double change = changeOf(service, now);
        if (change < m_settings.quantum)
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
    for (const OwnService &service : planned)
        noteReported(service, now);
    m_tokens -= spent;
    if (!planned.empty())
        m_lastReport = now;
    return planned;
}

} // namespace bilberry::decision
