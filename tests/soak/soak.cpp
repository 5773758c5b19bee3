// Runs real router processes, injects faults from outside in a random order, and checks invariants
// on what callers and servers observe.

#include "faultinjector.h"
#include "invariantchecker.h"
#include "soakfleet.h"

#include "support/fleet.h"
#include "support/rawcaller.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
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
