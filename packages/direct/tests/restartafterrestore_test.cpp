#include "routerfixture.h"

#include "support/fleet.h"
#include "support/peerstandin.h"

#include <catch2/catch.hpp>

#include <limits>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Another router, which answers what the restored store lacks.
class InformedRouter
{
public:
    explicit InformedRouter(const wire::RestoredStateReply &reply,
                            const std::string &name = "other")
        : m_peer(name, [this, reply](const wire::GossipMessage &message) {
              return answer(reply, message);
          })
    {
    }

    PeerStandin &peer() { return m_peer; }
    InProcessRouter::Collections entries() const { return {{"routers", {m_peer.entry()}}}; }
    int answered() const { return m_answered; }
    /// @return lowest era of the store in the questions
    std::uint64_t lowestEra() const { return m_lowestEra; }

private:
    std::optional<wire::GossipMessage> answer(wire::RestoredStateReply reply,
                                              const wire::GossipMessage &message)
    {
        const auto *query = std::get_if<wire::RestoredStateQuery>(&message);
        if (!query)
            return std::nullopt;
        m_lowestEra = std::min<std::uint64_t>(m_lowestEra, query->storeRevision.era);
        ++m_answered;
        reply.sender = m_peer.sender();
        reply.query = query->query;
        reply.storeRevision.era = query->storeRevision.era;
        return reply;
    }

    std::atomic<int> m_answered = 0;
    std::atomic<std::uint64_t> m_lowestEra = std::numeric_limits<std::uint64_t>::max();
    PeerStandin m_peer;
};

/// @return what a router says that runs since before the restore and has the plan of that version
wire::RestoredStateReply reply(std::uint64_t planVersion)
{
    wire::RestoredStateReply made;
    made.planVersion = planVersion;
    made.storeRevision = {2, 1};
    return made;
}

wire::HeldItemNotice held(const std::string &collection, const std::string &name, bool exists,
                          bool isInCopy)
{
    wire::HeldItemNotice notice;
    notice.collection = collection;
    notice.name = name;
    notice.exists = exists;
    notice.value = exists ? name : "";
    notice.isInCopy = isInCopy;
    notice.copiedValue = isInCopy ? name : "";
    return notice;
}

constexpr StartOptions afterRestore{2, false};

/// @return true when the router becomes ready
bool becomesReady(const InProcessRouter &router, Duration limit = 10s)
{
    return eventually([&] { return router.ready(); }, limit);
}

} // namespace

// A router that started after a drill of the store served withdrawn keys by the copy's plan until
// it heard of a newer one by chance (CONFIG).
SCENARIO("a router starts after its store was restored from a copy")
{
    ScriptedServer server(always(answer("200 OK", "whole")));
    const auto start = [&](const InProcessRouter::Collections &stored) {
        return std::make_unique<RouterFixture>(std::vector{&server}, acceptOldPlans, stored,
                                               afterRestore);
    };
    GIVEN("another router that knows a newer plan")
    {
        const InformedRouter other(reply(2));
        const auto router = start(other.entries());
        THEN("nothing is served by the copy's plan")
        {
            const TimePoint end = Clock::now() + 2500ms;
            while (Clock::now() < end) {
                CHECK(router->call("/read/x").status() == 503);
                CHECK(router->call("/open/x").status() == 503);
                std::this_thread::sleep_for(5ms);
            }
            CHECK(other.answered() > 0);
            CHECK(server.requests().empty());
        }
    }
    GIVEN("another router that knows no newer plan")
    {
        const InformedRouter other(reply(1));
        const auto router = start(other.entries());
        THEN("it serves soon")
        {
            CHECK(becomesReady(*router, 1s));
            CHECK(router->call("/read/x").status() == 200);
        }
    }
    const std::vector<std::pair<std::string, wire::HeldItemNotice>> lacking{
            {"the zone is evacuated", held("zones-out", "a", true, false)},
            {"the only server has left", held("servers", "s0", false, true)}};
    for (const auto &[name, item] : lacking) {
        GIVEN("another router that knows, other than the copy, that " + name)
        {
            wire::RestoredStateReply made = reply(1);
            made.items = {item};
            const InformedRouter other(made);
            const auto router = start(other.entries());
            THEN("no request goes there")
            {
                REQUIRE(eventually([&] { return other.answered() > 0; }));
                std::this_thread::sleep_for(500ms);
                CHECK(router->call("/read/x").status() == 503);
                CHECK(server.requests().empty());
            }
        }
    }
    GIVEN("one that knows of an evacuation, and of whose answer a part is lost")
    {
        wire::RestoredStateReply made = reply(1);
        made.items = {held("zones-out", "a", true, false)};
        made.partCount = 2;
        const InformedRouter other(made);
        const auto router = start(other.entries());
        THEN("the router asks again, and uses the part that it has")
        {
            CHECK(becomesReady(*router, 3s));
            CHECK(other.answered() > 1);
            CHECK(router->call("/read/x").status() == 503);
        }
    }
    GIVEN("one that was cut off before that zone was taken back, beside one that was not")
    {
        wire::RestoredStateReply outdated = reply(1);
        outdated.items = {held("zones-out", "a", true, false)};
        outdated.knowledgeAgeMs = 20'000;
        const InformedRouter cutOff(outdated, "cut-off");
        const InformedRouter inTouch(reply(1), "in-touch");
        auto entries = cutOff.entries();
        entries["routers"].push_back(inTouch.entries()["routers"].front());
        const auto router = start(entries);
        THEN("the zone is used")
        {
            CHECK(becomesReady(*router));
            CHECK(cutOff.answered() > 0);
            const RawAnswer given = router->call("/read/x");
            INFO(given.text);
            CHECK(given.status() == 200);
        }
    }
    GIVEN("no other router that answers")
    {
        const auto router = start({{"routers", {{"dead", R"({"address":"127.0.0.1","port":9})"}}}});
        THEN("it serves after a while, as nobody knows more")
        {
            CHECK(becomesReady(*router, 3s));
            CHECK(router->call("/read/x").status() == 200);
        }
    }
}

// A router that was cut off while a key was withdrawn renewed its proof by the restored store.
SCENARIO("a router's store is restored while it runs")
{
    ScriptedServer server(always(answer("200 OK", "whole")));
    GIVEN("another router that knows a newer plan")
    {
        const InformedRouter other(reply(2));
        RouterFixture router({&server}, acceptOldPlans, other.entries());
        REQUIRE(router.call("/read/x").status() == 200);
        router.restoreStore();
        THEN("it soon refuses requests as not run")
        {
            CHECK(eventually([&] { return router.call("/read/x").status() == 503; }, 4s));
            CHECK(other.answered() > 0);
        }
    }
    GIVEN("a restore that the router notices by the list of routers first")
    {
        InformedRouter other(reply(1));
        RouterFixture router({&server}, acceptOldPlans, other.entries());
        router.restoreStore(false);
        other.peer().send(router.settings().peerEndpoint.port,
                          wire::StoreNotice{other.peer().sender(), 1, {2, 1}, {}});
        std::this_thread::sleep_for(500ms);
        router.showRestore();
        THEN("it asks when it knows all of the copy, with which it compares the answer")
        {
            CHECK(eventually([&] { return other.answered() > 0; }, 4s));
            CHECK(other.lowestEra() == 2);
        }
    }
    GIVEN("no other router, and a limit of a second for the age of the plan's proof")
    {
        RouterFixture router({&server}, [](direct::DirectSettings &settings) {
            settings.maxPlanStaleness = 1s;
        });
        router.restoreStore();
        THEN("there is nobody to wait for, and no request is refused")
        {
            const TimePoint end = Clock::now() + 2s;
            while (Clock::now() < end) {
                CHECK(router.call("/read/x").status() == 200);
                std::this_thread::sleep_for(20ms);
            }
        }
    }
    GIVEN("another router that knows no newer plan")
    {
        const InformedRouter other(reply(1));
        RouterFixture router({&server}, acceptOldPlans, other.entries());
        router.restoreStore();
        THEN("no request is refused meanwhile")
        {
            REQUIRE(eventually([&] { return other.answered() > 0; }, 4s));
            for (int i = 0; i < 20; ++i) {
                CHECK(router.call("/read/x").status() == 200);
                std::this_thread::sleep_for(20ms);
            }
        }
    }
}
