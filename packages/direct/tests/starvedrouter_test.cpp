#include "support/fleet.h"
#include "support/inprocessrouter.h"
#include "support/rawcaller.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

TrafficPlan publicPlan()
{
    DirectRoute route;
    route.name = "open";
    route.host = "h.example";
    route.prefix = "/open/";
    route.kind = RequestKind::Idempotent;
    route.isPublic = true;
    route.pools = {{PoolId("pool"), 1.0}};
    TrafficPlanParts parts;
    parts.routes = {route};
    parts.pools[PoolId("pool")].id = PoolId("pool");
    return TrafficPlan::create(1, parts).value();
}

} // namespace

SCENARIO("a router that was blocked drops the requests of callers that have disconnected")
{
    GIVEN("a router whose event loop is blocked for 300 ms")
    {
        ScriptedServer server([](const ScriptedRequest &) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                  "Bilberry-Signature: sig\r\nContent-Length: 5\r\n\r\nwhole"};
        });
        InProcessRouter setting(publicPlan(), {loopbackServer("s0", server.port())});
        // Leaves an idle connection to the server, on which a request would be sent immediately.
        RawCaller keepAliveCaller(setting.port());
        keepAliveCaller.send(InProcessRouter::request("/open/first", "", "", "", true));
        REQUIRE(keepAliveCaller.readAnswer().status() == 200);
        setting.occupy(300ms);

        WHEN("one caller disconnects meanwhile and another one waits")
        {
            RawCaller disconnectingCaller(setting.port());
            disconnectingCaller.send(InProcessRouter::request("/open/left", "", "", ""));
            disconnectingCaller.close();
            const RawAnswer answer = setting.call("/open/waiting", "", "", "");
            THEN("only the waiting caller's request reaches the server")
            {
                CHECK(answer.status() == 200);
                REQUIRE(server.requests().size() == 2);
                CHECK(server.requests().back().head.starts_with("POST /open/waiting "));
            }
        }
        WHEN("a caller disconnects after a second request on its connection")
        {
            keepAliveCaller.send(InProcessRouter::request("/open/second", "", "", "", true));
            keepAliveCaller.close();
            std::this_thread::sleep_for(500ms);
            THEN("its second request is dropped")
            {
                CHECK(server.requests().size() == 1);
            }
        }
    }
}
