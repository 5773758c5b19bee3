#include "crowdcheck.h"

#include "support/fleet.h"
#include "support/rawcaller.h"

#include "bilberry/base/digest.h"
#include "bilberry/wire/codec.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::crowd;
using namespace bilberry::tests;

namespace {

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 200, fullLimit: 200 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n"
             "    /book: { pool: models }\n";
}

FleetPlan smallPlan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a"};
    plan.servers = {{"model-a", "models", "a"}};
    plan.releaseNote = releaseNote();
    plan.routerSettings = {{"callers.bodyBytes", "4194304"}};
    plan.processOptions.maxDescriptors = vmDescriptors;
    return plan;
}

/// @param fields that tell the server how to answer, each with its line end
RequestHead head(const std::string &fields = "X-Ms: 300\r\n")
{
    return "POST /v1/a HTTP/1.1\r\nHost: router\r\nX-Api-Key: kitchen-key\r\n" + fields;
}

/// A router, an agent and a server.
struct SmallFleet
{
    SmallFleet() : fleet(smallPlan()) { REQUIRE(fleet.start()); }

    int status(const std::string &bytes) const
    {
        RawCaller caller(fleet.callerPort(0));
        caller.send(bytes);
        return caller.readAnswer().status();
    }

    bool servesOrdinary() const { return status(wholeRequest(head(""), 1500, withLength)) == 200; }

    std::vector<WatchedProcess> processes()
    {
        const std::uint16_t agentPort = fleet.agentPort("model-a");
        return {{"router",
                 fleet.router(0),
                 {{fleet.callerPort(0), fleet.routerAdminPort(0)}, {agentPort}}},
                {"agent",
                 fleet.agent("model-a"),
                 {{agentPort, fleet.agentAdminPort("model-a")},
                  {fleet.backend("model-a").port()}}}};
    }

    void check(std::vector<CrowdCaller> callers)
    {
        checkAt(fleet.callerPort(0), std::move(callers));
    }

    void checkAt(std::uint16_t port, std::vector<CrowdCaller> callers)
    {
        checkCrowd(processes(), port, std::move(callers), [this] { return servesOrdinary(); });
    }

    bool answersAdmin(std::uint16_t port) const
    {
        return fleet.admin(port, "/metrics").find("bilberry_") != std::string::npos;
    }

    void checkAdmin(std::uint16_t port, std::vector<CrowdCaller> callers)
    {
        checkCrowd(processes(), port, std::move(callers),
                   [this, port] { return answersAdmin(port) && servesOrdinary(); });
    }

    Fleet fleet;
};

RequestHead adminHead()
{
    return "PUT /v1/configuration HTTP/1.1\r\nHost: admin\r\n";
}

/// @return a link's frame that announces its size and stops short of its end
std::vector<CrowdCaller> frameCrowd()
{
    const std::string announced("\x00\x7f\x00\x00\x03\x09", 6);
    const auto bytes
            = std::make_shared<const std::string>(announced + std::string(8'000'000, '\0'));
    return std::vector<CrowdCaller>(crowdSize, {bytes, bytes->size()});
}

/// Sizes of bodies above and below the limit at admin ports.
constexpr std::size_t adminBodyBytes[] = {4'000'000, 2'000'000};

std::string helloFrame(std::size_t router)
{
    wire::RouterHello hello;
    hello.router = RouterId("crowd-" + std::to_string(router));
    hello.incarnation = router + 1;
    hello.zone = ZoneId("a");
    return wire::encodeFrame(hello);
}

/// @return the frame of a request with a large body that takes long
std::string dispatchFrame(std::size_t number)
{
    constexpr AttemptId firstAttempt = 1'000'000;
    wire::Dispatch dispatch;
    dispatch.attempt = firstAttempt + number;
    dispatch.customer = CustomerId("kitchen");
    dispatch.fingerprint = number + 1;
    dispatch.method = "POST";
    dispatch.target = "/v1/a";
    dispatch.headers = {{"X-Ms", "3000"}};
    dispatch.body = std::string(bodyBytes, 'b');
    return wire::encodeFrame(dispatch);
}

/// @return links that say hello and dispatch a request with a large body each
std::vector<CrowdCaller> dispatchCrowd()
{
    std::vector<CrowdCaller> result;
    for (std::size_t i = 0; i < crowdSize; ++i) {
        const auto bytes = std::make_shared<const std::string>(helloFrame(i) + dispatchFrame(i));
        result.push_back({bytes, bytes->size()});
    }
    return result;
}

/// @return a link that says hello and dispatches many requests with large bodies
CrowdCaller dispatchInTurn()
{
    constexpr std::size_t dispatchCount = 60;
    std::string frames;
    for (std::size_t i = 0; i < dispatchCount; ++i)
        frames += i == 0 ? helloFrame(0) + dispatchFrame(i) : dispatchFrame(i);
    const auto bytes = std::make_shared<const std::string>(std::move(frames));
    return {bytes, bytes->size()};
}

/// Of a request that may not be repeated, and takes long.
const RequestHead bookingHead = "POST /book HTTP/1.1\r\nHost: router\r\nX-Api-Key: kitchen-key\r\n"
                                "X-Ms: 3000\r\n";

} // namespace

SCENARIO("a router serves a single large body in calm", "[calm]")
{
    SmallFleet fleet;
    for (const BodyFraming framing : {withLength, largeChunks, smallChunks}) {
        INFO("chunks of " << framing.chunkBytes << " bytes");
        CHECK(fleet.status(wholeRequest(head(), bodyBytes, framing)) == 200);
    }
}

SCENARIO("crowds of callers come to a router", "[callers]")
{
    for (const CrowdForm &form : callerForms(head())) {
        DYNAMIC_SECTION(form.name)
        {
            SmallFleet().check(form.callers());
        }
    }
}

SCENARIO("many callers send whole bookings to a router and hang up", "[bookings]")
{
    SmallFleet().check(hangUpCrowd(bookingHead));
}

SCENARIO("callers send whole bookings to a router one after another and hang up",
         "[hang-up-in-turn]")
{
    SmallFleet fleet;
    std::vector<CrowdCaller> callers = hangUpCrowd(bookingHead);
    callers.resize(1);
    checkCrowd(
            fleet.processes(), fleet.fleet.callerPort(0), std::move(callers),
            [&] { return fleet.servesOrdinary(); }, crowdInTurn);
}

SCENARIO("one link dispatches many large requests to an agent", "[agent-requests-in-turn]")
{
    SmallFleet fleet;
    fleet.checkAt(fleet.fleet.agentPort("model-a"), {dispatchInTurn()});
}

SCENARIO("probes of many routers that nobody knows reach a router", "[datagrams]")
{
    SmallFleet fleet;
    wire::Probe probe;
    probe.hasLists = true;
    constexpr std::size_t listedPeers = 50;
    for (std::size_t i = 0; i < listedPeers; ++i)
        probe.reachablePeers.push_back(RouterId("a-router-with-a-long-name-" + std::to_string(i)));
    checkDatagrams(
            fleet.processes(), fleet.fleet.gossipPort(0),
            [&](std::size_t number) {
                probe.sender
                        = {RouterId("unknown-" + std::to_string(number)), number + 1, ZoneId("a")};
                return wire::encodeDatagram(probe);
            },
            [&] { return fleet.servesOrdinary(); });
}

SCENARIO("a crowd of whole documents at the admin port of a router", "[admin-documents]")
{
    for (const std::size_t bytes : adminBodyBytes) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            SmallFleet fleet;
            fleet.checkAdmin(fleet.fleet.routerAdminPort(0), documentCrowd(adminHead(), bytes));
        }
    }
}

SCENARIO("a crowd of whole documents at the admin port of an agent", "[agent-documents]")
{
    for (const std::size_t bytes : adminBodyBytes) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            SmallFleet fleet;
            fleet.checkAdmin(fleet.fleet.agentAdminPort("model-a"),
                             documentCrowd(adminHead(), bytes));
        }
    }
}

SCENARIO("a crowd of links that dispatch large requests to an agent", "[agent-requests]")
{
    SmallFleet fleet;
    fleet.checkAt(fleet.fleet.agentPort("model-a"), dispatchCrowd());
}

SCENARIO("many callers don't read large answers of a router", "[unread]")
{
    SmallFleet().check(unreadCrowd(head("X-Chunks: 200\r\nX-Bytes: 50000\r\n")));
}

SCENARIO("many callers pipeline requests at a router and read nothing", "[pipelined]")
{
    SmallFleet().check(pipeliningCrowd(head("X-Chunks: 200\r\nX-Bytes: 50000\r\n")));
}

SCENARIO("a crowd of unfinished bodies at the admin port of a router", "[admin]")
{
    for (const std::size_t bytes : adminBodyBytes) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            SmallFleet fleet;
            fleet.checkAdmin(fleet.fleet.routerAdminPort(0),
                             bodyCrowd(adminHead(), withLength, mostOfTen, bytes));
        }
    }
}

SCENARIO("a crowd of unfinished heads at the admin port of a router", "[admin-heads]")
{
    SmallFleet fleet;
    fleet.checkAdmin(fleet.fleet.routerAdminPort(0), headCrowd(adminHead()));
}

SCENARIO("a crowd of unfinished bodies at the admin port of an agent", "[agent-admin]")
{
    for (const std::size_t bytes : adminBodyBytes) {
        DYNAMIC_SECTION(bytes << " bytes")
        {
            SmallFleet fleet;
            fleet.checkAdmin(fleet.fleet.agentAdminPort("model-a"),
                             bodyCrowd(adminHead(), withLength, mostOfTen, bytes));
        }
    }
}

SCENARIO("a crowd of unfinished frames at the link port of an agent", "[agent-links]")
{
    SmallFleet fleet;
    fleet.checkAt(fleet.fleet.agentPort("model-a"), frameCrowd());
}
