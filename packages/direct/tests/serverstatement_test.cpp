#include "routerfixture.h"
#include "server/serverstatement.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

constexpr int callCount = 30;

direct::ServerStatement read(unsigned status,
                             const std::vector<std::pair<std::string, std::string>> &fields)
{
    direct::ResponseHeader header;
    header.result(status);
    for (const auto &[name, value] : fields)
        header.insert(name, value);
    return direct::readServerStatement(header, direct::HeaderNames());
}

void callTimes(const RouterFixture &router, const std::string &path, int count)
{
    for (int i = 0; i < count; ++i)
        router.call(path);
}

} // namespace

// A server that leaves must get no further request, whatever its entry in the store says.
SCENARIO("a server that says that it is leaving gets no further request")
{
    const std::string leaving = "Bilberry-Leaving: 1\r\n";
    const std::string signature = "Bilberry-Signature: sig\r\n";
    const std::string said = GENERATE_COPY(
            answer("200 OK", "whole", signature + leaving),
            answer("500 Internal Server Error", "failed", signature + leaving),
            answer("503 Service Unavailable", "", "Bilberry-Not-Run: 1\r\n" + leaving),
            std::string("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n")
                    + "Bilberry-Not-Run: 1\r\n" + leaving + "\r\n",
            "HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n" + answer("200 OK", "whole"),
            streamHead.substr(0, streamHead.size() - 2) + leaving + "\r\n"
                    + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    GIVEN("two servers, one of which answers: " + said.substr(0, said.find('\r')))
    {
        ScriptedServer leavingServer(always(said));
        ScriptedServer other(always(answer("200 OK", "whole")));
        const RouterFixture router({&leavingServer, &other}, acceptOldPlans);
        const std::string path = said.starts_with(streamHead.substr(0, 15))
                                                 && said.find("event-stream") != std::string::npos
                                         ? "/resume/x"
                                         : "/read/x";
        callTimes(router, path, callCount);
        THEN("it gets one request")
        {
            CHECK(leavingServer.requests().size() == 1);
        }
    }
    GIVEN("a server that was the only one")
    {
        ScriptedServer leavingServer(always(answer("200 OK", "whole", signature + leaving)));
        const RouterFixture router({&leavingServer}, acceptOldPlans);
        CHECK(router.call("/read/x").status() == 200);
        THEN("callers are refused at once")
        {
            const RawAnswer refused = router.call("/read/x");
            CHECK(refused.status() == 503);
            CHECK(refused.contains("Retry-After: "));
            CHECK(leavingServer.requests().size() == 1);
        }
    }
}

// A server that turns requests away for a while must not be asked again meanwhile.
SCENARIO("a server that answers 503 with Retry-After gets nothing until then")
{
    std::atomic<int> refusedCount = 0;
    const std::string refusal
            = answer("503 Service Unavailable", "", "Bilberry-Not-Run: 1\r\nRetry-After: 0.8\r\n");
    ScriptedServer busy([&](const ScriptedRequest &) {
        return ScriptedAnswer{++refusedCount == 1 ? refusal : answer("200 OK", "whole")};
    });
    ScriptedServer other(always(answer("200 OK", "whole")));
    GIVEN("two servers, one of which refuses its first request so")
    {
        const RouterFixture router({&busy, &other}, acceptOldPlans);
        while (refusedCount == 0)
            router.call("/read/x");
        callTimes(router, "/read/x", callCount);
        CHECK(busy.requests().size() == 1);
        THEN("it gets requests again afterwards")
        {
            std::this_thread::sleep_for(1s);
            callTimes(router, "/read/x", callCount);
            CHECK(busy.requests().size() > 1);
        }
    }
    GIVEN("the only server")
    {
        const RouterFixture router({&busy}, acceptOldPlans);
        router.call("/read/x");
        THEN("callers are refused at once until then, and served afterwards")
        {
            CHECK(router.call("/read/x").status() == 503);
            CHECK(busy.requests().size() == 1);
            std::this_thread::sleep_for(1s);
            CHECK(router.call("/read/x").status() == 200);
        }
    }
}

SCENARIO("what a server says of itself is read from the fields of its answers")
{
    GIVEN("valid fields")
    {
        CHECK(read(200, {{"Bilberry-Leaving", "1"}}).leaving);
        CHECK(read(200, {{"Bilberry-Request-Limit", "2.5"}}).perSecond == 2.5);
        CHECK(read(503, {{"Retry-After", "1.5"}}).wait == Duration(1500ms));
        THEN("nothing is invalid")
        {
            CHECK(read(200, {{"Bilberry-Leaving", "1"}, {"Bilberry-Request-Limit", "0"}})
                          .invalid.empty());
            CHECK(read(200, {}) == direct::ServerStatement{false, {}, true, {}, {}});
        }
    }
    GIVEN("odd values")
    {
        THEN("they are ignored and named")
        {
            for (const char *value : {"0", "yes", "", "11"}) {
                CHECK_FALSE(read(200, {{"Bilberry-Leaving", value}}).leaving);
                CHECK(read(200, {{"Bilberry-Leaving", value}}).invalid.size() == 1);
            }
            for (const char *value :
                 {"-1", "soon", "1e99", "99999999", "Sat, 05 Dec 2026 00:00:00 GMT", "1 2"}) {
                CHECK_FALSE(read(503, {{"Retry-After", value}}).wait);
                CHECK(read(503, {{"Retry-After", value}}).invalid.size() == 1);
            }
            CHECK_FALSE(read(503, {{"Retry-After", "1"}, {"Retry-After", "2"}}).wait);
            CHECK_FALSE(read(200, {{"Bilberry-Leaving", "1"}, {"Bilberry-Leaving", "1"}}).leaving);
        }
    }
    GIVEN("answers that don't speak for the server, or not of a wait")
    {
        THEN("nothing is read from them")
        {
            CHECK_FALSE(read(421, {{"Bilberry-Leaving", "1"}}).leaving);
            CHECK_FALSE(read(429, {{"Retry-After", "1"}}).wait);
            CHECK_FALSE(read(500, {}).endsLimit);
        }
    }
}
