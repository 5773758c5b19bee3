#include "routerfixture.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

using Then = ScriptedAnswer::Then;

const std::string endOfChunks = "\r\n0\r\n\r\n";

const std::string first = "id: 1\ndata: a\n\n";
const std::string second = "id: 2\ndata: b\n\n";

/// @return what a caller of a route without resumption gets from a server that sends these bytes
RawAnswer callServer(const std::string &bytes, Then then)
{
    ScriptedServer server(always(bytes, then));
    RouterFixture fixture({&server});
    return fixture.call("/stream/x");
}

} // namespace

// A stream whose server closes the connection inside an event must not reach its caller as
// complete.
SCENARIO("a broken-off stream without a length or chunks does not end as if it were complete")
{
    GIVEN("a server that closes the connection in the middle of the second event")
    {
        for (const std::string rest : {"i", "id: 2\nda", "id: 2\ndata: b", "id: 2\ndata: b\n"}) {
            WHEN("the stream ends with: " + rest)
            {
                const RawAnswer answer = callServer(unframedStreamHead + first + rest, Then::Close);
                THEN("the caller gets the bytes, and no end of the answer")
                {
                    CHECK(answer.contains(first));
                    CHECK_FALSE(answer.contains(endOfChunks));
                }
            }
        }
        WHEN("the route allows the stream to be resumed")
        {
            int count = 0;
            const auto script = [&](const ScriptedRequest &) {
                return ++count == 1 ? ScriptedAnswer{unframedStreamHead + first + "id: 2\nda",
                                                     Then::Close}
                                    : ScriptedAnswer{unframedStreamHead + second, Then::Close};
            };
            ScriptedServer one(script);
            ScriptedServer two(script);
            RouterFixture fixture({&one, &two});
            const RawAnswer answer = fixture.call("/resume/x");
            THEN("it goes on at another server and ends as complete")
            {
                CHECK(count == 2);
                CHECK(answer.contains(first));
                CHECK(answer.contains(second));
                CHECK(answer.contains(endOfChunks));
            }
        }
    }
    GIVEN("a server that closes the connection inside the first event")
    {
        const RawAnswer answer = callServer(unframedStreamHead + "id: 1\nda", Then::Close);
        THEN("the answer has no end")
        {
            CHECK_FALSE(answer.contains(endOfChunks));
        }
    }
    GIVEN("a server that closes the connection before the first event")
    {
        const RawAnswer answer = callServer(unframedStreamHead, Then::Close);
        THEN("the caller gets a failure")
        {
            CHECK(answer.status() == 502);
        }
    }
    GIVEN("a server that ends its chunks inside an event")
    {
        const RawAnswer answer = callServer(
                streamHead + chunk(first) + chunk("id: 2\nda") + "0\r\n\r\n", Then::KeepOpen);
        THEN("the caller gets no end of the answer")
        {
            CHECK(answer.contains(first));
            CHECK_FALSE(answer.contains(endOfChunks));
        }
    }
}

// A resumable stream whose lines end with CR LF must reach its caller event by event.
SCENARIO("a resumable stream may end its lines with CR LF")
{
    const std::string firstEvent = "id: 1\r\ndata: a\r\n\r\n";
    const std::string secondEvent = "id: 2\r\ndata: b\r\n\r\n";
    GIVEN("a server that breaks off in the second event, and one that goes on")
    {
        int count = 0;
        std::string resumedAfter;
        const auto script = [&](const ScriptedRequest &request) {
            resumedAfter += request.field("Last-Event-Id");
            return ++count == 1
                           ? ScriptedAnswer{streamHead + chunk(firstEvent) + chunk("id: 2\r\nda"),
                                            Then::Reset}
                           : ScriptedAnswer{streamHead + chunk(secondEvent) + "0\r\n\r\n"};
        };
        ScriptedServer one(script);
        ScriptedServer two(script);
        RouterFixture fixture({&one, &two});
        THEN("the caller gets both events once and a regular end")
        {
            const RawAnswer answer = fixture.call("/resume/x");
            CHECK(resumedAfter == "1");
            CHECK(answer.contains(firstEvent));
            CHECK(answer.contains(secondEvent));
            CHECK(answer.contains(endOfChunks));
        }
    }
}

SCENARIO("a complete stream without a length or chunks ends as complete")
{
    GIVEN("a server that closes the connection after the last event")
    {
        THEN("the caller gets the whole stream and its end, whatever the line endings are")
        {
            for (const std::string last : {"id: 2\ndata: b\n\n", "id: 2\r\ndata: b\r\n\r\n"}) {
                const RawAnswer answer = callServer(unframedStreamHead + first + last, Then::Close);
                CHECK(answer.status() == 200);
                CHECK(answer.contains("data: b"));
                CHECK(answer.contains(endOfChunks));
            }
        }
    }
}

// What another server answers in place of the rest of a stream must not reach the caller.
SCENARIO("a broken-off stream is not continued with something else")
{
    const std::string longText(400U << 10U, 'x');
    const auto answerWith = [](const std::string &status, const std::string &body,
                               const std::string &type = "text/plain") {
        return answer(status, body, "Bilberry-Signature: sig\r\nContent-Type: " + type + "\r\n");
    };
    const std::string instead
            = GENERATE_COPY(answerWith("500 Internal Server Error", "<error>\n\n"),
                            answerWith("500 Internal Server Error", longText),
                            answerWith("503 Service Unavailable", longText),
                            answerWith("200 OK", "id: 2\n\n<error>\n\n"),
                            answerWith("200 OK", "{\"error\":1}", "application/json"),
                            std::string("HTTP/1.1 204 No Content\r\nBilberry-Request-Id: r1\r\n"
                                        "Bilberry-Signature: sig\r\n\r\n"),
                            answerWith("302 Found", "<moved>\n\n"));
    GIVEN("a server that breaks off a stream, and others with the answer: "
          + instead.substr(0, instead.find('\r')))
    {
        int count = 0;
        const auto script = [&](const ScriptedRequest &) {
            return ++count == 1 ? ScriptedAnswer{streamHead + chunk(first) + "5\r\nid", Then::Close}
                                : ScriptedAnswer{instead};
        };
        ScriptedServer one(script);
        ScriptedServer two(script);
        RouterFixture fixture({&one, &two}, acceptOldPlans);
        const RawAnswer given = fixture.call("/resume/x");
        THEN("the caller gets the first event only, and no end of the answer")
        {
            CHECK(given.contains(first));
            CHECK(given.answers() == 1);
            CHECK_FALSE(given.contains("error"));
            CHECK_FALSE(given.contains("moved"));
            CHECK_FALSE(given.contains("xxx"));
            CHECK_FALSE(given.contains(endOfChunks));
        }
    }
}
