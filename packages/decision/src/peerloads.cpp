#include "bilberry/decision/peerloads.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::decision {

ServerKey serverKey(const ServerId &id)
{
    return stableHash(id.text());
}

void PeerLoads::update(const RouterId &router, const std::vector<ReportedLoad> &loads,
                       bool complete, TimePoint now)
{
    Report &report = m_reports[router];
    report.reportedAt = now;
    if (complete) {
        for (const auto &[server, load] : report.loads)
            subtract(server, load);
        report.loads.clear();
    }
    for (const ReportedLoad &reported : loads) {
        RouterLoad &known = report.loads[reported.server];
        subtract(reported.server, known);
        add(reported.server, reported.load);
        known = reported.load;
    }
}

void PeerLoads::expire(TimePoint now)
{
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (now - report->second.reportedAt <= m_lifetime) {
            ++report;
            continue;
        }
        for (const auto &[server, load] : report->second.loads)
            subtract(server, load);
        report = m_reports.erase(report);
    }
}

RouterLoad PeerLoads::load(ServerKey server) const
{
    const auto found = m_sums.find(server);
    return found == m_sums.end() ? RouterLoad() : found->second;
}

std::size_t PeerLoads::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_reports.begin(), m_reports.end(), [&](const auto &entry) {
                return now - entry.second.reportedAt <= m_lifetime;
            }));
}

void PeerLoads::add(ServerKey server, const RouterLoad &load)
{
    RouterLoad &sum = m_sums[server];
    sum.backlogMs += load.backlogMs;
    sum.inFlight += load.inFlight;
}

/// A server without requests in flight has no backlog, so that rounding errors don't add up.
void PeerLoads::subtract(ServerKey server, const RouterLoad &load)
{
    const auto found = m_sums.find(server);
    if (found == m_sums.end())
        return;
    RouterLoad &sum = found->second;
    sum.backlogMs = std::max(0.0, sum.backlogMs - load.backlogMs);
    sum.inFlight -= std::min(sum.inFlight, load.inFlight);
    if (sum.inFlight == 0)
        m_sums.erase(found);
}

} // namespace bilberry::decision
