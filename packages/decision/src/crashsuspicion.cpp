#include "bilberry/decision/crashsuspicion.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberry::decision {

namespace {

/// Crashes that are kept of one feature; more would not change any decision.
constexpr std::size_t maxCrashesKept = 16;
/// Time for which a change is repeated to the other routers, whose datagrams may get lost.
constexpr Duration repeatTime = std::chrono::seconds(2);
/// Time that a server needs at least to start again after a crash.
constexpr Duration minRestartTime = std::chrono::seconds(1);
/// Suspects in one summary, which keeps it within one datagram.
constexpr std::size_t maxSummarySize = 200;

} // namespace

CrashSuspicion::Admission CrashSuspicion::check(const std::vector<RequestFeature> &features,
                                                TimePoint now) const
{
    for (const RequestFeature feature : features) {
        if (m_routes.state(feature, now) == RouteCrashes::State::Closed)
            return Admission::Refuse;
    }
    if (isRepeatedOnSuspectRoute(features, now))
        return Admission::Refuse;
    const Suspect *quarantined = nullptr;
    for (const RequestFeature feature : features) {
        const auto found = m_suspects.find(feature);
        if (found == m_suspects.end() || !isQuarantined(found->second))
            continue;
        // A probe that involves two of them would not tell which one is to blame.
        if (quarantined || !mayProbe(found->second))
            return Admission::Refuse;
        quarantined = &found->second;
    }
    if (!quarantined)
        return Admission::Admit;
    return now < quarantined->nextProbeAt ? Admission::Refuse : Admission::Probe;
}

Duration CrashSuspicion::retryDelay(const std::vector<RequestFeature> &features,
                                    TimePoint now) const
{
    Duration delay{};
    if (isRepeatedOnSuspectRoute(features, now))
        delay = m_settings.probeInterval;
    for (const RequestFeature feature : features) {
        delay = std::max(delay, m_routes.closedFor(feature, now));
        const auto found = m_suspects.find(feature);
        if (found == m_suspects.end() || !isQuarantined(found->second))
            continue;
        const Suspect &suspect = found->second;
        const TimePoint until = mayProbe(suspect) ? suspect.nextProbeAt : now + m_settings.lifetime;
        delay = std::max<Duration>(delay, until - now);
    }
    return delay;
}

bool CrashSuspicion::isRouteSuspect(const std::vector<RequestFeature> &features,
                                    TimePoint now) const
{
    return std::any_of(features.begin(), features.end(), [&](RequestFeature feature) {
        return m_routes.state(feature, now) != RouteCrashes::State::Sound;
    });
}

/// @return true for a request that was in flight during a crash less than a probe's interval ago,
///         when servers crash under different requests of its route
bool CrashSuspicion::isRepeatedOnSuspectRoute(const std::vector<RequestFeature> &features,
                                              TimePoint now) const
{
    if (!isRouteSuspect(features, now))
        return false;
    return std::any_of(features.begin(), features.end(), [&](RequestFeature feature) {
        const auto found = m_suspects.find(feature);
        return featureKind(feature) == FeatureKind::WholeRequest && found != m_suspects.end()
               && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                              [&](const auto &crash) {
                                  return now - crash.second.at < m_settings.probeInterval;
                              });
    });
}

void CrashSuspicion::recordProbe(const std::vector<RequestFeature> &features, TimePoint now)
{
    for (const RequestFeature feature : features) {
        const auto found = m_suspects.find(feature);
        if (found == m_suspects.end() || !isQuarantined(found->second))
            continue;
        ++found->second.probes;
        setNextProbe(feature, found->second, now);
        markChanged(feature, found->second, now);
    }
}

void CrashSuspicion::recordCrash(ServerRun run, const std::vector<RequestFeature> &features,
                                 TimePoint sentAt, TimePoint crashedAt)
{
    const bool isOfPart = hasCrashedOther(FeatureKind::PromptPart, features, run);
    const bool isResent = hasCrashedOther(FeatureKind::WholeRequest, features, run);
    for (const RequestFeature feature : features) {
        if (featureKind(feature) == FeatureKind::Route) {
            if (!isOfPart) {
                m_routes.record(feature, run, isResent, crashedAt);
                m_changed.insert(feature);
            }
            continue;
        }
        if (isAnsweredRecently(feature, crashedAt))
            continue;
        Suspect &suspect = suspectFor(feature);
        addCrash(feature, suspect, runAt(suspect, run, sentAt), {crashedAt, sentAt, false},
                 crashedAt);
        markChanged(feature, suspect, crashedAt);
    }
    evictExcessSuspects();
}

/// @return true when a feature of that kind was in flight during the crash of another server
bool CrashSuspicion::hasCrashedOther(FeatureKind kind, const std::vector<RequestFeature> &features,
                                     ServerRun run) const
{
    return std::any_of(features.begin(), features.end(), [&](RequestFeature feature) {
        const auto found = m_suspects.find(feature);
        return featureKind(feature) == kind && found != m_suspects.end()
               && std::any_of(found->second.crashes.begin(), found->second.crashes.end(),
                              [run](const auto &crash) { return crash.first != run; });
    });
}

void CrashSuspicion::recordAnswer(const std::vector<RequestFeature> &features, TimePoint now)
{
    rotateAnswered(now);
    for (const RequestFeature feature : features) {
        // Sound requests of a route say nothing about its other requests.
        if (featureKind(feature) == FeatureKind::Route)
            continue;
        if (m_answered.size() < m_settings.maxAnsweredFeatures)
            m_answered.insert(feature);
        const auto found = m_suspects.find(feature);
        if (found == m_suspects.end() || found->second.crashes.empty())
            continue;
        clearCrashes(found->second);
        markChanged(feature, found->second, now);
    }
}

void CrashSuspicion::merge(const CrashSuspect &reported, TimePoint now)
{
    if (featureKind(reported.feature) == FeatureKind::Route) {
        m_routes.merge(reported, now);
        return;
    }
    Suspect &suspect = suspectFor(reported.feature);
    if (suspect.changedAt == TimePoint())
        suspect.changedAt = now;
    for (const ServerRun run : reported.cleared) {
        suspect.crashes.erase(run);
        if (suspect.cleared.size() < maxCrashesKept)
            suspect.cleared.insert(run);
    }
    // An expired crash must not come back from a router that learned of it later.
    for (const CrashSuspect::Crash &crash : reported.crashes) {
        if (crash.age <= m_settings.lifetime)
            addCrash(reported.feature, suspect, crash.run, {now - crash.age, {}, crash.resent},
                     now);
    }
    if (reported.probes > suspect.probes) {
        suspect.probes = reported.probes;
        setNextProbe(reported.feature, suspect, now);
    }
    if (!suspect.crashes.empty() && isAnsweredRecently(reported.feature, now)) {
        clearCrashes(suspect);
        markChanged(reported.feature, suspect, now);
    }
    evictExcessSuspects();
}

std::vector<CrashSuspect> CrashSuspicion::takeChanged(TimePoint now)
{
    std::vector<CrashSuspect> changed;
    changed.reserve(m_changed.size());
    for (const RequestFeature feature : m_changed) {
        if (featureKind(feature) == FeatureKind::Route)
            changed.push_back(m_routes.describe(feature, now));
        const auto found = m_suspects.find(feature);
        if (found != m_suspects.end())
            changed.push_back(describe(feature, found->second, now));
    }
    m_changed.clear();
    return changed;
}

std::vector<CrashSuspect> CrashSuspicion::summary(TimePoint now) const
{
    std::vector<CrashSuspect> suspects = m_routes.summary(now);
    for (const auto &[feature, suspect] : m_suspects) {
        // A router that has started may have read a record that was cleared since.
        const bool mayMatter = !suspect.crashes.empty() || suspect.wasStored;
        const bool isRepeated = now < m_repeatAllUntil && mayMatter;
        if (isRepeated || isQuarantined(suspect) || now - suspect.changedAt < repeatTime)
            suspects.push_back(describe(feature, suspect, now));
    }
    std::sort(suspects.begin(), suspects.end(),
              [](const CrashSuspect &left, const CrashSuspect &right) {
                  return left.crashes.size() > right.crashes.size();
              });
    suspects.resize(std::min(suspects.size(), maxSummarySize));
    return suspects;
}

void CrashSuspicion::repeatAll(TimePoint now)
{
    m_repeatAllUntil = now + repeatTime;
}

CrashSuspicion::StoreChanges CrashSuspicion::takeStoreChanges(TimePoint now)
{
    StoreChanges changes;
    for (auto &[feature, suspect] : m_suspects) {
        const Stage current = stage(suspect);
        const Stage stored = std::exchange(suspect.stored, std::max(current, suspect.stored));
        const bool isProbed
                = current != Stage::Suspected
                  && std::exchange(suspect.storedProbes, suspect.probes) < suspect.probes;
        suspect.wasStored = suspect.wasStored || suspect.stored != Stage::Suspected;
        if (current > stored || isProbed)
            changes.suspected.push_back(describe(feature, suspect, now));
        const bool isStored
                = std::exchange(suspect.mayBeStored, false) || stored != Stage::Suspected;
        if (!isStored || !suspect.crashes.empty())
            continue;
        changes.cleared.push_back(feature);
        suspect.stored = Stage::Suspected;
    }
    return changes;
}

void CrashSuspicion::forgetStored()
{
    for (auto &[feature, suspect] : m_suspects) {
        suspect.stored = Stage::Suspected;
        suspect.storedProbes = 0;
        suspect.mayBeStored = suspect.wasStored;
    }
}

CrashSuspicion::Stage CrashSuspicion::stage(const Suspect &suspect) const
{
    if (distinctCrashes(suspect) + 1 < m_settings.quarantineThreshold)
        return Stage::Suspected;
    if (!isQuarantined(suspect))
        return Stage::LikelyCause;
    return mayProbe(suspect) ? Stage::Quarantined : Stage::Permanent;
}

CrashSuspicion::CrashCount
CrashSuspicion::mostCrashes(const std::vector<RequestFeature> &features) const
{
    CrashCount most;
    most.feature = features.empty() ? 0 : features.front();
    for (const RequestFeature feature : features) {
        const auto found = m_suspects.find(feature);
        if (found == m_suspects.end())
            continue;
        const CrashCount count{feature, found->second.crashes.size(),
                               distinctCrashes(found->second)};
        if (std::pair(count.distinct, count.crashes) > std::pair(most.distinct, most.crashes))
            most = count;
    }
    return most;
}

std::size_t CrashSuspicion::quarantinedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(),
                          [this](const auto &item) { return isQuarantined(item.second); }));
}

bool CrashSuspicion::isExpired(const CrashSuspect &suspect) const
{
    return std::all_of(
            suspect.crashes.begin(), suspect.crashes.end(),
            [this](const CrashSuspect::Crash &crash) { return crash.age > m_settings.lifetime; });
}

void CrashSuspicion::expire(TimePoint now)
{
    m_routes.expire(now);
    for (auto &[feature, suspect] : m_suspects) {
        std::erase_if(suspect.crashes,
                      [&](const auto &seen) { return now - seen.second.at > m_settings.lifetime; });
    }
    std::erase_if(m_suspects, [&](const auto &item) {
        return item.second.crashes.empty() && now - item.second.changedAt > m_settings.lifetime;
    });
}

/// @return the run of the server's process to which a request was sent: not the given one when that
/// one had crashed some time before. The list of servers may be out of date, and a server may start
/// again under the id that it had.
ServerRun CrashSuspicion::runAt(const Suspect &suspect, ServerRun run, TimePoint sentAt)
{
    auto known = suspect.crashes.find(run);
    while (known != suspect.crashes.end() && sentAt - known->second.at >= minRestartTime)
        known = suspect.crashes.find(++run);
    return run;
}

/// @return true when a request was sent to the server that crashed after another server had
/// crashed, so that both crashes can't have a common cause outside of the requests
bool CrashSuspicion::isResent(const Suspect &suspect, const SeenCrash &crash)
{
    return crash.resent
           || std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &other) {
                  return &other.second != &crash && crash.sentAt >= other.second.at;
              });
}

/// @return number of crashes, those that coincide counted once
std::size_t CrashSuspicion::distinctCrashes(const Suspect &suspect) const
{
    std::vector<const SeenCrash *> crashes;
    crashes.reserve(suspect.crashes.size());
    for (const auto &[run, crash] : suspect.crashes)
        crashes.push_back(&crash);
    std::sort(crashes.begin(), crashes.end(),
              [](const SeenCrash *left, const SeenCrash *right) { return left->at < right->at; });
    std::size_t count = 0;
    TimePoint last{};
    for (const SeenCrash *crash : crashes) {
        const bool coincides = count > 0 && crash->at - last < m_settings.coincidence;
        if (coincides && !isResent(suspect, *crash))
            continue;
        last = crash->at;
        ++count;
    }
    return count;
}

bool CrashSuspicion::isQuarantined(const Suspect &suspect) const
{
    return suspect.crashes.size() >= suspect.threshold
           && distinctCrashes(suspect) >= suspect.threshold;
}

CrashSuspicion::Suspect &CrashSuspicion::suspectFor(RequestFeature feature)
{
    const auto [found, added] = m_suspects.try_emplace(feature);
    if (added)
        found->second.threshold = featureKind(feature) == FeatureKind::WholeRequest
                                          ? m_settings.requestThreshold
                                          : m_settings.quarantineThreshold;
    return found->second;
}

void CrashSuspicion::addCrash(RequestFeature feature, Suspect &suspect, ServerRun run,
                              const SeenCrash &crash, TimePoint now)
{
    if (suspect.cleared.contains(run))
        return;
    const bool wasQuarantined = isQuarantined(suspect);
    const auto known = suspect.crashes.find(run);
    if (known != suspect.crashes.end()) {
        known->second.sentAt = std::max(known->second.sentAt, crash.sentAt);
        known->second.resent = known->second.resent || crash.resent;
    } else if (suspect.crashes.size() < maxCrashesKept) {
        suspect.crashes.emplace(run, crash);
        suspect.changedAt = now;
    }
    if (!wasQuarantined && isQuarantined(suspect))
        setNextProbe(feature, suspect, now);
}

void CrashSuspicion::clearCrashes(Suspect &suspect)
{
    if (suspect.cleared.size() + suspect.crashes.size() > maxCrashesKept)
        suspect.cleared.clear();
    for (const auto &[run, crash] : suspect.crashes)
        suspect.cleared.insert(run);
    suspect.crashes.clear();
}

void CrashSuspicion::setNextProbe(RequestFeature feature, Suspect &suspect, TimePoint now) const
{
    const double interval = toMilliseconds(m_settings.probeInterval)
                            * std::pow(m_settings.probeBackoff, suspect.probes);
    const double turn
            = toMilliseconds(m_settings.probeTurn) * static_cast<double>(m_probeOrderHook(feature));
    suspect.nextProbeAt
            = now
              + fromMilliseconds(std::min(interval + turn, toMilliseconds(m_settings.lifetime)));
}

void CrashSuspicion::markChanged(RequestFeature feature, Suspect &suspect, TimePoint now)
{
    suspect.changedAt = now;
    m_changed.insert(feature);
}

bool CrashSuspicion::isAnsweredRecently(RequestFeature feature, TimePoint now)
{
    rotateAnswered(now);
    return m_answered.contains(feature) || m_answeredBefore.contains(feature);
}

void CrashSuspicion::rotateAnswered(TimePoint now)
{
    const Duration age = now - m_answeredSince;
    if (age < m_settings.answerLifetime)
        return;
    m_answeredBefore = age < 2 * m_settings.answerLifetime ? std::exchange(m_answered, {})
                                                           : std::unordered_set<RequestFeature>();
    m_answered.clear();
    m_answeredSince = now;
}

/// Evicts the suspects with the fewest crashes, and among those the oldest.
void CrashSuspicion::evictExcessSuspects()
{
    while (m_suspects.size() > m_settings.maxSuspects) {
        const auto victim = std::min_element(
                m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
                    return std::pair(left.second.crashes.size(), left.second.changedAt)
                           < std::pair(right.second.crashes.size(), right.second.changedAt);
                });
        m_changed.erase(victim->first);
        m_suspects.erase(victim);
    }
}

CrashSuspect CrashSuspicion::describe(RequestFeature feature, const Suspect &suspect, TimePoint now)
{
    CrashSuspect described;
    described.feature = feature;
    for (const auto &[run, crash] : suspect.crashes)
        described.crashes.push_back({run, now - crash.at, isResent(suspect, crash)});
    described.cleared.assign(suspect.cleared.begin(), suspect.cleared.end());
    described.probes = suspect.probes;
    return described;
}

} // namespace bilberry::decision
