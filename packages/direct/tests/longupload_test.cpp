#include "routerfixture.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

using Then = ScriptedAnswer::Then;

/// More than the buffers of a connection hold, so that the router is still writing the body while
/// the server does something else.
const std::string longBody(3U << 20U, 'b');

/// Servers that answer when they have read the beginning of a body.
constexpr ScriptedReading beginning{16U << 10U, true};

RawAnswer callWithLongBody(const InProcessRouter &router, const std::string &path)
{
    return router.call(path, "", longBody);
}

} // namespace

// A booking ran at two servers: an upload in progress counted as "nothing sent" (TWICE), and was
// refused as not run when no other server was left (REFUSED).
SCENARIO("a server ends a connection while it receives a long upload")
{
    const std::vector<std::pair<std::string, Then>> endings{
            {"close their side of it", Then::HalfClose},
            {"close it", Then::Close},
            {"reset it", Then::Reset}};
    for (const auto &[name, ending] : endings) {
        GIVEN("two servers that give no answer and " + name)
        {
            const auto script = always("", ending);
            ScriptedServer first(script, beginning);
            ScriptedServer second(script, beginning);
            const RouterFixture router({&first, &second}, acceptOldPlans);
            const auto runs = [&] { return first.requests().size() + second.requests().size(); };
            THEN("a booking runs once, and its caller isn't told that it has not run")
            {
                CHECK(callWithLongBody(router, "/book/x").status() == 502);
                CHECK(runs() == 1);
            }
            THEN("a read, which may be repeated, is not called unrun either")
            {
                CHECK(callWithLongBody(router, "/read/x").status() == 502);
                CHECK(runs() == 2);
            }
        }
    }
}

// The unfinished write kept the connection open, so that the server worked on.
SCENARIO("an attempt is given up while its request is being written")
{
    struct Case
    {
        std::string name;
        std::string bytes;
        int status;
    };
    const std::vector<Case> cases{{"sends bytes that are no answer", "no answer\r\n\r\n", 502},
                                  {"is silent", "", 504}};
    for (const Case &example : cases) {
        GIVEN("a server that " + example.name + ", and reads no further")
        {
            ScriptedServer server(always(example.bytes, Then::AwaitEnd), beginning);
            const RouterFixture router({&server}, acceptOldPlans);
            THEN("the caller gets a failure, and the server soon sees the end of the connection")
            {
                CHECK(callWithLongBody(router, "/book/x").status() == example.status);
                CHECK(eventually([&] { return server.abandoned() == 1; }, 1s));
            }
        }
    }
}

SCENARIO("a server answers a long upload before it has read all of it")
{
    GIVEN("a server that reads the rest afterwards")
    {
        ScriptedServer server(always(answer("200 OK", "whole")), beginning);
        const RouterFixture router({&server}, acceptOldPlans);
        THEN("each caller gets the whole answer, and the server the whole bodies only")
        {
            for (int i = 0; i < 3; ++i)
                CHECK(callWithLongBody(router, "/book/x").contains("whole"));
            CHECK(server.requests().size() == 3);
        }
    }
    GIVEN("a server that never reads the rest")
    {
        ScriptedServer server(always(answer("200 OK", "whole"), Then::AwaitEnd), beginning);
        const RouterFixture router({&server}, acceptOldPlans);
        THEN("the caller gets the answer, and the connection isn't held for long")
        {
            CHECK(callWithLongBody(router, "/book/x").contains("whole"));
            CHECK(eventually([&] { return server.abandoned() == 1; }, 4s));
        }
    }
    GIVEN("a server that refuses it as not run")
    {
        const std::string refusal
                = answer("503 Busy", "", "Bilberry-Not-Run: 1\r\nConnection: close\r\n");
        ScriptedServer busy(always(refusal, Then::HalfClose), beginning);
        ScriptedServer free(always(answer("200 OK", "whole")), beginning);
        const RouterFixture router({&busy, &free}, acceptOldPlans);
        THEN("a booking runs at the other one, or is refused as not run")
        {
            std::size_t answered = 0;
            for (int i = 0; i < 4; ++i) {
                const RawAnswer given = callWithLongBody(router, "/book/x");
                INFO(given.text);
                CHECK((given.contains("whole") || given.status() == 503));
                answered += given.contains("whole") ? 1 : 0;
            }
            CHECK(answered > 0);
            CHECK(free.requests().size() == answered);
        }
    }
}
