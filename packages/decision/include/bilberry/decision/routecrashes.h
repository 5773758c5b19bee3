#ifndef BILBERRY_DECISION_ROUTECRASHES_H
#define BILBERRY_DECISION_ROUTECRASHES_H

#include "bilberry/decision/crashsuspect.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

struct RouteCrashSettings
{
    /// Time for which a crash counts.
    Duration window = std::chrono::seconds(30);
    /// Crashes in the window from which on a request that was in flight during one is not repeated.
    /// One under a request that was sent again after a crash suffices.
    std::size_t suspectThreshold = 2;
    /// Crashes in the window from which on the route is closed for a time.
    std::size_t closeThreshold = 5;
    Duration firstClosure = std::chrono::seconds(5);
    /// Factor by which a closure is longer than the one before.
    double closureGrowth = 2.0;
    /// Bounds the time for which sound requests are refused.
    Duration maxClosure = std::chrono::seconds(40);
    /// Time after a closure in which one more crash closes the route again.
    Duration trialPeriod = std::chrono::seconds(60);
    /// Crashes within this time count as one: an availability zone may have failed.
    Duration coincidence = std::chrono::milliseconds(250);
    bool operator==(const RouteCrashSettings &) const = default;
};

/// Bounds how many servers crash under different requests of one route that have nothing in common
/// which a router can see. It can't tell the harmful requests from the sound ones, so that it first
/// stops to repeat those that were in flight during a crash, and closes the route for a time only
/// when servers go on to crash. Routers merge what they know; the order and the number of times do
/// not matter.
class RouteCrashes
{
public:
    enum class State {
        Sound,
        Suspect, ///< requests in flight during a crash must not be repeated
        Closed,
    };

    explicit RouteCrashes(RouteCrashSettings settings) : m_settings(settings) {}

    State state(RequestFeature route, TimePoint now) const;
    /// @return time until the route is open; zero when it is
    Duration closedFor(RequestFeature route, TimePoint now) const;

    /// Records a crash under a request that no part of its prompt explains.
    /// @param isResent true when the request was in flight during an earlier crash, too
    void record(RequestFeature route, ServerRun run, bool isResent, TimePoint crashedAt);
    /// Adds what another router knows.
    void merge(const CrashSuspect &reported, TimePoint now);
    /// @return the routes with crashes in the window, and those that were closed lately
    std::vector<CrashSuspect> summary(TimePoint now) const;
    /// @return what summary() tells of one route
    CrashSuspect describe(RequestFeature route, TimePoint now) const;

    bool isEmpty() const { return m_routes.empty(); }
    std::size_t closedCount(TimePoint now) const;
    void expire(TimePoint now);

private:
    struct SeenCrash
    {
        TimePoint at{};
        bool resent = false; ///< see CrashSuspect::Crash
    };

    struct Route
    {
        std::map<ServerRun, SeenCrash> crashes;
        std::uint32_t closures = 0; ///< without a quiet trial period between them
        TimePoint closedUntil{};    ///< of the last one
    };

    std::vector<SeenCrash> recentCrashes(const Route &route, TimePoint now) const;
    std::size_t crashCount(const std::vector<SeenCrash> &crashes) const;
    bool isSuspect(const Route &route, TimePoint now) const;
    void addCrash(Route &route, ServerRun run, const SeenCrash &crash, TimePoint now);
    void close(Route &route) const;
    bool isOnTrial(const Route &route, TimePoint now) const;

    RouteCrashSettings m_settings;
    std::unordered_map<RequestFeature, Route> m_routes;
};

} // namespace bilberry::decision

#endif
