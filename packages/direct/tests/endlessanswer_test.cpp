#include "routerfixture.h"

#include "support/fleet.h"
#include "support/process.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <list>
#include <thread>
#include <tuple>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

using Then = ScriptedAnswer::Then;

/// Memory that one answer may occupy in a router; an entry VM has 160 MB for all of them.
constexpr long maxGrowthKb = 16L << 10U;

/// @return peak resident memory of this process, in KiB
long peakMemoryKb()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

struct Outcome
{
    RawAnswer answer;
    Duration took{};
    long growthKb = 0;
    bool abandoned = false; ///< the router closed the connection to the server
};

/// Sends one request to a router whose only server sends bytes without end.
Outcome callServer(const std::string &path, const std::string &start, const std::string &repeated,
                   std::chrono::milliseconds pause = 0ms)
{
    ScriptedServer server([=](const ScriptedRequest &) {
        return ScriptedAnswer{start, Then::Repeat, repeated, pause};
    });
    RouterFixture fixture({&server});
    const long before = peakMemoryKb();
    const TimePoint begin = Clock::now();
    Outcome outcome;
    outcome.answer = fixture.call(path);
    outcome.took = Clock::now() - begin;
    outcome.growthKb = peakMemoryKb() - before;
    outcome.abandoned = eventually([&] { return server.abandoned() == 1; }, 1s);
    return outcome;
}

const std::string filler(4096, 'x');

/// Time after which a request whose server sends no valid answer is given up; its route allows 2 s.
constexpr Duration promptly = 1s;

} // namespace

SCENARIO("a server sends bytes without end that are no answer")
{
    GIVEN("servers that do so in different places")
    {
        struct Case
        {
            const char *name;
            std::string start;
            std::string repeated;
        };
        const Case cases[] = {
                {"bytes that are no head", "", filler},
                {"a head that doesn't end", "HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n"},
                {"a body without a signature", "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n\r\n",
                 filler},
                {"the body of another request's answer",
                 "HTTP/1.1 200 OK\r\nBilberry-Request-Id: old\r\nBilberry-Signature: s\r\n\r\n",
                 filler},
                {"the body of a refusal that states that nothing ran",
                 "HTTP/1.1 503 Busy\r\nBilberry-Request-Id: r1\r\nBilberry-Not-Run: 1\r\n\r\n",
                 filler},
                {"a status line that doesn't end", "HTTP/1.1 200 ", filler},
                {"a chunk's extension that doesn't end", streamHead + "5;x=", filler},
                {"trailer fields that don't end",
                 "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\nBilberry-Signature: s\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
                 "X-Field: " + filler + "\r\n"},
                {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        };
        for (const Case &example : cases) {
            WHEN(example.name)
            {
                const Outcome outcome = callServer("/book/x", example.start, example.repeated);
                THEN("the caller soon gets a failure, and the router keeps little of the bytes")
                {
                    const int status = outcome.answer.status();
                    CHECK((status == 502 || status == 503));
                    CHECK(outcome.took < promptly);
                    CHECK(outcome.growthKb < maxGrowthKb);
                    CHECK(outcome.abandoned);
                }
            }
        }
    }
}

SCENARIO("an answer's body or event has no end")
{
    const std::string head = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                             "Bilberry-Signature: sig\r\n\r\n";
    GIVEN("a server that signs an answer and sends its body without end")
    {
        const Outcome outcome = callServer("/book/x", head, filler, 10ms);
        THEN("the answer is cut off at the request's time limit and doesn't look complete")
        {
            CHECK(outcome.took < 3s);
            CHECK_FALSE(outcome.answer.contains("\r\n0\r\n\r\n"));
            CHECK(outcome.abandoned);
            CHECK(outcome.growthKb < maxGrowthKb);
        }
    }
    GIVEN("a server whose event in a resumable stream has no end")
    {
        const Outcome outcome
                = callServer("/resume/x", streamHead + chunk("id: 1\ndata: "), chunk(filler));
        THEN("no part of it reaches the caller, and the router keeps little of it")
        {
            CHECK_FALSE(outcome.answer.contains("data:"));
            CHECK(outcome.took < promptly);
            CHECK(outcome.growthKb < maxGrowthKb);
            CHECK(outcome.abandoned);
        }
    }
}

SCENARIO("slow streams end when they are complete, stalled ones at the time limit")
{
    const std::string event = "id: 1\ndata: a\n\n";
    GIVEN("a server that sends a byte now and then, but never a whole event")
    {
        const Outcome outcome
                = callServer("/stream/x", streamHead + chunk(event), chunk(":"), 50ms);
        THEN("the stream is cut off at the request's time limit")
        {
            CHECK(outcome.took > 1s);
            CHECK(outcome.took < 3s);
            CHECK(outcome.answer.contains("data: a"));
            CHECK_FALSE(outcome.answer.contains("\r\n0\r\n\r\n"));
            CHECK(outcome.abandoned);
        }
    }
    GIVEN("a server that needs most of the time limit for a whole stream")
    {
        int count = 0;
        ScriptedServer server([&](const ScriptedRequest &) {
            ++count;
            std::this_thread::sleep_for(1200ms);
            return ScriptedAnswer{streamHead + chunk(event) + "0\r\n\r\n"};
        });
        RouterFixture fixture({&server});
        THEN("the caller receives all of it, from one attempt")
        {
            const RawAnswer answer = fixture.call("/stream/x");
            CHECK(answer.contains("data: a"));
            CHECK(answer.contains("\r\n0\r\n\r\n"));
            CHECK(count == 1);
        }
    }
}

namespace {

constexpr int manyServers = 5;
constexpr int manyCallers = 40;

/// What many answers cost together.
struct Crowd
{
    long growthKb = 0;
    int requests = 0;  ///< that reached a server
    int abandoned = 0; ///< answers that the router gave up
    int whole = 0;     ///< answers that look complete
};

/// Lets many callers send a request to a server that answers without end.
/// @param pause between two reads of a caller; negative for callers that read nothing
Crowd callTogether(const std::string &path, const std::string &start, const std::string &repeated,
                   std::chrono::milliseconds pause)
{
    std::list<ScriptedServer> servers;
    std::vector<ScriptedServer *> all;
    for (int i = 0; i < manyServers; ++i) {
        servers.emplace_back([=](const ScriptedRequest &) {
            return ScriptedAnswer{start, Then::Repeat, repeated};
        });
        all.push_back(&servers.back());
    }
    const RouterFixture fixture(all, acceptOldPlans);
    // Memory isn't given back, so that all crowds count from the first one.
    static const long before = peakMemoryKb();
    std::atomic<int> whole = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < manyCallers; ++i)
        callers.emplace_back([&] {
            RawCaller caller(fixture.port());
            caller.send(InProcessRouter::request(path, "", "", "key"));
            if (pause < 0ms)
                std::this_thread::sleep_for(2500ms);
            for (RawAnswer part; !part.closed && !part.reset;) {
                std::this_thread::sleep_for(std::max(pause, 0ms));
                part = caller.readSome();
                whole += part.text.ends_with("\r\n0\r\n\r\n") ? 1 : 0;
            }
        });
    for (std::thread &caller : callers)
        caller.join();
    Crowd crowd;
    for (const ScriptedServer &server : servers)
        crowd.requests += static_cast<int>(server.requests().size());
    // A server notices the end of a connection by its next write.
    eventually(
            [&] {
                crowd.abandoned = 0;
                for (const ScriptedServer &server : servers)
                    crowd.abandoned += server.abandoned();
                return crowd.abandoned == crowd.requests;
            },
            1s);
    crowd.growthKb = peakMemoryKb() - before;
    crowd.whole = whole;
    return crowd;
}

/// Memory that one of many endless answers may occupy, so that a hundred fit into an entry VM.
constexpr long maxGrowthOfManyKb = 1536;

} // namespace

// Reported by other operators: a machine kept all bytes of such answers and ran out of memory.
SCENARIO("a server answers many requests without end")
{
    const std::string body = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                             "Bilberry-Signature: sig\r\n\r\n";
    const std::string event = "id: 1\ndata: " + filler + "\n\n";
    const std::string shortChunks = "1;x=" + filler + "\r\nx\r\n" + "1;x=" + filler + "\r\nx\r\n";
    const std::vector<std::tuple<std::string, std::string, std::string, std::string>> answers{
            {"a body", "/book/x", body, filler},
            {"events", "/stream/x", streamHead, chunk(event)},
            {"events that can be resumed", "/resume/x", streamHead, chunk(event)},
            {"events without a length or chunks", "/stream/x", unframedStreamHead, event},
            {"chunks with long extensions", "/stream/x", streamHead, shortChunks}};
    for (const auto &[name, path, start, repeated] : answers) {
        for (const auto pause : {-1ms, 0ms, 50ms}) {
            GIVEN(name + ", to callers that "
                  + (pause < 0ms    ? "read nothing"
                     : pause == 0ms ? "read at once"
                                    : "read slowly"))
            {
                const Crowd crowd = callTogether(path, start, repeated, pause);
                THEN("all are cut off at their time limits, and the router keeps little of them")
                {
                    CHECK(crowd.requests >= manyCallers / 2);
                    CHECK(crowd.abandoned == crowd.requests);
                    CHECK(crowd.whole == 0);
                    INFO(crowd.requests << " answers, " << crowd.growthKb << " KiB");
                    CHECK(crowd.growthKb < manyCallers * maxGrowthOfManyKb);
                }
            }
        }
    }
}
