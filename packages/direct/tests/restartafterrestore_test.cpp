#include "routerfixture.h"

#include "support/fleet.h"

#include "bilberry/wire/codec.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <limits>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

/// Another router, which answers what the restored store lacks.
class OtherRouter
{
public:
    explicit OtherRouter(const wire::RestoredStateReply &reply, std::string name = "other")
        : m_socket(m_context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_reply(reply), m_name(std::move(name))
    {
        m_reply.sender = {RouterId(m_name), 7, ZoneId("a")};
        m_thread = std::thread([this] { answer(); });
    }

    ~OtherRouter()
    {
        asio::ip::udp::socket wake(m_context, asio::ip::udp::v4());
        m_stopping = true;
        wake.send_to(asio::buffer("", 1), m_socket.local_endpoint());
        m_thread.join();
    }

    /// @return this router's item in the store
    store::Item item() const
    {
        return {m_name, R"({"address":"127.0.0.1","port":)"
                                + std::to_string(m_socket.local_endpoint().port()) + "}"};
    }
    InProcessRouter::Collections entry() const { return {{"routers", {item()}}}; }
    /// Tells a router at which revision the store is.
    void announce(std::uint16_t routerPort, StoreRevision revision)
    {
        asio::ip::udp::socket socket(m_context, asio::ip::udp::v4());
        socket.send_to(asio::buffer(wire::encodeDatagram(
                               wire::StoreNotice{m_reply.sender, 1, revision, {}})),
                       {asio::ip::address_v4::loopback(), routerPort});
    }
    int answered() const { return m_answered; }
    /// @return lowest era of the store in the questions
    std::uint64_t lowestEra() const { return m_lowestEra; }

private:
    void answer()
    {
        std::array<char, 65536> bytes{};
        asio::ip::udp::endpoint from;
        while (!m_stopping) {
            const std::size_t size = m_socket.receive_from(asio::buffer(bytes), from);
            const auto message = wire::decodeDatagram({bytes.data(), size});
            const auto *query
                    = message ? std::get_if<wire::RestoredStateQuery>(&message.value()) : nullptr;
            if (!query)
                continue;
            m_lowestEra = std::min<std::uint64_t>(m_lowestEra, query->storeRevision.era);
            m_reply.query = query->query;
            m_reply.storeRevision.era = query->storeRevision.era;
            m_socket.send_to(asio::buffer(wire::encodeDatagram(m_reply)), from);
            ++m_answered;
        }
    }

    asio::io_context m_context;
    asio::ip::udp::socket m_socket;
    wire::RestoredStateReply m_reply;
    std::string m_name;
    std::atomic<int> m_answered = 0;
    std::atomic<std::uint64_t> m_lowestEra = std::numeric_limits<std::uint64_t>::max();
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
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
    const auto start = [&](const OtherRouter &other) {
        return std::make_unique<RouterFixture>(std::vector{&server}, acceptOldPlans, other.entry(),
                                               afterRestore);
    };
    GIVEN("another router that knows a newer plan")
    {
        const OtherRouter other(reply(2));
        const auto router = start(other);
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
        const OtherRouter other(reply(1));
        const auto router = start(other);
        THEN("it serves soon")
        {
            CHECK(becomesReady(*router, 1s));
            CHECK(router->call("/read/x").status() == 200);
        }
    }
    GIVEN("another router that knows of an evacuation that the copy lacks")
    {
        wire::RestoredStateReply made = reply(1);
        made.items = {held("zones-out", "a", true, false)};
        const OtherRouter other(made);
        const auto router = start(other);
        THEN("no request goes to that zone")
        {
            CHECK(becomesReady(*router));
            CHECK(router->call("/read/x").status() == 503);
            CHECK(server.requests().empty());
        }
    }
    GIVEN("one that was cut off before that zone was taken back, beside one that was not")
    {
        wire::RestoredStateReply outdated = reply(1);
        outdated.items = {held("zones-out", "a", true, false)};
        outdated.knowledgeAgeMs = 20'000;
        const OtherRouter cutOff(outdated, "cut-off");
        const OtherRouter inTouch(reply(1), "in-touch");
        const RouterFixture router({&server}, acceptOldPlans,
                                   {{"routers", {cutOff.item(), inTouch.item()}}}, afterRestore);
        THEN("the zone is used")
        {
            CHECK(becomesReady(router));
            CHECK(cutOff.answered() > 0);
            const RawAnswer given = router.call("/read/x");
            INFO(given.text);
            CHECK(given.status() == 200);
        }
    }
    GIVEN("another router that knows that the only server has left")
    {
        wire::RestoredStateReply made = reply(1);
        made.items = {held("servers", "s0", false, true)};
        const OtherRouter other(made);
        const auto router = start(other);
        THEN("no request goes to that server")
        {
            REQUIRE(eventually([&] { return other.answered() > 0; }));
            std::this_thread::sleep_for(500ms);
            CHECK(router->call("/read/x").status() == 503);
            CHECK(server.requests().empty());
        }
    }
    GIVEN("no other router that answers")
    {
        const RouterFixture router({&server}, acceptOldPlans,
                                   {{"routers", {{"dead", R"({"address":"127.0.0.1","port":9})"}}}},
                                   afterRestore);
        THEN("it serves after a while, as nobody knows more")
        {
            CHECK(becomesReady(router, 3s));
            CHECK(router.call("/read/x").status() == 200);
        }
    }
}

// A router that was cut off while a key was withdrawn renewed its proof by the restored store.
SCENARIO("a router's store is restored while it runs")
{
    ScriptedServer server(always(answer("200 OK", "whole")));
    GIVEN("another router that knows a newer plan")
    {
        const OtherRouter other(reply(2));
        RouterFixture router({&server}, acceptOldPlans, other.entry());
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
        OtherRouter other(reply(1));
        RouterFixture router({&server}, acceptOldPlans, other.entry());
        router.restoreStore(false);
        other.announce(router.settings().peerEndpoint.port, {2, 1});
        std::this_thread::sleep_for(500ms);
        router.showRestore();
        THEN("it asks when it knows all of the copy, with which it compares the answer")
        {
            CHECK(eventually([&] { return other.answered() > 0; }, 4s));
            CHECK(other.lowestEra() == 2);
        }
    }
    GIVEN("another router that knows no newer plan")
    {
        const OtherRouter other(reply(1));
        RouterFixture router({&server}, acceptOldPlans, other.entry());
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
