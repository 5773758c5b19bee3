#include "bilberry/decision/routecrashes.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// Crashes that are kept of one route; more would not change any decision.
constexpr std::size_t maxCrashesKept = 16;

} // namespace

RouteCrashes::State RouteCrashes::state(RequestFeature route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return State::Sound;
    if (now < found->second.closedUntil)
        return State::Closed;
    return isSuspect(found->second, now) ? State::Suspect : State::Sound;
}

Duration RouteCrashes::closedFor(RequestFeature route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return Duration::zero();
    return std::max<Duration>(found->second.closedUntil - now, Duration::zero());
}

void RouteCrashes::record(RequestFeature route, ServerRun run, bool isResent, TimePoint crashedAt)
{
    addCrash(m_routes[route], run, {crashedAt, isResent}, crashedAt);
}

void RouteCrashes::merge(const CrashSuspect &reported, TimePoint now)
{
    Route &route = m_routes[reported.feature];
    for (const CrashSuspect::Crash &crash : reported.crashes) {
        if (crash.age <= m_settings.window)
            addCrash(route, crash.run, {now - crash.age, crash.resent}, now);
    }
    // A router that has started takes over the length of the next closure.
    route.closures = std::max(route.closures, reported.probes);
}

std::vector<CrashSuspect> RouteCrashes::summary(TimePoint now) const
{
    std::vector<CrashSuspect> suspects;
    suspects.reserve(m_routes.size());
    for (const auto &[feature, route] : m_routes)
        suspects.push_back(describe(feature, now));
    return suspects;
}

CrashSuspect RouteCrashes::describe(RequestFeature feature, TimePoint now) const
{
    CrashSuspect described;
    described.feature = feature;
    const auto found = m_routes.find(feature);
    if (found == m_routes.end())
        return described;
    described.probes = found->second.closures;
    for (const auto &[run, crash] : found->second.crashes) {
        if (now - crash.at <= m_settings.window)
            described.crashes.push_back({run, now - crash.at, crash.resent});
    }
    return described;
}

std::size_t RouteCrashes::closedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_routes.begin(), m_routes.end(),
                          [&](const auto &item) { return now < item.second.closedUntil; }));
}

void RouteCrashes::expire(TimePoint now)
{
    for (auto &[feature, route] : m_routes) {
        std::erase_if(route.crashes,
                      [&](const auto &crash) { return now - crash.second.at > m_settings.window; });
        if (now >= route.closedUntil && !isOnTrial(route, now))
            route.closures = 0;
    }
    std::erase_if(m_routes, [](const auto &item) {
        return item.second.crashes.empty() && item.second.closures == 0;
    });
}

/// @return the crashes in the window, oldest first
std::vector<RouteCrashes::SeenCrash> RouteCrashes::recentCrashes(const Route &route,
                                                                 TimePoint now) const
{
    std::vector<SeenCrash> crashes;
    for (const auto &[run, crash] : route.crashes) {
        if (now - crash.at <= m_settings.window)
            crashes.push_back(crash);
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const SeenCrash &left, const SeenCrash &right) { return left.at < right.at; });
    return crashes;
}

/// @return number of crashes, those that coincide counted once
std::size_t RouteCrashes::crashCount(const std::vector<SeenCrash> &crashes) const
{
    std::size_t count = 0;
    TimePoint last{};
    for (const SeenCrash &crash : crashes) {
        if (count > 0 && crash.at - last < m_settings.coincidence && !crash.resent)
            continue;
        last = crash.at;
        ++count;
    }
    return count;
}

bool RouteCrashes::isSuspect(const Route &route, TimePoint now) const
{
    if (isOnTrial(route, now))
        return true;
    const std::vector<SeenCrash> crashes = recentCrashes(route, now);
    return std::any_of(crashes.begin(), crashes.end(),
                       [](const SeenCrash &crash) { return crash.resent; })
           || crashCount(crashes) >= m_settings.suspectThreshold;
}

void RouteCrashes::addCrash(Route &route, ServerRun run, const SeenCrash &crash, TimePoint now)
{
    const auto known = route.crashes.find(run);
    if (known != route.crashes.end()) {
        known->second.resent = known->second.resent || crash.resent;
        return;
    }
    if (route.crashes.size() >= maxCrashesKept)
        return;
    route.crashes.emplace(run, crash);
    // Requests that were in flight when the route was closed may still crash servers.
    if (crash.at < route.closedUntil)
        return;
    const bool isOver = crashCount(recentCrashes(route, now)) >= m_settings.closeThreshold;
    if (isOver || isOnTrial(route, now))
        close(route);
}

/// Closes the route from its newest crash on, so that all routers open it at the same time.
void RouteCrashes::close(Route &route) const
{
    const auto newest = std::max_element(
            route.crashes.begin(), route.crashes.end(),
            [](const auto &left, const auto &right) { return left.second.at < right.second.at; });
    const double closureMs = toMilliseconds(m_settings.firstClosure)
                             * std::pow(m_settings.closureGrowth, route.closures);
    route.closedUntil
            = newest->second.at
              + fromMilliseconds(std::min(closureMs, toMilliseconds(m_settings.maxClosure)));
    ++route.closures;
}

/// @return true shortly after a closure
bool RouteCrashes::isOnTrial(const Route &route, TimePoint now) const
{
    return route.closures > 0 && route.closedUntil != TimePoint()
           && now - route.closedUntil < m_settings.trialPeriod;
}

} // namespace bilberry::decision
