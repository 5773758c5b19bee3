#include "bilberry/base/boundedqueue.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/log.h"
#include "bilberry/base/result.h"
#include "bilberry/base/settings.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <cerrno>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace bilberry;

namespace {

/// Redirects std::cerr and collects its lines.
class CapturedErrors
{
public:
    CapturedErrors() : m_original(std::cerr.rdbuf(m_text.rdbuf())) {}
    ~CapturedErrors() { std::cerr.rdbuf(m_original); }

    std::vector<std::string> lines() const
    {
        std::istringstream in(m_text.str());
        std::vector<std::string> lines;
        for (std::string line; std::getline(in, line);)
            lines.push_back(line);
        return lines;
    }

private:
    std::ostringstream m_text;
    std::streambuf *m_original;
};

/// Redirects standard output to a pipe that is not read before lines() is called.
class CapturedOutput
{
public:
    CapturedOutput() : m_original(dup(STDOUT_FILENO))
    {
        if (pipe(m_pipe) != 0 || dup2(m_pipe[1], STDOUT_FILENO) < 0)
            throw std::system_error(errno, std::generic_category());
        close(m_pipe[1]);
    }
    ~CapturedOutput()
    {
        restore();
        close(m_pipe[0]);
    }

    /// Flushes the log and restores standard output.
    /// @return the lines written to the pipe
    std::vector<std::string> lines()
    {
        flushLogging();
        restore();
        std::string text;
        std::array<char, 4096> buffer{};
        for (ssize_t size = 0; (size = read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
            text.append(buffer.data(), static_cast<std::size_t>(size));
        std::istringstream in(text);
        std::vector<std::string> lines;
        for (std::string line; std::getline(in, line);)
            lines.push_back(line);
        return lines;
    }

private:
    void restore()
    {
        if (m_original < 0)
            return;
        dup2(m_original, STDOUT_FILENO);
        close(m_original);
        m_original = -1;
    }

    int m_original;
    int m_pipe[2] = {-1, -1};
};

} // namespace

SCENARIO("a result contains a value or an error")
{
    const Result<int> good = 4;
    const Result<int> bad = SettingsErrc::MissingKey;
    const auto half = [](int value) -> Result<int> {
        if (value % 2 != 0)
            return SettingsErrc::OutOfRange;
        return value / 2;
    };
    THEN("value and error exclude each other")
    {
        CHECK((good.ok() && !good.error()));
        CHECK((!bad.ok() && bad.error() == SettingsErrc::MissingKey));
        CHECK(bad.valueOr(7) == 7);
        CHECK(good.valueOr(7) == 4);
    }
    THEN("chained functions run until the first error")
    {
        CHECK(good.andThen(half).value() == 2);
        CHECK(good.map([](int value) { return value + 1; }).andThen(half).error()
              == SettingsErrc::OutOfRange);
        CHECK(bad.andThen(half).error() == SettingsErrc::MissingKey);
    }
}

SCENARIO("a bounded queue delivers items in order")
{
    int notifications = 0;
    BoundedQueue<std::unique_ptr<int>> queue(2, [&] { ++notifications; });
    std::vector<std::unique_ptr<int>> out;
    GIVEN("a full queue")
    {
        REQUIRE(queue.push(std::make_unique<int>(1)));
        REQUIRE(queue.push(std::make_unique<int>(2)));
        THEN("the consumer was notified once, and a further item stays with its producer")
        {
            CHECK(notifications == 1);
            auto third = std::make_unique<int>(3);
            CHECK_FALSE(queue.push(std::move(third)));
            CHECK(third);
        }
        WHEN("it is drained")
        {
            queue.drain(out);
            THEN("the items are in order, and a further item is accepted")
            {
                REQUIRE(out.size() == 2);
                CHECK((*out[0] == 1 && *out[1] == 2));
                CHECK(queue.push(std::make_unique<int>(3)));
                CHECK(notifications == 2);
            }
        }
        WHEN("a producer waits while the queue is full")
        {
            bool added = false;
            std::thread producer([&] { added = queue.pushOrWait(std::make_unique<int>(3)); });
            AND_WHEN("the queue is drained")
            {
                std::size_t received = 0;
                while (received < 3) {
                    queue.drain(out);
                    received += out.size();
                }
                producer.join();
                THEN("its item arrives")
                {
                    CHECK(added);
                }
            }
            AND_WHEN("the queue is closed")
            {
                queue.close();
                producer.join();
                THEN("the wait ends, and the item is not added")
                {
                    CHECK_FALSE(added);
                }
            }
        }
    }
}

SCENARIO("digests match known values, and random identifiers differ")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    CHECK(equalConstantTime("abc", "abc"));
    CHECK_FALSE(equalConstantTime("abc", "abd"));
    CHECK_FALSE(equalConstantTime("abc", "ab"));
    CHECK(randomToken().size() == 32);
    CHECK(randomToken() != randomToken());
    CHECK(randomId() != randomId());
}

SCENARIO("log lines contain the prefix of their part")
{
    const CapturedErrors captured;
    GIVEN("the text format")
    {
        setUpLogging({LogLevel::Info, LogFormat::Text});
        Log log("router.links");
        log.debug("Hidden.");
        log.warning("Agent model-a left.");
        THEN("a line contains level, part and message; lower levels are omitted")
        {
            const auto lines = captured.lines();
            REQUIRE(lines.size() == 1);
            CHECK(lines[0].find("WARN  [router.links] Agent model-a left.") != std::string::npos);
        }
    }
    GIVEN("the JSON format")
    {
        CapturedOutput output;
        setUpLogging({LogLevel::Info, LogFormat::Json});
        Log log("agent");
        WHEN("a message and a decision are logged")
        {
            log.error("A \"quoted\" name.");
            log.decision("Refused.", {{"request", "r-1"}, {"reason", "overloaded"}});
            const auto lines = output.lines();
            THEN("each line on standard output is one JSON object, with the decision's fields")
            {
                REQUIRE(lines.size() == 2);
                const auto line = boost::json::parse(lines[0]).as_object();
                CHECK(line.at("part").as_string() == "agent");
                CHECK(line.at("level").as_string() == "ERROR");
                CHECK(line.at("message").as_string() == "A \"quoted\" name.");
                CHECK(line.at("time").as_string().size() > 20);
                CHECK_FALSE(line.contains("request"));
                const auto decision = boost::json::parse(lines[1]).as_object();
                CHECK(decision.at("request").as_string() == "r-1");
                CHECK(decision.at("reason").as_string() == "overloaded");
            }
        }
        // Lines wait in memory, and callers determine some values, such as a request's id.
        WHEN("a value of 60,000 bytes is logged")
        {
            log.decision("Refused.", {{"request", std::string(60000, 'x')}, {"reason", "r"}});
            const auto lines = output.lines();
            THEN("only its beginning is")
            {
                REQUIRE(lines.size() == 1);
                CHECK(lines[0].size() < 1000);
                const auto line = boost::json::parse(lines[0]).as_object();
                CHECK(line.at("request").as_string() == std::string(512, 'x'));
                CHECK(line.at("reason").as_string() == "r");
            }
        }
        WHEN("20000 decisions are logged while standard output is not read")
        {
            constexpr int decisionCount = 20000;
            const TimePoint start = Clock::now();
            for (int i = 0; i < decisionCount; ++i)
                log.decision("Refused.", {{"request", std::string(200, 'x')}});
            THEN("logging does not block, and the number of lines is bounded")
            {
                CHECK(Clock::now() - start < std::chrono::seconds(1));
                // Two clock seconds of at most 500 lines each, and the lines with the suppressed
                // count.
                CHECK(output.lines().size() <= 1010);
            }
        }
    }
}

SCENARIO("the lines of one part are limited per second")
{
    const CapturedErrors captured;
    setUpLogging({LogLevel::Info, LogFormat::Text});
    Log noisy("noisy");
    Log quiet("quiet");
    constexpr std::size_t lineCount = 10000;
    const TimePoint start = Clock::now();
    for (std::size_t i = 0; i < lineCount; ++i)
        noisy.warning("Repeated line.");
    quiet.info("Logged by another part.");
    // The bound grows with the elapsed seconds, so that it holds on a slow host too.
    const auto seconds = static_cast<std::size_t>(
            std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - start).count());
    constexpr std::size_t linesPerSecond = 21;
    CHECK(captured.lines().size() <= linesPerSecond * (seconds + 2) + 1);
    CHECK(captured.lines().back().find("[quiet] Logged by another part.") != std::string::npos);
}
