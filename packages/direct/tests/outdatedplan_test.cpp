#include "routerfixture.h"

#include "support/fleet.h"
#include "support/peerstandin.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

// A router that starts after a restore must not use the older plan of the copy (CONFIG, keys).
SCENARIO("the store has an older plan than the other routers, as it was restored from a copy")
{
    ScriptedServer server(always(answer("200 OK", "whole")));
    const RouterFixture router({&server}, acceptOldPlans);
    PeerStandin other;
    const auto announce = [&](std::uint64_t planVersion, StoreRevision revision) {
        other.send(router.settings().peerEndpoint.port,
                   wire::StoreNotice{other.sender(), planVersion, revision, {}});
    };
    GIVEN("another router that tells of a newer plan, at the revision that the store has")
    {
        const bool refuses = eventually([&] {
            announce(2, {1, 1});
            return router.call("/open/x").status() == 503;
        });
        THEN("the router refuses requests as not run, and is not ready")
        {
            CHECK(refuses);
            announce(2, {1, 1});
            CHECK(router.call("/nowhere/x").status() == 503);
            CHECK_FALSE(router.ready());
        }
        THEN("it serves again when nobody tells so any more")
        {
            CHECK(eventually([&] { return router.call("/open/x").status() == 200; }, 10s));
        }
    }
    GIVEN("another router that tells of a newer plan, at a revision that is still to be read")
    {
        for (int i = 0; i < 5; ++i)
            announce(2, {1, 9});
        THEN("the router serves by its plan")
        {
            CHECK(router.call("/open/x").status() == 200);
        }
    }
}
