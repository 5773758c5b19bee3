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
    const double change = std::max(std::abs(service.normalised - last.normalised),
                                   std::abs(service.offset - last.offset));
    if (!service.backlogged)
        return change / m_settings.idleFactor;
    // The answer to a report tells what the other routers served, so that a waiting customer
    // needs one now and then without any change.
    const bool due = now - last.at >= m_settings.longestSilence;
    return due ? std::max(change, m_settings.quantum) : change;
}

std::vector<OwnService> ReportPlanner::plan(const std::vector<OwnService> &own, TimePoint now)
{
    if (now - m_lastReport < m_settings.shortestGap)
        return {};
    refill(now);
    std::vector<Candidate> candidates;
    for (const OwnService &service : own) {
        const double change = changeOf(service, now);
        if (change >= m_settings.quantum)
            candidates.push_back({&service, change});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.change > b.change; });
    std::vector<OwnService> planned;
    double cost = static_cast<double>(m_settings.bytesPerReport);
    for (const Candidate &candidate : candidates) {
        cost += static_cast<double>(m_settings.bytesPerCounter);
        if (cost > m_tokens)
            break;
        const OwnService &service = *candidate.service;
        planned.push_back(service);
        m_reported[service.key] = {service.normalised, service.offset, now};
    }
    if (planned.empty())
        return planned;
    m_tokens -= static_cast<double>(m_settings.bytesPerReport
                                    + planned.size() * m_settings.bytesPerCounter);
    m_lastReport = now;
    return planned;
}

} // namespace bilberry::decision
