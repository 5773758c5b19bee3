// Runs real routers as processes, injects faults from outside them in a random order, and checks
// from what callers and servers see that the promises hold.

#include "promises.h"
#include "soakfleet.h"

#include "support/fleet.h"
#include "support/rawcaller.h"

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
/// After the last fault: contact time and the longest backoffs.
constexpr auto settleTime = 5s;
/// The platform kills a process that has not ended so long after SIGTERM.
constexpr auto graceTime = 8s;

/// Sends one request after the other, mostly over kept connections.
class SoakCaller
{
public:
    SoakCaller(std::size_t number, std::uint64_t seed, SoakFleet &fleet, Promises &promises)
        : m_number(number), m_random(seed), m_fleet(fleet), m_promises(promises),
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
            // Callers keep to open connections until those end.
            if (!m_connection || draw() < 0.1) {
                m_router = static_cast<std::size_t>(
                        draw() * static_cast<double>(m_fleet.routers().size()));
                try {
                    m_connection = std::make_unique<tests::RawCaller>(
                            m_fleet.routers()[m_router]->port());
                } catch (const std::exception &) {
                    m_connection.reset();
                    continue; // The router does not listen; the balancer would not send us there.
                }
            }
            if (!ask())
                m_connection.reset();
        }
    }

    /// @return true when the connection can be used again
    bool ask()
    {
        Attempt attempt;
        attempt.id = std::to_string(m_number) + "-" + std::to_string(++m_sequence);
        attempt.kind = static_cast<Kind>(static_cast<int>(draw() * 3.0));
        attempt.router = m_router;
        attempt.revocableKey = draw() < 0.3;
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
        read(answer.text, attempt);
        const bool reusable = attempt.whole && !answer.contains("Connection: close");
        m_promises.ended(std::move(attempt));
        return reusable;
    }

    static void read(const std::string &text, Attempt &attempt)
    {
        const std::size_t headEnd = text.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const std::string head = text.substr(0, headEnd);
        std::string rest = text.substr(headEnd + 4);
        const std::size_t length = head.find("Content-Length: ");
        if (length != std::string::npos) {
            attempt.body = rest;
            attempt.whole = rest.size() == std::stoul(head.substr(length + 16));
            return;
        }
        while (!rest.empty()) {
            const std::size_t lineEnd = rest.find("\r\n");
            if (lineEnd == std::string::npos)
                return;
            const std::size_t size = std::stoul(rest.substr(0, lineEnd), nullptr, 16);
            attempt.whole = size == 0;
            if (size == 0)
                return;
            attempt.body += rest.substr(lineEnd + 2, size);
            rest.erase(0, std::min(rest.size(), lineEnd + 2 + size + 2));
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

    std::size_t m_number;
    std::mt19937_64 m_random;
    SoakFleet &m_fleet;
    Promises &m_promises;
    std::unique_ptr<tests::RawCaller> m_connection;
    std::size_t m_router = 0;
    int m_sequence = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Injects faults that overlap; each one ends by itself.
class Trouble
{
public:
    Trouble(std::uint64_t seed, SoakFleet &fleet, Promises &promises)
        : m_random(seed), m_fleet(fleet), m_promises(promises)
    {
    }

    void run(Duration length)
    {
        const TimePoint end = Clock::now() + length;
        while (Clock::now() < end) {
            act();
            wait(std::chrono::milliseconds(100 + static_cast<int>(500 * draw())));
        }
        while (!m_endings.empty())
            wait(50ms);
    }

private:
    struct Ending
    {
        TimePoint at{};
        std::function<void()> end;
        bool operator>(const Ending &other) const { return at > other.at; }
    };

    void wait(Duration length)
    {
        const TimePoint until = Clock::now() + length;
        while (Clock::now() < until) {
            while (!m_endings.empty() && m_endings.top().at <= Clock::now()) {
                const auto end = m_endings.top().end;
                m_endings.pop();
                end();
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    void later(Duration after, std::function<void()> end)
    {
        m_endings.push({Clock::now() + after, std::move(end)});
    }

    void act()
    {
        const auto length = std::chrono::milliseconds(300 + static_cast<int>(2200 * draw()));
        switch (static_cast<int>(draw() * 12.0)) {
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
            return reload();
        case 9:
            return withdrawKey();
        case 10:
            return takeZoneOut();
        default:
            return replaceServer();
        }
    }

    /// A process that is started again may not have come to its main() yet.
    void reload()
    {
        const std::size_t router = pick(3);
        if (m_busy.contains(router))
            return;
        note("reload of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().signal(SIGHUP);
    }

    void disturbServerPath(Duration length)
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        tests::ProxyFaults &path = server.path();
        std::atomic<bool> *const kinds[]
                = {&path.cut, &path.mute, &path.muteToClient, &path.muteToServer};
        const std::size_t kind = pick(5);
        note("path of " + server.name() + ", kind " + std::to_string(kind), length);
        if (kind == 4) {
            path.delayMs = 80;
            later(length, [&path] { path.delayMs = 0; });
            return;
        }
        *kinds[kind] = true;
        later(length, [fault = kinds[kind]] { *fault = false; });
    }

    void failAnswers(Duration length)
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        note("answers of " + server.name() + " go wrong", length);
        server.setFaultShare(0.4);
        later(length, [&server] { server.setFaultShare(0.0); });
    }

    void disturbStorePath(Duration length)
    {
        const std::size_t router = pick(3);
        if (!begin(router))
            return;
        tests::ProxyFaults &path = m_fleet.routers()[router]->storePath();
        std::atomic<bool> &fault = pick(2) ? path.cut : path.mute;
        note("store path of r" + std::to_string(router), length);
        fault = true;
        later(length, [this, router, &fault] {
            fault = false;
            finish(router);
        });
    }

    void disturbStore(Duration length)
    {
        if (m_storeDisturbed)
            return;
        const std::size_t kind = pick(4);
        note("store, kind " + std::to_string(kind), length);
        if (kind == 3) {
            m_fleet.store().forgetHistory();
            return;
        }
        constexpr StoreStandIn::Mode modes[]
                = {StoreStandIn::Mode::Unavailable, StoreStandIn::Mode::Silent,
                   StoreStandIn::Mode::Slow};
        m_storeDisturbed = true;
        disturbAll(true);
        m_fleet.store().setMode(modes[kind]);
        later(length, [this] {
            m_fleet.store().setMode(StoreStandIn::Mode::Healthy);
            m_storeDisturbed = false;
            disturbAll(false);
        });
    }

    /// The store counts for every router; what is done to one of them by itself goes on.
    void disturbAll(bool disturbed)
    {
        for (std::size_t i = 0; i < m_fleet.routers().size(); ++i) {
            if (!m_busy.contains(i))
                m_promises.disturbed(i, disturbed);
        }
    }

    void pauseRouter(Duration length)
    {
        const std::size_t router = pick(3);
        if (!begin(router))
            return;
        note("pause of r" + std::to_string(router), length);
        m_fleet.routers()[router]->process().signal(SIGSTOP);
        later(length, [this, router] {
            m_fleet.routers()[router]->process().signal(SIGCONT);
            finish(router);
        });
    }

    void killRouter()
    {
        const std::size_t router = pick(3);
        if (!begin(router))
            return;
        note("kill of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().kill();
        later(300ms, [this, router] { startAgain(router); });
    }

    /// The router counts as calm while it stops: planned work loses no answer.
    void stopRouter()
    {
        const std::size_t router = pick(3);
        if (!m_busy.insert(router).second)
            return;
        note("stop of r" + std::to_string(router), {});
        m_fleet.routers()[router]->process().signal(SIGTERM);
        watchStop(router, Clock::now() + graceTime);
    }

    void watchStop(std::size_t router, TimePoint limit)
    {
        later(50ms, [this, router, limit] {
            if (!m_fleet.routers()[router]->process().running()) {
                m_promises.disturbed(router, true);
                startAgain(router);
            } else if (Clock::now() > limit) {
                m_promises.broken("r" + std::to_string(router) + " did not stop in time");
                m_promises.disturbed(router, true);
                m_fleet.routers()[router]->process().kill();
                startAgain(router);
            } else {
                watchStop(router, limit);
            }
        });
    }

    void startAgain(std::size_t router)
    {
        m_fleet.routers()[router]->start();
        later(500ms, [this, router] { finish(router); });
    }

    void withdrawKey()
    {
        if (m_keyOut)
            return;
        // Often a router can't hear of it.
        if (pick(2) == 0)
            disturbStorePath(8s);
        note("key withdrawn", {});
        m_keyOut = true;
        m_fleet.configure(false);
        m_promises.keyWithdrawn(true);
        // Longer than the time within which it must be refused everywhere.
        later(std::chrono::milliseconds(6000 + static_cast<int>(3000 * draw())), [this] {
            m_promises.keyWithdrawn(false);
            m_fleet.configure(true);
            m_keyOut = false;
        });
    }

    void takeZoneOut()
    {
        if (m_zoneOut)
            return;
        note("zone b out", {});
        m_zoneOut = true;
        m_fleet.store().put("evacuations", "b", "{}");
        m_promises.zoneOut(m_fleet.serversOf("b"), true);
        later(std::chrono::milliseconds(5200 + static_cast<int>(3000 * draw())), [this] {
            m_promises.zoneOut(m_fleet.serversOf("b"), false);
            m_fleet.store().remove("evacuations", "b");
            m_zoneOut = false;
        });
    }

    void replaceServer()
    {
        SoakServer &server = *m_fleet.servers()[pick(4)];
        note("replacement of " + server.name(), {});
        m_fleet.enter(server, true);
        later(2500ms, [this, &server] {
            m_fleet.store().remove("servers", server.name());
            server.restart();
            later(500ms, [this, &server] { m_fleet.enter(server, false); });
        });
    }

    /// @return false when something is done to the router already
    bool begin(std::size_t router)
    {
        if (!m_busy.insert(router).second)
            return false;
        m_promises.disturbed(router, true);
        return true;
    }

    void finish(std::size_t router)
    {
        m_busy.erase(router);
        if (!m_storeDisturbed)
            m_promises.disturbed(router, false);
    }

    void note(const std::string &what, Duration length)
    {
        std::printf("  %7.3f %s, %.0f ms\n", toMilliseconds(Clock::now() - m_start) / 1000.0,
                    what.c_str(), toMilliseconds(length));
    }

    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::mt19937_64 m_random;
    SoakFleet &m_fleet;
    Promises &m_promises;
    TimePoint m_start = Clock::now();
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    std::set<std::size_t> m_busy; ///< routers to which something is done
    bool m_storeDisturbed = false;
    bool m_keyOut = false;
    bool m_zoneOut = false;
};

/// All faults are over: each router serves each request again.
void checkRecovery(SoakFleet &fleet, Promises &promises)
{
    std::this_thread::sleep_for(settleTime);
    for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
        if (!fleet.routers()[i]->process().running()) {
            promises.broken("r" + std::to_string(i) + " ended by itself");
            continue;
        }
        for (int request = 0; request < 10; ++request) {
            tests::RawCaller caller(fleet.routers()[i]->port());
            caller.send("POST /read/x HTTP/1.1\r\nHost: h.example\r\n"
                        "Bilberrystile-Attempt-Id: end\r\nAuthorization: Bearer guest\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n");
            const int status = caller.readAnswer().status();
            if (status != 200)
                promises.broken("r" + std::to_string(i)
                                + " has not recovered: " + std::to_string(status));
        }
    }
}

/// @return true when no promise was broken
bool playSeed(std::uint64_t seed, Duration length, bool keepLogs)
{
    const std::filesystem::path folder
            = std::filesystem::temp_directory_path()
              / ("bilberry-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed));
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    Promises promises;
    std::vector<std::string> broken;
    {
        SoakFleet fleet(seed, promises, folder);
        {
            std::vector<std::unique_ptr<SoakCaller>> callers;
            for (std::size_t i = 0; i < callerCount; ++i)
                callers.push_back(
                        std::make_unique<SoakCaller>(i, seed * callerCount + i, fleet, promises));
            Trouble(seed, fleet, promises).run(length);
            checkRecovery(fleet, promises);
        }
        broken = promises.check();
    }
    for (const std::string &what : broken)
        std::printf("BROKEN seed %llu: %s\n", static_cast<unsigned long long>(seed), what.c_str());
    std::printf("seed %llu: %zu requests, %zu answered with 200, %zu promises broken\n",
                static_cast<unsigned long long>(seed), promises.attempts(), promises.answered(),
                broken.size());
    std::fflush(stdout);
    if (broken.empty() && !keepLogs)
        std::filesystem::remove_all(folder);
    else
        std::printf("logs: %s\n", folder.c_str());
    return broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Random faults around real routers.");
    options.add_options()("seed", "the first seed", cxxopts::value<std::uint64_t>());
    options.add_options()("seeds", "how many seeds in a row",
                          cxxopts::value<int>()->default_value("1"));
    options.add_options()("seconds", "length of the troubles of one seed",
                          cxxopts::value<int>()->default_value("12"));
    options.add_options()("keep-logs", "keep the logs of seeds that pass, too");
    const auto given = options.parse(argc, argv);
    const std::uint64_t first
            = given.count("seed") > 0 ? given["seed"].as<std::uint64_t>() : std::random_device{}();
    const Duration length = std::chrono::seconds(given["seconds"].as<int>());
    // A router that goes away may reset a connection that is being written to.
    std::signal(SIGPIPE, SIG_IGN);
    int failed = 0;
    for (int i = 0; i < given["seeds"].as<int>(); ++i)
        failed += playSeed(first + static_cast<std::uint64_t>(i), length,
                           given.count("keep-logs") > 0)
                          ? 0
                          : 1;
    std::printf("%d seeds, %d failed\n", given["seeds"].as<int>(), failed);
    return failed == 0 ? 0 : 1;
}
