#include "support/directprogram.h"
#include "support/fleet.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

std::string httpResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string itemList(const std::string &name, const std::string &spec)
{
    const std::string object
            = name.empty() ? "" : R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
    return httpResponse(R"({"items":[)" + object + R"(],"more_pages":false,"current_rev":1})");
}

/// Stand-in for the platform's store with one configuration and one server; watches return no
/// changes.
ScriptedServer::Script storeWith(std::uint16_t serverPort)
{
    return [serverPort](const ScriptedRequest &request) -> ScriptedAnswer {
        const std::string &head = request.head;
        if (!head.starts_with("GET"))
            return {httpResponse("{}")};
        if (head.find("?watch=") != std::string::npos) {
            std::this_thread::sleep_for(50ms);
            return {httpResponse(R"({"events":[],"current_rev":1})")};
        }
        if (head.find("/objects/config") != std::string::npos)
            return {itemList("main", R"({"version":1,"routes":[{"name":"r","host":"h.example",
                "path_prefix":"/a/","kind":"idempotent","timeout_ms":2000,"service":"orders",
                "max_attempts":1,"public":true}],"services":[{"name":"orders"}]})")};
        if (head.find("/objects/servers") != std::string::npos)
            return {itemList("i-1", R"({"service":"orders","zone":"a","state":"ready","slots":4,
                "address":"127.0.0.1:)" + std::to_string(serverPort)
                                            + R"("})")};
        return {itemList("", "")};
    };
}

const std::string daemonProgram = BILBERRY_BIN "/bilberryd";

/// @return true when the process currently ignores SIGHUP
bool ignoresHangup(int process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    const std::string field = "SigIgn:";
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(field))
            return (std::stoull(line.substr(field.size()), nullptr, 16) & 1U << (SIGHUP - 1)) != 0;
    }
    return false;
}

} // namespace

SCENARIO("a direct router serves requests with the platform's store and stops gracefully")
{
    GIVEN("a bilberryd process, a store and a server")
    {
        ScriptedServer server([](const ScriptedRequest &request) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: "
                                  + request.field("Bilberrystile-Attempt-Id")
                                  + "\r\nBilberrystile-Response-Signature: sig\r\n"
                                    "Content-Length: 5\r\n\r\nwhole"};
        });
        ScriptedServer store(storeWith(server.port()));
        DirectProgram program(daemonProgram, store.port());
        REQUIRE(eventually([&] { return program.isReady(); }));

        WHEN("a caller sends a request")
        {
            const RawAnswer answer = DirectProgram::get(program.callerPort(), "/a/x");
            THEN("it gets the server's answer, and the metrics count it")
            {
                CHECK(answer.status() == 200);
                CHECK(answer.contains("whole"));
                CHECK(server.requests().front().field("Bilberrystile-Target-Instance") == "i-1");
                CHECK(DirectProgram::get(program.metricsPort(), "/metrics")
                              .contains("bilberry_requests{event=\"answered\"} 1"));
            }
            THEN("the log has the request's dispatch and its answer under its id")
            {
                CHECK(eventually([&] {
                    const std::string log = program.logText();
                    return log.find(R"("message":"Sent to a server.","request":"id-7")")
                                   != std::string::npos
                           && log.find(R"("message":"Answered.","request":"id-7")")
                                      != std::string::npos;
                }));
            }
        }
        WHEN("it receives SIGTERM")
        {
            const TimePoint start = Clock::now();
            const int code = program.process().terminate();
            THEN("it exits with 0 well within the grace period and logs that it stopped")
            {
                CHECK(code == 0);
                CHECK(Clock::now() - start < 4s);
                CHECK(program.logText().find("Stopped.") != std::string::npos);
            }
        }
        WHEN("its settings file becomes invalid and it receives SIGHUP")
        {
            std::ofstream(program.settingsFile(), std::ios::app) << "unknown: 1\n";
            program.process().signal(SIGHUP);
            THEN("it logs the fault and continues to serve")
            {
                CHECK(eventually([&] {
                    return program.logText().find("unknown key") != std::string::npos;
                }));
                CHECK(DirectProgram::get(program.callerPort(), "/a/x").status() == 200);
            }
        }
    }
}

SCENARIO("a direct router receives SIGHUP while it is still starting")
{
    GIVEN("a store that does not listen")
    {
        const std::uint16_t unusedPort = freePort();
        WHEN("the program is started several times")
        {
            // SIGHUP is ignored only until its handler is installed, so that one start may get past
            // this state between two polls.
            constexpr int starts = 20;
            bool ignored = false;
            for (int i = 0; i < starts && !ignored; ++i) {
                DirectProgram program(daemonProgram, unusedPort);
                const TimePoint end = Clock::now() + 100ms;
                while (Clock::now() < end && !ignored)
                    ignored = ignoresHangup(program.process().id());
            }
            THEN("SIGHUP is ignored until its handler is installed")
            {
                CHECK(ignored);
            }
        }
    }
}
