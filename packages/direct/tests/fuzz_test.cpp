#include "routerfixture.h"

#include "crashes/crashrecords.h"
#include "server/serverstatement.h"

#include "bilberry/wire/codec.h"

#include "support/fleet.h"
#include "support/mutator.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Then = ScriptedAnswer::Then;

/// Inputs between two sound requests, which show that the router still serves.
constexpr int inputsBetweenChecks = 100;

void checkServes(const RouterFixture &router)
{
    CHECK(eventually([&] { return router.call("/book/sound").contains("sound answer"); }, 5s));
}

std::string soundRequest(Mutator &mutator)
{
    const std::string fields = "Bilberry-Prompt-Parts: a1:800,b2:100\r\nBilberry-Model: m\r\n"
                               "Bilberry-Token-Counts: 900,80\r\n";
    const std::string paths[] = {"/read/x", "/book/x", "/resume/x", "/open/x", "/none"};
    std::string request
            = InProcessRouter::request(paths[mutator.below(5)], fields, "0123456789", "key", true);
    if (mutator.below(2) == 0)
        return request + request;
    return request;
}

std::string soundAnswer(Mutator &mutator)
{
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string answers[] = {
            answer("200 OK", "whole"),
            answer("503 Busy", "", "Bilberry-Not-Run: 1\r\nRetry-After: 0.1\r\n"),
            answer("200 OK", "x",
                   "Bilberry-Signature: sig\r\nBilberry-Server-Load: 1,2,3\r\n"
                   "Bilberry-Request-Limit: 5000\r\nKeep-Alive: timeout=5\r\n"),
            streamHead + chunk(event) + chunk(event) + "0\r\nX-Trailer: 1\r\n\r\n",
            "HTTP/1.1 103 Early\r\n\r\n" + answer("200 OK", "whole"),
            unframedStreamHead + event,
    };
    return answers[mutator.below(std::size(answers))];
}

/// @return true when the bytes hold a valid statement of the server that it takes hardly any
///         request for longer than checkServes() waits
bool holdsBackRequests(const std::string &bytes)
{
    bilberry::http::BoundedResponseParser parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(asio::buffer(bytes), error);
    if (!parser.is_header_done())
        return false;
    const auto statement = direct::readServerStatement(parser.get().base(), direct::HeaderNames());
    constexpr double fewRequestsPerS = 1.0;
    const bool isLimited = statement.perSecond && *statement.perSecond < fewRequestsPerS;
    return isLimited || statement.leaving || (statement.wait && *statement.wait > 1s);
}

/// Routers obey what a server says of itself, so that a damaged answer which still says that it
/// takes nearly nothing is no damage to them.
std::string damagedAnswer(Mutator &mutator)
{
    std::string bytes = mutator.damage(soundAnswer(mutator));
    while (holdsBackRequests(bytes))
        bytes = mutator.damage(soundAnswer(mutator));
    return bytes;
}

/// Messages that routers exchange, as datagrams.
std::vector<std::string> soundDatagrams()
{
    const wire::GossipSender sender{RouterId("other"), 7, ZoneId("a")};
    return {wire::encodeDatagram(wire::DirectRouterReport{sender,
                                                          1,
                                                          true,
                                                          {{1, 1000, 2}},
                                                          true,
                                                          {{CustomerId("kitchen"), 100, 50}},
                                                          {{1, 2, 300, 40}}}),
            wire::encodeDatagram(wire::PlanProofQuery{sender, 3}),
            wire::encodeDatagram(wire::PlanProofReply{sender, 3, 1, 1, ~0ULL}),
            wire::encodeDatagram(wire::StoreNotice{
                    sender, 1, 1, {{"servers", 0, 5, 10, {{5, "s9", "s9", false}}}}}),
            wire::encodeDatagram(wire::ServerNoticeGossip{sender, {{1, 2, 5.0, 10, false}}}),
            wire::encodeDatagram(wire::CrashSuspectGossip{sender, {{1, {{2, 3, true}}, {4}, 1}}})};
}

} // namespace

// Nothing that arrives from outside may end the process or keep it from serving others.
// BILBERRY_FUZZ_SEED and BILBERRY_FUZZ_COUNT play other and more inputs.
SCENARIO("damaged bytes reach each port of a router")
{
    Mutator mutator(fuzzSeed());
    ScriptedServer server(always(answer("200 OK", "sound answer")));
    const RouterFixture router({&server}, acceptOldPlans);
    GIVEN("damaged requests of callers")
    {
        for (int i = 0; i < fuzzCount(2000); ++i) {
            RawCaller caller(router.port());
            caller.send(mutator.damage(soundRequest(mutator)));
            if (i % inputsBetweenChecks == 0)
                checkServes(router);
        }
        THEN("the router still serves")
        {
            checkServes(router);
        }
    }
    GIVEN("damaged requests to the readiness and metrics ports")
    {
        const std::string sound = "GET /readyz HTTP/1.1\r\nHost: r\r\nContent-Length: 3\r\n\r\nabc";
        for (int i = 0; i < fuzzCount(600); ++i) {
            RawCaller caller(i % 2 == 0 ? router.settings().readinessEndpoint.port
                                        : router.settings().metricsEndpoint.port);
            caller.send(mutator.damage(sound));
        }
        THEN("the router is ready and serves")
        {
            CHECK(eventually([&] { return router.ready(); }, 5s));
            checkServes(router);
        }
    }
    GIVEN("damaged datagrams of other routers")
    {
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint peers(asio::ip::address_v4::loopback(),
                                            router.settings().peerEndpoint.port);
        const std::vector<std::string> datagrams = soundDatagrams();
        for (int i = 0; i < fuzzCount(5000); ++i) {
            std::string datagram = datagrams[mutator.below(datagrams.size())];
            if (i % 10 != 0)
                datagram = mutator.damage(std::move(datagram));
            boost::system::error_code tooLong;
            socket.send_to(asio::buffer(datagram), peers, 0, tooLong);
            if (i % 500 == 0)
                checkServes(router);
        }
        THEN("the router still serves")
        {
            checkServes(router);
        }
    }
}

SCENARIO("a server sends damaged answers")
{
    Mutator mutator(fuzzSeed());
    GIVEN("a server that damages the answers to some requests")
    {
        ScriptedServer server([&](const ScriptedRequest &request) {
            if (request.head.find(" /book/sound") != std::string::npos)
                return ScriptedAnswer{answer("200 OK", "sound answer")};
            return ScriptedAnswer{damagedAnswer(mutator), Then::Close};
        });
        const RouterFixture router({&server}, acceptOldPlans);
        const std::string paths[] = {"/read/x", "/book/x", "/resume/x", "/stream/x"};
        for (int i = 0; i < fuzzCount(1000); ++i) {
            router.call(paths[i % 4]);
            if (i % inputsBetweenChecks == 0)
                checkServes(router);
        }
        THEN("sound requests are served")
        {
            checkServes(router);
        }
    }
}

SCENARIO("the store has damaged crash records")
{
    Mutator mutator(fuzzSeed());
    const store::Item sound{
            "00000000000000a1",
            R"({"crashes":[{"run":"0a","atMs":1700000000000,"resent":true}],"probes":1})"};
    GIVEN("records damaged at random")
    {
        THEN("each is decoded or left out")
        {
            for (int i = 0; i < fuzzCount(5000); ++i) {
                const store::Item item{mutator.below(4) == 0 ? mutator.damage(sound.name)
                                                             : sound.name,
                                       mutator.damage(sound.value)};
                const auto suspect
                        = direct::decodeCrashRecord(item, std::chrono::system_clock::now());
                if (suspect)
                    for (const auto &crash : suspect->crashes)
                        CHECK(crash.age >= Duration::zero());
            }
        }
    }
}
