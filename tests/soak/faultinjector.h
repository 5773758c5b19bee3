#ifndef BILBERRY_SOAK_FAULTINJECTOR_H
#define BILBERRY_SOAK_FAULTINJECTOR_H

#include "invariantchecker.h"
#include "soakfleet.h"

#include "bilberry/base/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bilberry::soak {

/// Injects faults that may overlap; each one ends by itself after some time.
class FaultInjector
{
public:
    FaultInjector(std::uint64_t seed, SoakFleet &fleet, InvariantChecker &checker)
        : m_random(seed), m_crowdRandom(seed), m_fleet(fleet), m_checker(checker)
    {
    }

    /// Injects faults for a time, and waits until the last one has ended.
    void run(Duration length);

private:
    struct ScheduledEnd
    {
        TimePoint at{};
        std::function<void()> end;
        bool operator>(const ScheduledEnd &other) const { return at > other.at; }
    };

    void wait(Duration length);
    void schedule(Duration after, std::function<void()> end);
    void injectFault();

    /// Lets callers come that leave large bodies unfinished, with a length or in small chunks.
    /// Whatever else happens to the router meanwhile, it must stay within its memory.
    void sendCrowd();
    /// Skips routers with a fault: a restarted process may not have reached its main() yet.
    void reloadRouter();
    void disturbServerPath(Duration length);
    void failAnswers(Duration length);
    void disturbStorePath(Duration length);
    void disturbStore(Duration length);
    /// Brings the store back as it was some time ago, away for a moment; what operators and servers
    /// wrote since is written again soon after its return.
    void restoreStore();
    /// A store fault affects every router; routers with a fault of their own stay marked.
    void setAllDisturbed(bool disturbed);
    void pauseRouter(Duration length);
    void killRouter();
    /// The router counts as undisturbed while it stops: a planned stop loses no answer.
    void stopRouter();
    void checkStopped(std::size_t router, TimePoint limit);
    void restartRouter(std::size_t router);
    void withdrawKey();
    void takeZoneOut();
    void replaceServer();
    /// Marks a router as having a fault.
    /// @return false when it already has one
    bool markFaulty(std::size_t router);
    void clearFaulty(std::size_t router);
    void logFault(const std::string &text, Duration length);
    double randomFraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    /// @return a random number below the count
    std::size_t pick(std::size_t count);

    std::mt19937_64 m_random;
    std::mt19937_64 m_crowdRandom; ///< of its own, so that a seed's other faults stay as they were
    SoakFleet &m_fleet;
    InvariantChecker &m_checker;
    TimePoint m_start = Clock::now();
    std::priority_queue<ScheduledEnd, std::vector<ScheduledEnd>, std::greater<>> m_scheduledEnds;
    std::set<std::size_t> m_faultyRouters; ///< routers with a fault of their own
    bool m_storeDisturbed = false;
    bool m_keyWithdrawn = false;
    bool m_zoneOut = false;
};

} // namespace bilberry::soak

#endif
