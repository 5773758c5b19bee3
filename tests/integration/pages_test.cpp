#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <boost/filesystem.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

const std::string binaries = BILBERRY_BIN;
const std::string pages = BILBERRY_DOCS "/operators/";

/// A fenced code block of a page.
struct Block
{
    std::string kind; ///< info string after the opening fence
    std::string text;
};

std::vector<Block> blocksOf(const std::string &page)
{
    std::ifstream in(pages + page);
    std::vector<Block> blocks;
    bool inside = false;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("```")) {
            inside = !inside;
            if (inside)
                blocks.push_back({line.substr(3), ""});
        } else if (inside) {
            blocks.back().text += line + "\n";
        }
    }
    return blocks;
}

/// Runs the examples of one page in order against a separate platform stand-in.
class ExampleRunner
{
public:
    ExampleRunner()
        : m_folder(boost::filesystem::temp_directory_path()
                   / boost::filesystem::unique_path("bilberry-%%%%%%%%"))
    {
        boost::filesystem::create_directories(m_folder);
    }
    ~ExampleRunner() { boost::filesystem::remove_all(m_folder); }

    /// Runs one line such as "bilberryctl plan note.yaml".
    Finished command(const std::string &line) const
    {
        std::istringstream in(line);
        std::vector<std::string> words{"--platform",
                                       "127.0.0.1:" + std::to_string(m_platform.port())};
        std::string program;
        in >> program;
        for (std::string word; in >> word;)
            words.push_back(word == "note.yaml" ? file() : word);
        return runProgram(binaries + "/" + program, words);
    }

    void write(const std::string &text) const { std::ofstream(file()) << text; }
    std::string file() const { return (m_folder / "note.yaml").string(); }

private:
    boost::filesystem::path m_folder;
    PlatformStandin m_platform;
};

void runCommands(const ExampleRunner &run, const std::string &text)
{
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        const Finished finished = run.command(line);
        INFO(line << '\n' << finished.output);
        CHECK(finished.exitCode == 0);
    }
}

/// Runs all examples of a page.
/// @param applyNotes false when a command of the page applies them
void runPage(const std::string &page, bool applyNotes, ExampleRunner &run)
{
    for (const Block &block : blocksOf(page)) {
        INFO(page << '\n' << block.text);
        run.write(block.text);
        if (block.kind == "yaml release-note")
            CHECK(run.command(applyNotes ? "bilberryctl apply note.yaml"
                                         : "bilberryctl validate note.yaml")
                          .exitCode
                  == 0);
        else if (block.kind == "sh operator")
            runCommands(run, block.text);
        else if (block.kind == "yaml settings")
            CHECK(runProgram(binaries + "/bilberryd", {"--settings", run.file(), "--check"})
                          .exitCode
                  == 0);
        else
            FAIL("unknown kind of code block: " << block.kind);
    }
}

/// @return names in the first column of the table below a heading
std::set<std::string> namesBelow(const std::string &page, const std::string &heading)
{
    std::ifstream in(pages + page);
    std::set<std::string> names;
    bool inSection = false;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("## "))
            inSection = line == "## " + heading;
        if (inSection && line.starts_with("| `"))
            names.insert(line.substr(3, line.find('`', 3) - 3));
    }
    return names;
}

/// @return names of all metric families of a metrics page
std::set<std::string> familiesOf(const std::string &metrics)
{
    std::istringstream in(metrics);
    std::set<std::string> names;
    const std::string typePrefix = "# TYPE ";
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(typePrefix))
            names.insert(line.substr(typePrefix.size(),
                                     line.find(' ', typePrefix.size()) - typePrefix.size()));
    }
    return names;
}

int statusOf(std::uint16_t port, const std::string &path, const std::string &method = "GET",
             const std::string &body = "")
{
    Call request;
    request.method = method;
    request.target = path;
    request.body = body;
    request.headers["Connection"] = "close";
    return call(port, request).status;
}

} // namespace

SCENARIO("the examples of the operators' pages work")
{
    const auto start = blocksOf("getting-started.md").at(0);
    REQUIRE(start.kind == "yaml release-note");
    for (const char *page : {"settings.md", "release-note.md"}) {
        ExampleRunner run;
        runPage(page, true, run);
    }
    ExampleRunner fresh;
    fresh.write(start.text);
    // The commands of the page read the note in the block before them.
    for (const char *line : {"bilberryctl validate note.yaml", "bilberryctl plan note.yaml",
                             "bilberryctl apply note.yaml", "bilberryctl status"}) {
        CHECK(blocksOf("getting-started.md").at(1).text.find(line) != std::string::npos);
        CHECK(fresh.command(line).exitCode == 0);
    }
    for (const char *page : {"command-line.md", "runbooks.md", "metrics-and-alarms.md"}) {
        ExampleRunner run;
        run.write(start.text);
        REQUIRE(run.command("bilberryctl apply note.yaml").exitCode == 0);
        runPage(page, true, run);
    }
}

SCENARIO("daemons serve metrics and health checks as documented")
{
    FleetPlan plan;
    plan.binaries = binaries;
    plan.routers = {"a"};
    plan.servers = {{"model-a", "models", "a"}};
    plan.releaseNote
            = "added: { zones: { a: {} }, pools: { models: { zones: [a] } }, routes: { /v1: "
              "{ pool: models } }, customers: { c: { keyDigests: ["
              + sha256Hex("key") + "] } } }";
    Fleet fleet(plan);
    REQUIRE(fleet.start());
    Call request;
    request.target = "/v1/x";
    request.headers["X-Api-Key"] = "key";
    REQUIRE(fleet.call(0, request).status == 200);
    const std::uint16_t router = fleet.routerAdminPort(0);
    const std::uint16_t agent = fleet.agentAdminPort("model-a");

    THEN("the exposed and the documented metrics are the same")
    {
        const std::string page = "metrics-and-alarms.md";
        CHECK(familiesOf(fleet.admin(router, "/metrics"))
              == namesBelow(page, "Metrics of a router"));
        CHECK(familiesOf(fleet.admin(agent, "/metrics"))
              == namesBelow(page, "Metrics of an agent"));
    }
    THEN("both are alive and ready, and refuse unknown paths, methods and documents")
    {
        for (const std::uint16_t port : {router, agent}) {
            CHECK(statusOf(port, "/healthz") == 200);
            CHECK(statusOf(port, "/readyz") == 200);
            CHECK(statusOf(port, "/readyz?verbose=1") == 200);
            CHECK(statusOf(port, "/nothing") == 404);
            CHECK(statusOf(port, "/v1/configuration", "PUT", "{") == 400);
            CHECK(statusOf(port, "/v1/configuration", "DELETE") == 405);
            CHECK(statusOf(port, "/metrics", "POST") == 405);
        }
        CHECK(statusOf(agent, "/v1/burn") == 404);
    }
    THEN("a router without a configuration is alive, but not ready")
    {
        fleet.platform().faults().down = true;
        fleet.router(0).kill();
        fleet.agent("model-a").kill();
        fleet.startRouter(0);
        CHECK(eventually([&] { return statusOf(router, "/healthz") == 200; }));
        CHECK(statusOf(router, "/readyz") == 503);
    }
    THEN("an agent that drains is alive, but not ready")
    {
        request.headers["X-Ms"] = "1500";
        request.headers["X-Tag"] = "long";
        Answer answer;
        std::thread caller([&] { answer = fleet.call(0, request); });
        REQUIRE(eventually([&] { return fleet.backend("model-a").running() == 1; }));
        fleet.agent("model-a").signal(SIGTERM);
        CHECK(eventually([&] { return statusOf(agent, "/readyz") == 503; }));
        caller.join();
        CHECK(answer.body == "long");
    }
}
