#include "crashes/crashguard.h"

#include "crashes/requestfeatures.h"
#include "request/requestadmission.h"

namespace bilberry::direct {

using Admission = decision::CrashSuspicion::Admission;

namespace {

/// Time after the first byte of its body for which a response counts as just begun.
constexpr Duration responseBeginning = std::chrono::milliseconds(300);
/// Mean number of requests at the other servers of the pool from which on a crash does not count
/// against a route without suspicion: whatever crashes a busy server, some request of each route is
/// there.
constexpr double busyPoolRequests = 1.0;

} // namespace

CrashGuard::CrashGuard(decision::CrashSuspicion &suspicion, CrashDetector &detector,
                       const decision::ServerSelector &selector, const AdmittedRequest &admitted,
                       const CallerRequest &request, const HeaderNames &names)
    : m_suspicion(suspicion), m_detector(detector), m_selector(selector), m_admitted(admitted),
      m_request(request), m_names(names)
{
}

Admission CrashGuard::admission()
{
    if (m_suspicion.isEmpty())
        return Admission::Admit;
    return m_suspicion.check(features(), Clock::now());
}

decision::CrashSuspicion::CrashCount CrashGuard::knownCrashes()
{
    if (m_suspicion.isEmpty())
        return {};
    return m_suspicion.mostCrashes(features());
}

void CrashGuard::startAttempt(const DirectServer &server, Admission admission)
{
    m_server = server;
    m_sentAt = Clock::now();
    m_bodyBeganAt = {};
    m_isBroken = false;
    if (admission == Admission::Probe)
        m_suspicion.recordProbe(features(), Clock::now());
}

void CrashGuard::recordBody()
{
    if (m_bodyBeganAt == TimePoint())
        m_bodyBeganAt = Clock::now();
}

/// A request crashes its server when the response begins, so that one whose response is well under
/// way is no suspect.
void CrashGuard::recordBroken()
{
    const bool hasJustBegun
            = m_bodyBeganAt == TimePoint() || Clock::now() - m_bodyBeganAt < responseBeginning;
    if (!hasJustBegun)
        return;
    m_isBroken = true;
    std::vector<decision::RequestFeature> suspects = features();
    const bool isBusy = m_selector.meanInFlight(m_server.pool, m_server.id) >= busyPoolRequests;
    if (isBusy && !m_suspicion.isRouteSuspect(suspects, Clock::now()))
        std::erase_if(suspects, [](decision::RequestFeature feature) {
            return decision::featureKind(feature) == decision::FeatureKind::Route;
        });
    m_detector.recordBrokenAttempt(m_server, suspects, m_sentAt);
}

bool CrashGuard::mustNotRepeat()
{
    return m_isBroken && m_suspicion.isRouteSuspect(features(), Clock::now());
}

void CrashGuard::recordAnswer()
{
    // Without suspects only the parts matter, which other requests have: they are known as sound
    // for a while.
    const bool wholeMatters = !m_suspicion.isEmpty();
    m_suspicion.recordAnswer(wholeMatters ? features()
                                          : sharedPartFeatures(m_request[m_names.promptParts]),
                             Clock::now());
}

const std::vector<decision::RequestFeature> &CrashGuard::features()
{
    if (m_features.empty())
        m_features = requestFeatures(*m_admitted.route, m_admitted.customer, m_request, m_names);
    return m_features;
}

} // namespace bilberry::direct
