#include "bilberry/decision/admissioncontrol.h"

#include <algorithm>
#include <utility>

namespace bilberry::decision {

namespace {

constexpr std::uint32_t reportsToBelieve = 5;

} // namespace

AdmissionControl::AdmissionControl(AdmissionSettings settings)
    : m_settings(settings), m_window(settings.limits),
      m_grants(settings.grantLifetime, settings.firstGrant)
{
}

void AdmissionControl::setLimits(WindowLimits limits)
{
    m_settings.limits = limits;
    m_window.setLimits(limits);
}

std::uint32_t AdmissionControl::used() const
{
    return static_cast<std::uint32_t>(m_running.size()) + m_inherited;
}

void AdmissionControl::start(const AdmissionRequest &request)
{
    m_running.emplace(request.attempt, request);
    m_startedSinceReport = true;
    // While work waits, the grants tell how far service is: the largest virtual time would set
    // customers back that come and go.
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
    const auto first = m_grants.smallestVirtualTime();
    const bool othersFirst = first && *first < request.virtualTime;
    const std::size_t promised = m_held.size() + m_grants.open();
    if (othersFirst || used() + promised >= m_window.size())
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
        const std::size_t promised = used() + m_held.size() + m_grants.open();
        if (promised >= m_window.size() + m_settings.extraGrants)
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
        m_window.completed(*firstByte, kind);
}

bool AdmissionControl::removeHeld(AttemptId attempt)
{
    return std::erase_if(m_held, [&](const auto &entry) { return entry.second.attempt == attempt; })
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
    m_window.turnedCold();
    m_inherited = 0;
}

void AdmissionControl::handleServerReport(bool cold, std::uint32_t running)
{
    m_window.reported(cold);
    const auto own = static_cast<std::uint32_t>(m_running.size());
    updateInherited(running > own ? running - own : 0);
    m_startedSinceReport = false;
}

void AdmissionControl::updateInherited(std::uint32_t others)
{
    // Only the first report can show requests of an earlier life.
    if (!std::exchange(m_heardReport, true)) {
        m_inherited = others;
        return;
    }
    // A report may be older than the latest starts, which would then hide inherited requests. While
    // there are starts between all reports, several that agree are believed.
    m_doubtfulOthers = std::max(m_doubtfulOthers, others);
    if (m_startedSinceReport && ++m_doubtfulReports < reportsToBelieve)
        return;
    m_inherited = std::min(m_inherited, m_startedSinceReport ? m_doubtfulOthers : others);
    m_doubtfulOthers = 0;
    m_doubtfulReports = 0;
}

AdmissionLoad AdmissionControl::load() const
{
    AdmissionLoad load;
    load.window = m_window.size();
    load.running = used();
    load.held = static_cast<std::uint32_t>(m_held.size() + m_grants.open());
    load.virtualTime = m_virtualTime;
    load.cold = m_window.cold();
    load.open = m_open;
    load.contended = m_grants.contended();
    return load;
}

} // namespace bilberry::decision
