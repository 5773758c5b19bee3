#include "routerfixture.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

using Then = ScriptedAnswer::Then;

/// Head of an answer whose body ends with its connection.
const std::string unframedHead = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                 "Bilberry-Signature: sig\r\n\r\n";

/// More than the buffers of a connection hold, so that the router is still writing it.
const std::string longBody(3U << 20U, 'b');
constexpr ScriptedReading beginning{16U << 10U, true};

} // namespace

// Reported by other operators: a server answered a long upload at once with a 200 that had no
// length, sent a part of its body and reset the connection; the caller got that part as a whole
// answer. The write consumes the error of the socket, and the read then finds an ordinary end.
SCENARIO("a server resets the connection after a part of an answer without a length")
{
    struct Case
    {
        std::string name;
        std::string path;
        std::string bytes;
        ScriptedReading reading;
    };
    const std::string event = "id: 1\ndata: a\n\n";
    const std::vector<Case> cases{
            {"a long upload, loopback's buffers", "/book/x", unframedHead + "part", {16U << 10U}},
            {"a long upload, a link's buffers", "/book/x", unframedHead + "part", beginning},
            {"a long upload, nothing of the body", "/book/x", unframedHead, beginning},
            {"a long upload, a large part", "/book/x", unframedHead + std::string(400U << 10U, 'a'),
             beginning},
            {"a long upload, whole events of a stream", "/stream/x", unframedStreamHead + event,
             beginning},
            {"a long upload, whole events of a resumable stream", "/resume/x",
             unframedStreamHead + event, beginning}};
    for (const Case &example : cases) {
        GIVEN("a server that does so to " + example.name)
        {
            ScriptedServer server(always(example.bytes, Then::Reset), example.reading);
            const RouterFixture router({&server}, acceptOldPlans);
            THEN("no caller gets an answer that looks whole")
            {
                for (int i = 0; i < 20; ++i) {
                    const RawAnswer given = router.call(example.path, "", longBody);
                    INFO(given.text.substr(0, 300));
                    const bool ended = given.contains("Content-Length: ")
                                       || given.text.ends_with("0\r\n\r\n");
                    CHECK_FALSE((given.status() / 100 == 2 && ended && !given.reset));
                }
                CHECK(server.requests().size() >= 10);
            }
        }
    }
    GIVEN("a server that closes its side in order instead, and reads on")
    {
        ScriptedServer server(always(unframedHead + "whole", Then::HalfClose), beginning);
        const RouterFixture router({&server}, acceptOldPlans);
        THEN("the answer is whole")
        {
            for (int i = 0; i < 5; ++i) {
                const RawAnswer given = router.call("/book/x", "", longBody);
                CHECK(given.status() == 200);
                CHECK(given.contains("whole"));
            }
        }
    }
}
