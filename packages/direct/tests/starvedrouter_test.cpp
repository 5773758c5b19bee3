#include "support/directsetting.h"
#include "support/fleet.h"
#include "support/rawcaller.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

TrafficPlan openPlan()
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

SCENARIO("a router without processor time finds requests whose callers have left")
{
    GIVEN("a router whose event loop stands still for a while")
    {
        ScriptedServer server([](const ScriptedRequest &) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                  "Bilberry-Signature: sig\r\nContent-Length: 5\r\n\r\nwhole"};
        });
        DirectSetting setting(openPlan(), {loopbackServer("s0", server.port())});
        // Leaves a kept connection to the server, over which a request would go out at once.
        RawCaller kept(setting.port());
        kept.send(DirectSetting::request("/open/first", "", "", "", true));
        REQUIRE(kept.readAnswer().status() == 200);
        setting.occupy(300ms);

        WHEN("one caller leaves meanwhile and another one waits")
        {
            RawCaller impatient(setting.port());
            impatient.send(DirectSetting::request("/open/left", "", "", ""));
            impatient.close();
            const RawAnswer got = setting.call("/open/waiting", "", "", "");
            THEN("only the waiting caller's request reaches the server")
            {
                CHECK(got.status() == 200);
                REQUIRE(server.requests().size() == 2);
                CHECK(server.requests().back().head.starts_with("POST /open/waiting "));
            }
        }
        WHEN("a caller leaves whose connection was kept")
        {
            kept.send(DirectSetting::request("/open/second", "", "", "", true));
            kept.close();
            std::this_thread::sleep_for(500ms);
            THEN("its second request is dropped")
            {
                CHECK(server.requests().size() == 1);
            }
        }
    }
}
