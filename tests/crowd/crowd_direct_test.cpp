#include "crowdcheck.h"

#include "support/directprogram.h"
#include "support/fleet.h"
#include "support/scriptedserver.h"
#include "support/storestandin.h"

#include "bilberry/wire/codec.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::crowd;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t largeAnswerBytes = 8'000'000;
/// Small enough for a router to keep the answer until it is complete.
constexpr std::size_t mediumAnswerBytes = 200'000;
/// Of each request with a body; long enough for requests to wait together.
constexpr auto serviceTime = 300ms;

RequestHead head(const std::string &path)
{
    return "POST " + path
           + " HTTP/1.1\r\nHost: h.example\r\nBilberrystile-Attempt-Id: crowd\r\n"
             "Bilberrystile-Deadline-Remaining: 20000\r\n";
}

std::string answerHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: " + id
           + "\r\nBilberrystile-Response-Signature: s\r\n";
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + std::string(50'000, 'e') + "\n\n";
}

std::string answerWith(const std::string &start, std::size_t bodyBytes)
{
    return start + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
           + std::string(bodyBytes, 'a');
}

/// Answers /large/ and /medium/ with bodies of these sizes, /stream/ with events without end and
/// anything else with a few bytes.
ScriptedAnswer answer(const ScriptedRequest &request)
{
    const std::string start = answerHead(request.field("Bilberrystile-Attempt-Id"));
    if (request.head.find(" /large/") != std::string::npos)
        return {answerWith(start, largeAnswerBytes)};
    if (request.head.find(" /medium/") != std::string::npos)
        return {answerWith(start, mediumAnswerBytes)};
    if (request.head.find(" /stream/") != std::string::npos)
        return {start + "Content-Type: text/event-stream\r\n\r\n" + event(1),
                ScriptedAnswer::Then::Repeat, event(2)};
    if (request.body.size() > 1)
        std::this_thread::sleep_for(serviceTime);
    return {start + "Content-Length: 5\r\n\r\nwhole"};
}

std::string route(const std::string &name, const std::string &kind)
{
    return R"({"name":")" + name + R"(","host":"h.example","path_prefix":"/)" + name
           + R"(/","kind":")" + kind
           + R"(","timeout_ms":20000,"service":"notes","max_attempts":2,"public":true)"
           + (kind == "streaming" ? R"(,"resumable":true})" : "}");
}

std::string configuration()
{
    return R"({"version":1,"routes":[)" + route("note", "idempotent") + ","
           + route("large", "idempotent") + "," + route("medium", "idempotent") + ","
           + route("stream", "streaming")
           + R"(],"services":[{"name":"notes","slots":4000,"max_connections":40000}],"tenants":[],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000}})";
}

/// A direct router process with the descriptors of the smallest VM, a store and a server.
struct DirectFleet
{
    DirectFleet() : server(answer), program(startProgram())
    {
        REQUIRE(eventually([&] { return program.isReady(); }));
    }

    DirectProgram startProgram()
    {
        store.put(
                "servers", "i-1",
                R"({"service":"notes","zone":"a","state":"ready","slots":4000,"address":"127.0.0.1:)"
                        + std::to_string(server.port()) + R"("})");
        store.put("config", "main", configuration());
        return DirectProgram(BILBERRY_BIN "/bilberryd", store.port(), "",
                             {static_cast<unsigned>(vmDescriptors)});
    }

    /// Sends one request on a new connection.
    /// @return its status; 0 without an answer
    int status(const std::string &bytes) const
    {
        RawCaller caller(program.callerPort());
        caller.send(bytes);
        return caller.readAnswer().status();
    }

    bool servesOrdinary() const
    {
        return status(wholeRequest(head("/note/a"), 1500, withLength)) == 200;
    }

    std::vector<WatchedProcess> watched()
    {
        return {{"router",
                 program.process(),
                 {{program.callerPort(), program.readinessPort(), program.metricsPort()},
                  {server.port()}}}};
    }

    void check(std::vector<CrowdCaller> callers)
    {
        checkCrowd(watched(), program.callerPort(), std::move(callers),
                   [this] { return servesOrdinary(); });
    }

    StoreStandIn store;
    ScriptedServer server;
    DirectProgram program;
};

} // namespace

SCENARIO("a direct router serves a single large body in calm", "[calm]")
{
    DirectFleet fleet;
    for (const BodyFraming framing : {withLength, largeChunks, smallChunks}) {
        INFO("chunks of " << framing.chunkBytes << " bytes");
        CHECK(fleet.status(wholeRequest(head("/note/a"), bodyBytes, framing)) == 200);
    }
}

SCENARIO("crowds of callers come to a direct router", "[callers]")
{
    for (const CrowdForm &form : callerForms(head("/note/a"))) {
        DYNAMIC_SECTION(form.name)
        {
            DirectFleet().check(form.callers());
        }
    }
}

SCENARIO("callers send whole bodies to a direct router one after another and hang up",
         "[hang-up-in-turn]")
{
    DirectFleet fleet;
    std::vector<CrowdCaller> callers = hangUpCrowd(head("/note/a"));
    callers.resize(1);
    checkCrowd(
            fleet.watched(), fleet.program.callerPort(), std::move(callers),
            [&] { return fleet.servesOrdinary(); }, crowdInTurn);
}

SCENARIO("many callers send prompts of many parts to a direct router", "[prompts]")
{
    DirectFleet().check(promptCrowd(head("/note/a"), "Bilberrystile-Prompt-Prefix"));
}

SCENARIO("reports of many routers that nobody knows reach a direct router", "[datagrams]")
{
    DirectFleet fleet;
    constexpr std::size_t loadsPerReport = 100;
    wire::DirectRouterReport report;
    for (std::size_t i = 0; i < loadsPerReport; ++i)
        report.loads.push_back({i + 1, 1000, 1});
    checkDatagrams(
            fleet.watched(), fleet.program.peerPort(),
            [&](std::size_t number) {
                report.sender
                        = {RouterId("unknown-" + std::to_string(number)), number + 1, ZoneId("a")};
                report.sequence = 1;
                return wire::encodeDatagram(report);
            },
            [&] { return fleet.servesOrdinary(); });
}

SCENARIO("many callers don't read large answers of a direct router", "[unread]")
{
    DirectFleet().check(unreadCrowd(head("/large/a")));
}

SCENARIO("many callers don't read streams of a direct router", "[streams]")
{
    DirectFleet().check(unreadCrowd(head("/stream/a")));
}

SCENARIO("many callers pipeline requests at a direct router and read nothing", "[pipelined]")
{
    DirectFleet().check(pipeliningCrowd(head("/medium/a")));
}

SCENARIO("a crowd of unfinished requests at the readiness port of a direct router", "[readiness]")
{
    DirectFleet fleet;
    checkCrowd({{"router",
                 fleet.program.process(),
                 {{fleet.program.callerPort(), fleet.program.readinessPort()}, {}}}},
               fleet.program.readinessPort(), bodyCrowd(head("/v1/readyz"), withLength, mostOfTen),
               [&] { return fleet.program.isReady() && fleet.servesOrdinary(); });
}

SCENARIO("a crowd of unfinished heads at the metrics port of a direct router", "[metrics]")
{
    DirectFleet fleet;
    checkCrowd({{"router",
                 fleet.program.process(),
                 {{fleet.program.callerPort(), fleet.program.metricsPort()}, {}}}},
               fleet.program.metricsPort(), headCrowd("GET /metrics HTTP/1.1\r\nHost: r\r\n"), [&] {
                   return DirectProgram::get(fleet.program.metricsPort(), "/metrics").status()
                                  == 200
                          && fleet.servesOrdinary();
               });
}
