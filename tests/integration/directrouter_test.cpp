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

std::string http(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string items(const std::string &name, const std::string &spec)
{
    const std::string object
            = name.empty() ? "" : R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
    return http(R"({"items":[)" + object + R"(],"more_pages":false,"current_rev":1})");
}

/// The platform's store with one configuration and one server; watches see no change.
ScriptedServer::Script storeWith(std::uint16_t serverPort)
{
    return [serverPort](const ScriptedRequest &request) -> ScriptedAnswer {
        const std::string &head = request.head;
        if (!head.starts_with("GET"))
            return {http("{}")};
        if (head.find("?watch=") != std::string::npos) {
            std::this_thread::sleep_for(50ms);
            return {http(R"({"events":[],"current_rev":1})")};
        }
        if (head.find("/objects/config") != std::string::npos)
            return {items("main", R"({"version":1,"routes":[{"name":"r","host":"h.example",
                "path_prefix":"/a/","kind":"idempotent","timeout_ms":2000,"service":"orders",
                "max_attempts":1,"public":true}],"services":[{"name":"orders"}]})")};
        if (head.find("/objects/servers") != std::string::npos)
            return {items("i-1", R"({"service":"orders","zone":"a","state":"ready","slots":4,
                "address":"127.0.0.1:)" + std::to_string(serverPort)
                                         + R"("})")};
        return {items("", "")};
    };
}

struct Program
{
    explicit Program(std::uint16_t storePort)
        : folder(std::filesystem::temp_directory_path()
                 / ("bilberry-direct-" + std::to_string(getpid()))),
          callers(freePort()), readiness(freePort()), metrics(freePort())
    {
        std::filesystem::create_directories(folder);
        const auto endpoint = [](std::uint16_t port) {
            return "  listen: 127.0.0.1:" + std::to_string(port) + "\n";
        };
        std::ofstream(folder / "settings.yaml")
                << "role: direct-router\nname: r1\nzone: a\nlog:\n  format: json\n"
                << "callers:\n"
                << endpoint(callers) << "readiness:\n"
                << endpoint(readiness) << "  path: /v1/readyz\n  balancerLagMs: 300\nmetrics:\n"
                << endpoint(metrics) << "peers:\n"
                << endpoint(freePort()) << "store:\n  address: 127.0.0.1:" << storePort << "\n";
        process = std::make_unique<Process>(
                BILBERRY_BIN "/bilberryd",
                std::vector<std::string>{"--settings", (folder / "settings.yaml").string()},
                (folder / "log").string());
    }

    ~Program()
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
        // The port refuses connections until the process listens.
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

/// @return true when the process ignores SIGHUP now
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

SCENARIO("a direct router serves from the platform's store and stops in order")
{
    GIVEN("the real program, a store and a server")
    {
        ScriptedServer server([](const ScriptedRequest &request) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: "
                                  + request.field("Bilberrystile-Attempt-Id")
                                  + "\r\nBilberrystile-Response-Signature: sig\r\n"
                                    "Content-Length: 5\r\n\r\nwhole"};
        });
        ScriptedServer store(storeWith(server.port()));
        Program program(store.port());
        REQUIRE(eventually([&] { return program.ready(); }));

        WHEN("a caller asks")
        {
            const RawAnswer answer = Program::get(program.callers, "/a/x");
            THEN("it gets the server's answer, and the metrics count it")
            {
                CHECK(answer.status() == 200);
                CHECK(answer.contains("whole"));
                CHECK(server.requests().front().field("Bilberrystile-Target-Instance") == "i-1");
                CHECK(Program::get(program.metrics, "/metrics")
                              .contains("bilberry_requests{event=\"answered\"} 1"));
            }
            THEN("the log leads from the request's id to its server and its end")
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
        WHEN("it is told to stop")
        {
            const TimePoint start = Clock::now();
            const int code = program.process->terminate();
            THEN("it ends by itself, well within the grace time, and says so")
            {
                CHECK(code == 0);
                CHECK(Clock::now() - start < 4s);
                CHECK(program.logText().find("Stopped.") != std::string::npos);
            }
        }
        WHEN("its settings file changes and it is told so")
        {
            std::ofstream(program.folder / "settings.yaml", std::ios::app) << "unknown: 1\n";
            program.process->signal(SIGHUP);
            THEN("it names the fault and goes on")
            {
                CHECK(eventually([&] {
                    return program.logText().find("unknown key") != std::string::npos;
                }));
                CHECK(Program::get(program.callers, "/a/x").status() == 200);
            }
        }
    }
}

SCENARIO("a direct router that is still starting is told that its settings have changed")
{
    GIVEN("a store that is not there")
    {
        const std::uint16_t absentStore = freePort();
        WHEN("the program starts, several times over")
        {
            // Handled soon after: a single start may have gone on before it is looked at.
            constexpr int starts = 20;
            bool ignored = false;
            for (int i = 0; i < starts && !ignored; ++i) {
                Program program(absentStore);
                const TimePoint end = Clock::now() + 100ms;
                while (Clock::now() < end && !ignored)
                    ignored = ignoresHangup(program.process->id());
            }
            THEN("the signal can't end it before it is handled")
            {
                CHECK(ignored);
            }
        }
    }
}
