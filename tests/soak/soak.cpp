// Runs real router processes, injects faults from outside in a random order, and checks invariants
// on what callers and servers observe.

#include "invariantchecker.h"
#include "soakfleet.h"

#include "crowd/crowdforms.h"
#include "support/fleet.h"
#include "support/rawcaller.h"
#include "support/resourcewatch.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <queue>
#include <thread>

#include <unistd.h>

using namespace bilberry;
using namespace bilberry::soak;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t callerCount = 8;
constexpr auto callerPause = 15ms;
/// Wait after the last fault; covers the recovery time and the longest backoffs.
constexpr auto settleTime = 5s;
/// Mean number of faults for each crowd.
constexpr std::size_t faultsPerCrowd = 6;
/// The platform kills a process that still runs this long after SIGTERM.
constexpr auto graceTime = 8s;

/// Sends one request after the other, mostly over a kept-alive connection.
class SoakCaller
{
public:
    SoakCaller(std::size_t number, std::uint64_t seed, SoakFleet &fleet, InvariantChecker &checker)
        : m_number(number), m_random(seed), m_fleet(fleet), m_checker(checker),
          m_thread([this] { run(); })
    {
    }

    ~SoakCaller()
    {
        m_stopping = true;
        m_thread.join();
    }

private:
    void run()
    {
        while (!m_stopping) {
            std::this_thread::sleep_for(callerPause);
            // Callers reuse an open connection until it ends, and reconnect at random now and then.
            if (!m_connection || randomFraction() < 0.1) {
                m_router = static_cast<std::size_t>(
                        randomFraction() * static_cast<double>(m_fleet.routers().size()));
                try {
                    m_connection = std::make_unique<tests::RawCaller>(
                            m_fleet.routers()[m_router]->port());
                } catch (const std::exception &) {
                    m_connection.reset();
                    continue; // A load balancer would not choose a router that does not listen.
                }
            }
            if (!sendRequest())
                m_connection.reset();
        }
    }

    /// @return true when the connection can be used again
    bool sendRequest()
    {
        Attempt attempt;
        attempt.id = std::to_string(m_number) + "-" + std::to_string(++m_sequence);
        attempt.kind = static_cast<RequestKind>(static_cast<int>(randomFraction() * 3.0));
        attempt.router = m_router;
        attempt.revocableKey = randomFraction() < 0.3;
        constexpr const char *paths[] = {"/book/x", "/read/x", "/watch/x"};
        attempt.sentAt = Clock::now();
        m_connection->send(
                "POST " + std::string(paths[static_cast<int>(attempt.kind)])
                + " HTTP/1.1\r\nHost: h.example\r\nBilberrystile-Attempt-Id: " + attempt.id
                + "\r\nBilberrystile-Deadline-Remaining: 2000\r\n"
                  "Authorization: Bearer "
                + (attempt.revocableKey ? "guest" : "steady") + "\r\nContent-Length: 2\r\n\r\nhi");
        const tests::RawAnswer answer = m_connection->readAnswer();
        attempt.endedAt = Clock::now();
        attempt.status = answer.status();
        parseAnswer(answer.text, attempt);
        const bool reusable = attempt.complete && !answer.contains("Connection: close");
        m_checker.recordAttempt(std::move(attempt));
        return reusable;
    }

    static void parseAnswer(const std::string &text, Attempt &attempt)
    {
        const std::size_t headEnd = text.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const std::string head = text.substr(0, headEnd);
        std::string remaining = text.substr(headEnd + 4);
        const std::size_t length = head.find("Content-Length: ");
        if (length != std::string::npos) {
            attempt.body = remaining;
            attempt.complete = remaining.size() == std::stoul(head.substr(length + 16));
            return;
        }
        while (!remaining.empty()) {
            const std::size_t lineEnd = remaining.find("\r\n");
            if (lineEnd == std::string::npos)
                return;
            const std::size_t size = std::stoul(remaining.substr(0, lineEnd), nullptr, 16);
            attempt.complete = size == 0;
            if (size == 0)
                return;
            attempt.body += remaining.substr(lineEnd + 2, size);
            remaining.erase(0, std::min(remaining.size(), lineEnd + 2 + size + 2));
        }
    }

    double randomFraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

    std::size_t m_number;
    std::mt19937_64 m_random;
    SoakFleet &m_fleet;
    InvariantChecker &m_checker;
    std::unique_ptr<tests::RawCaller> m_connection;
    std::size_t m_router = 0;
    int m_sequence = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Injects faults that may overlap; each one ends by itself after some time.
class FaultInjector
{
public:
    FaultInjector(std::uint64_t seed, SoakFleet &fleet, InvariantChecker &checker)
        : m_random(seed), m_crowdRandom(seed), m_fleet(fleet), m_checker(checker)
    {
    }

    void run(Duration length)
    {
        const TimePoint end = Clock::now() + length;
        while (Clock::now() < end) {
            injectFault();
            if (m_crowdRandom() % faultsPerCrowd == 0)
                sendCrowd();
            wait(std::chrono::milliseconds(100 + static_cast<int>(500 * randomFraction())));
        }
        while (!m_scheduledEnds.empty())
            wait(50ms);
    }

private:
    struct ScheduledEnd
    {
        TimePoint at{};
        std::function<void()> end;
        bool operator>(const ScheduledEnd &other) const { return at > other.at; }
    };

    void wait(Duration length)
    {
        const TimePoint until = Clock::now() + length;
        while (Clock::now() < until) {
            while (!m_scheduledEnds.empty() && m_scheduledEnds.top().at <= Clock::now()) {
                const auto end = m_scheduledEnds.top().end;
                m_scheduledEnds.pop();
                end();
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    void schedule(Duration after, std::function<void()> end)
    {
        m_scheduledEnds.push({Clock::now() + after, std::move(end)});
    }

    void injectFault()
    {
        const auto length
                = std::chrono::milliseconds(300 + static_cast<int>(2200 * randomFraction()));
        switch (static_cast<int>(randomFraction() * 12.0)) {
        case 0:
        case 1:
            return disturbServerPath(length);
        case 2:
            return failAnswers(length);
        case 3:
            return disturbStorePath(length);
        case 4:
            return disturbStore(length);
        case 5:
            return pauseRouter(length);
        case 6:
            return killRouter();
        case 7:
            return stopRouter();
        case 8:
            return reloadRouter();
        case 9:
            return withdrawKey();
        case 10:
            return takeZoneOut();
        default:
            return replaceServer();
        }
    }

    /// Lets callers come that leave large bodies unfinished, with a length or in small chunks.
    /// Whatever else happens to the router meanwhile, it must stay within its memory.
    void sendCrowd()
    {
        const std::size_t router = m_crowdRandom() % m_fleet.routers().size();
        const crowd::BodyFraming framing
                = m_crowdRandom() % 2 == 0 ? crowd::withLength : crowd::smallChunks;
        const auto length = std::chrono::milliseconds(500 + m_crowdRandom() % 2000);
        logFault("crowd at r" + std::to_string(router) + ", chunks of "
                         + std::to_string(framing.chunkBytes),
                 length);
        constexpr std::size_t allOfTen = 10;
        auto callers = std::make_shared<tests::Crowd>(
                m_fleet.routers()[router]->port(),
                crowd::bodyCrowd("POST /read/x HTTP/1.1\r\nHost: h.example\r\n", framing,
                                 allOfTen));
        schedule(length, [this, router, callers]() mutable {
            callers.reset();
            const std::size_t peak
                    = tests::peakResidentBytes(m_fleet.routers()[router]->process().id());
            if (peak > crowd::vmBytes)
                m_checker.addViolation("r" + std::to_string(router) + " has held "
                                       + std::to_string(peak) + " bytes");
        });
    }

    /// Skips routers with a fault: a restarted process may not have reached its main() yet.
    void reloadRouter()
    {
        const std::size_t router = pick(3);
        if (m_faultyRouters.contains(router))
            return;
        logFault("reload of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().signal(SIGHUP);
    }

    void disturbServerPath(Duration length)
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        tests::ProxyFaults &path = server.path();
        std::atomic<bool> *const kinds[]
                = {&path.cut, &path.mute, &path.muteToClient, &path.muteToServer};
        const std::size_t kind = pick(5);
        logFault("path of " + server.name() + ", kind " + std::to_string(kind), length);
        if (kind == 4) {
            path.delayMs = 80;
            schedule(length, [&path] { path.delayMs = 0; });
            return;
        }
        *kinds[kind] = true;
        schedule(length, [fault = kinds[kind]] { *fault = false; });
    }

    void failAnswers(Duration length)
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        logFault("answers of " + server.name() + " are faulty", length);
        server.setFaultShare(0.4);
        schedule(length, [&server] { server.setFaultShare(0.0); });
    }

    void disturbStorePath(Duration length)
    {
        const std::size_t router = pick(3);
        if (!markFaulty(router))
            return;
        tests::ProxyFaults &path = m_fleet.routers()[router]->storePath();
        std::atomic<bool> &fault = pick(2) ? path.cut : path.mute;
        logFault("store path of r" + std::to_string(router), length);
        fault = true;
        schedule(length, [this, router, &fault] {
            fault = false;
            clearFaulty(router);
        });
    }

    void disturbStore(Duration length)
    {
        if (m_storeDisturbed)
            return;
        const std::size_t kind = pick(5);
        logFault("store, kind " + std::to_string(kind), length);
        if (kind == 4) {
            restoreStore();
            return;
        }
        if (kind == 3) {
            m_fleet.store().forgetHistory();
            return;
        }
        constexpr tests::StoreStandIn::Mode modes[]
                = {tests::StoreStandIn::Mode::Unavailable, tests::StoreStandIn::Mode::Silent,
                   tests::StoreStandIn::Mode::Slow};
        m_storeDisturbed = true;
        setAllDisturbed(true);
        m_fleet.store().setMode(modes[kind]);
        schedule(length, [this] {
            m_fleet.store().setMode(tests::StoreStandIn::Mode::Healthy);
            m_storeDisturbed = false;
            setAllDisturbed(false);
        });
    }

    /// Brings the store back as it was some time ago, away for a moment; what operators and servers
    /// wrote since is written again soon after its return.
    void restoreStore()
    {
        constexpr auto copyAge = 1500ms;
        constexpr auto absence = 300ms;
        constexpr auto writeDelay = 100ms;
        m_storeDisturbed = true;
        m_fleet.store().copy();
        schedule(copyAge, [this] {
            setAllDisturbed(true);
            m_fleet.store().setMode(tests::StoreStandIn::Mode::Unavailable);
        });
        schedule(copyAge + absence, [this] {
            m_fleet.store().restore();
            m_fleet.store().setMode(tests::StoreStandIn::Mode::Healthy);
        });
        schedule(copyAge + absence + writeDelay, [this] {
            m_fleet.store().writeAgain();
            m_storeDisturbed = false;
            setAllDisturbed(false);
        });
    }

    /// A store fault affects every router; routers with a fault of their own stay marked.
    void setAllDisturbed(bool disturbed)
    {
        for (std::size_t i = 0; i < m_fleet.routers().size(); ++i) {
            if (!m_faultyRouters.contains(i))
                m_checker.setDisturbed(i, disturbed);
        }
    }

    void pauseRouter(Duration length)
    {
        const std::size_t router = pick(3);
        if (!markFaulty(router))
            return;
        logFault("pause of r" + std::to_string(router), length);
        m_fleet.routers()[router]->process().signal(SIGSTOP);
        schedule(length, [this, router] {
            m_fleet.routers()[router]->process().signal(SIGCONT);
            clearFaulty(router);
        });
    }

    void killRouter()
    {
        const std::size_t router = pick(3);
        if (!markFaulty(router))
            return;
        logFault("kill of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().kill();
        schedule(300ms, [this, router] { restartRouter(router); });
    }

    /// The router counts as undisturbed while it stops: a planned stop loses no answer.
    void stopRouter()
    {
        const std::size_t router = pick(3);
        if (!m_faultyRouters.insert(router).second)
            return;
        logFault("stop of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().signal(SIGTERM);
        checkStopped(router, Clock::now() + graceTime);
    }

    void checkStopped(std::size_t router, TimePoint limit)
    {
        schedule(50ms, [this, router, limit] {
            if (!m_fleet.routers()[router]->process().running()) {
                m_checker.setDisturbed(router, true);
                restartRouter(router);
            } else if (Clock::now() > limit) {
                m_checker.addViolation("r" + std::to_string(router)
                                       + " did not stop within the grace time");
                m_checker.setDisturbed(router, true);
                m_fleet.routers()[router]->process().kill();
                restartRouter(router);
            } else {
                checkStopped(router, limit);
            }
        });
    }

    void restartRouter(std::size_t router)
    {
        m_fleet.routers()[router]->start();
        schedule(500ms, [this, router] { clearFaulty(router); });
    }

    void withdrawKey()
    {
        if (m_keyWithdrawn)
            return;
        // In half of the cases a router also loses its path to the store, so that it can't receive
        // the change.
        if (pick(2) == 0)
            disturbStorePath(8s);
        logFault("key withdrawn", {});
        m_keyWithdrawn = true;
        m_fleet.configure(false);
        m_checker.setKeyWithdrawn(true);
        // Longer than the revocation limit, after which every router must refuse the key.
        schedule(std::chrono::milliseconds(6000 + static_cast<int>(3000 * randomFraction())),
                 [this] {
                     m_checker.setKeyWithdrawn(false);
                     m_fleet.configure(true);
                     m_keyWithdrawn = false;
                 });
    }

    void takeZoneOut()
    {
        if (m_zoneOut)
            return;
        logFault("zone b out of service", {});
        m_zoneOut = true;
        m_fleet.store().put("evacuations", "b", "{}");
        m_checker.setZoneOut(m_fleet.serversOf("b"), true);
        schedule(std::chrono::milliseconds(5200 + static_cast<int>(3000 * randomFraction())),
                 [this] {
                     m_checker.setZoneOut(m_fleet.serversOf("b"), false);
                     m_fleet.store().remove("evacuations", "b");
                     m_zoneOut = false;
                 });
    }

    void replaceServer()
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        logFault("replacement of " + server.name(), {});
        m_fleet.putServer(server, true);
        schedule(2500ms, [this, &server] {
            m_fleet.store().remove("servers", server.name());
            server.restart();
            schedule(500ms, [this, &server] { m_fleet.putServer(server, false); });
        });
    }

    /// Marks a router as having a fault.
    /// @return false when it already has one
    bool markFaulty(std::size_t router)
    {
        if (!m_faultyRouters.insert(router).second)
            return false;
        m_checker.setDisturbed(router, true);
        return true;
    }

    void clearFaulty(std::size_t router)
    {
        m_faultyRouters.erase(router);
        if (!m_storeDisturbed)
            m_checker.setDisturbed(router, false);
    }

    void logFault(const std::string &text, Duration length)
    {
        std::printf("  %7.3f %s, %.0f ms\n", toMilliseconds(Clock::now() - m_start) / 1000.0,
                    text.c_str(), toMilliseconds(length));
    }

    double randomFraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

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

/// Checks that, after the last fault, each router serves each request again.
void checkRecovery(SoakFleet &fleet, InvariantChecker &checker)
{
    std::this_thread::sleep_for(settleTime);
    for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
        if (!fleet.routers()[i]->process().running()) {
            checker.addViolation("r" + std::to_string(i) + " exited unexpectedly");
            continue;
        }
        for (int request = 0; request < 10; ++request) {
            tests::RawCaller caller(fleet.routers()[i]->port());
            caller.send("POST /read/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Bilberrystile-Attempt-Id: end\r\nAuthorization: Bearer guest\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n");
            const int status = caller.readAnswer().status();
            if (status != 200)
                checker.addViolation("r" + std::to_string(i)
                                     + " has not recovered: " + std::to_string(status));
        }
    }
}

/// @return true when no invariant was violated
bool runSeed(std::uint64_t seed, Duration length, bool keepLogs)
{
    const std::filesystem::path folder
            = std::filesystem::temp_directory_path()
              / ("bilberry-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    InvariantChecker checker;
    std::vector<std::string> violations;
    {
        SoakFleet fleet(seed, checker, folder);
        {
            std::vector<std::unique_ptr<SoakCaller>> callers;
            for (std::size_t i = 0; i < callerCount; ++i)
                callers.push_back(
                        std::make_unique<SoakCaller>(i, seed * callerCount + i, fleet, checker));
            FaultInjector(seed, fleet, checker).run(length);
            checkRecovery(fleet, checker);
        }
        violations = checker.check();
    }
    for (const std::string &violation : violations)
        std::printf("BROKEN seed %llu: %s\n", static_cast<unsigned long long>(seed),
                    violation.c_str());
    std::printf("seed %llu: %zu requests, %zu answered with 200, %zu invariants violated\n",
                static_cast<unsigned long long>(seed), checker.attemptCount(),
                checker.answeredCount(), violations.size());
    std::fflush(stdout);
    if (violations.empty() && !keepLogs)
        std::filesystem::remove_all(folder);
    else
        std::printf("logs: %s\n", folder.c_str());
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Injects random faults around real routers.");
    options.add_options()("seed", "first seed; random by default", cxxopts::value<std::uint64_t>());
    options.add_options()("seeds", "number of consecutive seeds",
                          cxxopts::value<int>()->default_value("1"));
    options.add_options()("seconds", "duration of the faults of one seed",
                          cxxopts::value<int>()->default_value("12"));
    options.add_options()("keep-logs", "also keep the logs of seeds that pass");
    const auto given = options.parse(argc, argv);
    const std::uint64_t first
            = given.count("seed") > 0 ? given["seed"].as<std::uint64_t>() : std::random_device{}();
    const Duration length = std::chrono::seconds(given["seconds"].as<int>());
    // A router that exits may reset a connection while a caller writes to it.
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (int i = 0; i < given["seeds"].as<int>(); ++i)
        failed += runSeed(first + static_cast<std::uint64_t>(i), length,
                          given.count("keep-logs") > 0)
                          ? 0
                          : 1;
    std::printf("%d seeds, %d failed\n", given["seeds"].as<int>(), failed);
    return failed == 0 ? 0 : 1;
}
