#ifndef BILBERRY_DECISION_CRASHSUSPICION_H
#define BILBERRY_DECISION_CRASHSUSPICION_H

#include "bilberry/decision/crashsuspect.h"
#include "bilberry/decision/routecrashes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bilberry::decision {

struct CrashSuspicionSettings
{
    /// Crashes from which on requests with the feature are refused, but for probes.
    std::size_t quarantineThreshold = 3;
    /// The same for a whole request: one that was sent again after a crash and crashed the next
    /// server shows its guilt without others.
    std::size_t requestThreshold = 2;
    /// Crashes of a quarantined feature, coincident ones too, from which on there are no probes.
    std::size_t permanentThreshold = 5;
    /// Crashes within this time count as one for the quarantine, unless the request was sent after
    /// the earlier one was seen: when an availability zone fails, one feature may be in flight at
    /// several of its servers.
    Duration coincidence = std::chrono::milliseconds(250);
    /// Time from the quarantine to the first probe.
    Duration probeInterval = std::chrono::seconds(5);
    /// Factor by which the interval grows with each probe that got no answer.
    double probeBackoff = 8.0;
    /// Time that each router lets the ones before it in the feature's order probe first: more than
    /// a report takes from one to another.
    Duration probeTurn = std::chrono::milliseconds(500);
    /// Time for which an answer to a request with the feature keeps it from being suspected.
    Duration answerLifetime = std::chrono::seconds(1);
    /// Time for which a crash counts.
    Duration lifetime = std::chrono::minutes(10);
    std::size_t maxSuspects = 4096;
    std::size_t maxAnsweredFeatures = 4096; ///< within answerLifetime
    RouteCrashSettings routes;
    bool operator==(const CrashSuspicionSettings &) const = default;
};

/// Finds what crashes servers by what the requests had in common that waited for their answers at
/// each crash. A complete answer clears all features of its request, so that what sound requests
/// hold is suspected only until one of them is answered. Routers merge what they know; the order
/// and the number of times do not matter.
class CrashSuspicion
{
public:
    enum class Admission {
        Admit,
        Probe, ///< may run to find out whether the one quarantined feature is to blame
        Refuse,
    };

    explicit CrashSuspicion(CrashSuspicionSettings settings)
        : m_settings(settings), m_routes(settings.routes)
    {
    }

    /// @param hook returns how many routers come before this one in the order in which they probe
    ///        the feature
    void setProbeOrderHook(std::function<std::size_t(RequestFeature)> hook)
    {
        m_probeOrderHook = std::move(hook);
    }

    /// @param features what the request has in common with others
    Admission check(const std::vector<RequestFeature> &features, TimePoint now) const;

    /// @return time until a refused request may be admitted; the whole lifetime when there are no
    ///         more probes
    Duration retryDelay(const std::vector<RequestFeature> &features, TimePoint now) const;

    /// Records that a request was sent to a server although Admission::Probe was its admission.
    void recordProbe(const std::vector<RequestFeature> &features, TimePoint now);

    /// @return true when a request that was in flight during a crash must not be sent again, since
    ///         several servers have crashed under requests of its route
    bool isRouteSuspect(const std::vector<RequestFeature> &features, TimePoint now) const;

    /// Records a crash. It counts against the request's route, too, unless a part of its prompt has
    /// been in flight during an earlier crash.
    /// @param features of a request that waited for its answer at the server
    /// @param sentAt when that request was sent
    /// @param crashedAt when its connection ended
    void recordCrash(ServerRun run, const std::vector<RequestFeature> &features, TimePoint sentAt,
                     TimePoint crashedAt);

    /// Records a complete answer to a request with these features.
    void recordAnswer(const std::vector<RequestFeature> &features, TimePoint now);

    /// Adds what another router knows.
    void merge(const CrashSuspect &suspect, TimePoint now);

    /// @return the suspects that this router has learned something of by itself since the last call
    std::vector<CrashSuspect> takeChanged(TimePoint now);

    /// @return the quarantined features, and those that have changed within the last two seconds;
    ///         at most 200, those with the most crashes first
    std::vector<CrashSuspect> summary(TimePoint now) const;

    /// Includes every suspect in the summaries of the next two seconds, for a router that has
    /// started and knows nothing yet.
    void repeatAll(TimePoint now);

    /// What must be written to a store that serves routers which start later.
    struct StoreChanges
    {
        /// Newly with as many crashes as leave one until the quarantine, quarantined, probed, or
        /// without probes from now on.
        std::vector<CrashSuspect> suspected;
        std::vector<RequestFeature> cleared; ///< were suspected so and have been answered since
    };

    /// @return the changes since the last call
    StoreChanges takeStoreChanges(TimePoint now);
    /// Lets takeStoreChanges() return all that the store must hold, and all that it must not: it
    /// was restored from a copy.
    void forgetStored();

    /// Crashes of one feature.
    struct CrashCount
    {
        RequestFeature feature = 0;
        std::size_t crashes = 0;
        std::size_t distinct = 0; ///< without those that coincide with another one
        bool operator==(const CrashCount &) const = default;
    };

    /// @return the feature with the most distinct crashes and their numbers; the first one and 0
    ///         when none of them is suspected
    CrashCount mostCrashes(const std::vector<RequestFeature> &features) const;

    bool isEmpty() const { return m_suspects.empty() && m_routes.isEmpty(); }
    std::size_t closedRouteCount(TimePoint now) const { return m_routes.closedCount(now); }
    std::size_t suspectCount() const { return m_suspects.size(); }
    std::size_t quarantinedCount() const;

    /// @return true when none of the crashes counts any more
    bool isExpired(const CrashSuspect &suspect) const;

    /// @return time for which a crash counts
    Duration lifetime() const { return m_settings.lifetime; }

    /// Forgets crashes that are older than the lifetime.
    void expire(TimePoint now);

private:
    enum class Stage { Suspected, LikelyCause, Quarantined, Permanent };

    struct SeenCrash
    {
        TimePoint at{};
        TimePoint sentAt{};  ///< of the newest request; unset when another router saw the crash
        bool resent = false; ///< see CrashSuspect::Crash; as the other routers say
    };

    struct Suspect
    {
        std::size_t threshold = 0; ///< crashes from which on the feature is quarantined
        std::map<ServerRun, SeenCrash> crashes;
        std::set<ServerRun> cleared;
        std::uint32_t probes = 0;
        Stage stored = Stage::Suspected; ///< as of the last takeStoreChanges()
        std::uint32_t storedProbes = 0;  ///< the same
        bool wasStored = false;          ///< at some time
        bool mayBeStored = false;        ///< in the copy that the store was restored from
        TimePoint nextProbeAt{};
        TimePoint changedAt{};
    };

    static ServerRun runAt(const Suspect &suspect, ServerRun run, TimePoint sentAt);
    static bool isResent(const Suspect &suspect, const SeenCrash &crash);
    std::size_t distinctCrashes(const Suspect &suspect) const;
    Suspect &suspectFor(RequestFeature feature);
    bool isQuarantined(const Suspect &suspect) const;
    bool hasCrashedOther(FeatureKind kind, const std::vector<RequestFeature> &features,
                         ServerRun run) const;
    bool isRepeatedOnSuspectRoute(const std::vector<RequestFeature> &features, TimePoint now) const;
    Stage stage(const Suspect &suspect) const;
    bool mayProbe(const Suspect &suspect) const
    {
        return suspect.crashes.size() < m_settings.permanentThreshold;
    }
    void addCrash(RequestFeature feature, Suspect &suspect, ServerRun run, const SeenCrash &crash,
                  TimePoint now);
    static void clearCrashes(Suspect &suspect);
    void setNextProbe(RequestFeature feature, Suspect &suspect, TimePoint now) const;
    void markChanged(RequestFeature feature, Suspect &suspect, TimePoint now);
    bool isAnsweredRecently(RequestFeature feature, TimePoint now);
    void rotateAnswered(TimePoint now);
    void evictExcessSuspects();
    static CrashSuspect describe(RequestFeature feature, const Suspect &suspect, TimePoint now);

    CrashSuspicionSettings m_settings;
    std::function<std::size_t(RequestFeature)> m_probeOrderHook
            = [](RequestFeature) { return std::size_t{0}; };
    std::unordered_map<RequestFeature, Suspect> m_suspects;
    RouteCrashes m_routes;
    std::unordered_set<RequestFeature> m_changed; ///< by this router since takeChanged()
    TimePoint m_repeatAllUntil{};                 ///< see repeatAll()
    /// Features of answered requests, of this and of the last answerLifetime.
    std::unordered_set<RequestFeature> m_answered;
    std::unordered_set<RequestFeature> m_answeredBefore;
    TimePoint m_answeredSince{};
};

} // namespace bilberry::decision

#endif
