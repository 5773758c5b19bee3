#include "bilberry/decision/admissioncontrol.h"

#include <algorithm>
#include <utility>

namespace bilberry::decision {

namespace {

/// Consecutive reports, each preceded by starts, that are together accepted as reliable.
constexpr std::uint32_t requiredUncertainReports = 5;

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : m_settings(settings), m_window(settings.limits),
      m_grants(settings.grantLifetime, settings.grantIdBase)
{
}

void AdmissionControl::setLimits(WindowLimits limits)
{
    m_settings.limits = limits;
    m_window.setLimits(limits);
}

std::uint32_t AdmissionControl::occupiedSlots() const
{
    return static_cast<std::uint32_t>(m_running.size()) + m_inherited;
}

void AdmissionControl::start(const AdmissionRequest &request)
{
    m_running.emplace(request.attempt, request);
    m_startedSinceReport = true;
    // While requests wait, issueGrants() sets the virtual time from the grants. The maximum would
    // place intermittent customers too far back.
    if (request.grant == 0)
        m_virtualTime = std::max(m_virtualTime, request.virtualTime);
}

void AdmissionControl::hold(const AdmissionRequest &request)
{
    m_held.emplace(request.virtualTime, request);
}

AdmissionDecision AdmissionControl::tryAdmit(const AdmissionRequest &request, TimePoint now)
{
    if (!m_open)
        return AdmissionDecision::Closed;
    if (request.grant != 0) {
        if (!m_grants.redeem(request.grant, request.link, now))
            return AdmissionDecision::StaleGrant;
        if (hasRoom() && m_held.empty()) {
            start(request);
            return AdmissionDecision::Run;
        }
        hold(request);
        return AdmissionDecision::Hold;
    }
    const auto smallest = m_grants.smallestVirtualTime();
    const bool othersPrecede = smallest && *smallest < request.virtualTime;
    const std::size_t committed = m_held.size() + m_grants.openCount();
    if (othersPrecede || occupiedSlots() + committed >= m_window.size())
        return AdmissionDecision::Full;
    start(request);
    return AdmissionDecision::Run;
}

std::vector<AttemptId> AdmissionControl::startReady()
{
    std::vector<AttemptId> ready;
    while (m_open && hasRoom() && !m_held.empty()) {
        const AdmissionRequest request = m_held.begin()->second;
        m_held.erase(m_held.begin());
        start(request);
        ready.push_back(request.attempt);
    }
    return ready;
}

std::vector<AttemptId> AdmissionControl::takeHeld()
{
    std::vector<AttemptId> held;
    for (const auto &[virtualTime, request] : m_held)
        held.push_back(request.attempt);
    m_held.clear();
    return held;
}

std::vector<IssuedGrant> AdmissionControl::issueGrants(TimePoint now)
{
    std::vector<IssuedGrant> issued;
    m_grants.expire(now);
    while (m_open) {
        const std::size_t committed = occupiedSlots() + m_held.size() + m_grants.openCount();
        if (committed >= m_window.size() + m_settings.extraGrants)
            break;
        const auto grant = m_grants.issue(now);
        if (!grant)
            break;
        m_virtualTime = grant->virtualTime;
        issued.push_back(*grant);
    }
    return issued;
}

void AdmissionControl::finishAttempt(AttemptId attempt, std::optional<Duration> firstByte,
                                     AnswerKind kind)
{
    if (m_running.erase(attempt) > 0 && firstByte)
        m_window.recordCompletion(*firstByte, kind);
}

bool AdmissionControl::removeHeld(AttemptId attempt)
{
    return std::erase_if(m_held, [&](const auto &held) { return held.second.attempt == attempt; })
           > 0;
}

void AdmissionControl::setDemand(LinkId link, std::uint32_t waiting,
                                 std::vector<double> nextVirtualTimes)
{
    m_grants.setDemand(link, waiting, std::move(nextVirtualTimes));
}

void AdmissionControl::returnGrant(std::uint64_t grant, LinkId link)
{
    m_grants.returnGrant(grant, link);
}

void AdmissionControl::removeLink(LinkId link)
{
    m_grants.removeLink(link);
}

void AdmissionControl::handleServerCrash()
{
    m_window.resetToCold();
    m_inherited = 0;
}

void AdmissionControl::handleServerReport(bool cold, std::uint32_t running)
{
    m_window.setReportedCold(cold);
    const auto own = static_cast<std::uint32_t>(m_running.size());
    updateInherited(running > own ? running - own : 0);
    m_startedSinceReport = false;
}

void AdmissionControl::updateInherited(std::uint32_t others)
{
    // Only the first report can reveal requests of an earlier incarnation.
    if (!std::exchange(m_receivedReport, true)) {
        m_inherited = others;
        return;
    }
    // A report may be older than the latest starts, which would then hide inherited requests. While
    // requests start between all reports, the maximum over several reports is used.
    m_maxUncertainOthers = std::max(m_maxUncertainOthers, others);
    if (m_startedSinceReport && ++m_uncertainReports < requiredUncertainReports)
        return;
    m_inherited = std::min(m_inherited, m_startedSinceReport ? m_maxUncertainOthers : others);
    m_maxUncertainOthers = 0;
    m_uncertainReports = 0;
}

AdmissionLoad AdmissionControl::load() const
{
    AdmissionLoad load;
    load.window = m_window.size();
    load.running = occupiedSlots();
    load.held = static_cast<std::uint32_t>(m_held.size() + m_grants.openCount());
    load.virtualTime = m_virtualTime;
    load.cold = m_window.cold();
    load.open = m_open;
    load.contended = m_grants.hasDemand();
    return load;
}

} // namespace bilberry::decision
