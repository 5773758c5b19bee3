#include "support/fleet.h"
#include "support/rawcaller.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
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

struct RouterProgram
{
    explicit RouterProgram(std::uint16_t storePort)
        : folder(std::filesystem::temp_directory_path()
                 / ("bilberry-direct-" + std::to_string(getpid()))),
          callers(freePort()), readiness(freePort()), metrics(freePort())
    {
        std::filesystem::create_directories(folder);
        const auto listenLine = [](std::uint16_t port) {
            return "  listen: 127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream(folder / "settings.yaml")
                << "role: direct-router\nname: r1\nzone: a\nlog:\n  format: json\n"
                << "callers:\n"
                << listenLine(callers) << "readiness:\n"
                << listenLine(readiness) << "  path: /v1/readyz\n  balancerLagMs: 300\nmetrics:\n"
                << listenLine(metrics) << "peers:\n"
                << listenLine(freePort()) << "store:\n  address: 127.0.0.1:" << storePort << "\n";
        process = std::make_unique<Process>(
                BILBERRY_BIN "/bilberryd",
                std::vector<std::string>{"--settings", (folder / "settings.yaml").string()},
                (folder / "log").string());
    }

    ~RouterProgram()
    {
        process.reset();
        std::filesystem::remove_all(folder);
    }

    static RawAnswer get(std::uint16_t port, const std::string &path)
    {
        RawCaller caller(port);
        caller.send("GET " + path
                    + " HTTP/1.1\r\nHost: h.example\r\n"
                      "Bilberrystile-Attempt-Id: id-7\r\nConnection: close\r\n\r\n");
        return caller.readAnswer();
    }

    bool ready() const
    {
        // Connections are refused until the process listens on the port.
        try {
            return get(readiness, "/v1/readyz").status() == 200;
        } catch (const std::exception &) {
            return false;
        }
    }

    std::string logText() const
    {
        std::ifstream in(folder / "log");
        return {std::istreambuf_iterator<char>(in), {}};
    }

    std::filesystem::path folder;
    std::uint16_t callers;
    std::uint16_t readiness;
    std::uint16_t metrics;
    std::unique_ptr<Process> process;
};

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
        RouterProgram program(store.port());
        REQUIRE(eventually([&] { return program.ready(); }));

        WHEN("a caller sends a request")
        {
            const RawAnswer answer = RouterProgram::get(program.callers, "/a/x");
            THEN("it gets the server's answer, and the metrics count it")
            {
                CHECK(answer.status() == 200);
                CHECK(answer.contains("whole"));
                CHECK(server.requests().front().field("Bilberrystile-Target-Instance") == "i-1");
                CHECK(RouterProgram::get(program.metrics, "/metrics")
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
            const int code = program.process->terminate();
            THEN("it exits with 0 well within the grace period and logs that it stopped")
            {
                CHECK(code == 0);
                CHECK(Clock::now() - start < 4s);
                CHECK(program.logText().find("Stopped.") != std::string::npos);
            }
        }
        WHEN("its settings file becomes invalid and it receives SIGHUP")
        {
            std::ofstream(program.folder / "settings.yaml", std::ios::app) << "unknown: 1\n";
            program.process->signal(SIGHUP);
            THEN("it logs the fault and continues to serve")
            {
                CHECK(eventually([&] {
                    return program.logText().find("unknown key") != std::string::npos;
                }));
                CHECK(RouterProgram::get(program.callers, "/a/x").status() == 200);
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
                RouterProgram program(unusedPort);
                const TimePoint end = Clock::now() + 100ms;
                while (Clock::now() < end && !ignored)
                    ignored = ignoresHangup(program.process->id());
            }
            THEN("SIGHUP is ignored until its handler is installed")
            {
                CHECK(ignored);
            }
        }
    }
}
