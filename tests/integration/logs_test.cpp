#include "support/fleet.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace bilberry;
using namespace bilberry::tests;

namespace json = boost::json;

namespace {

const std::set<std::string> components
        = {"agent",           "agent.core",         "agent.links",   "agent.backend",
           "router",          "router.coordinator", "router.core",   "router.gossip",
           "router.platform", "router.links",       "router.claims", "router.callers"};

std::vector<std::string> linesOf(const Fleet &fleet, const std::string &process)
{
    const std::string marker = fleet.write("marker", "");
    std::ifstream in(marker.substr(0, marker.rfind('/') + 1) + process + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    // The last line may be incomplete while the process is still writing it.
    std::istringstream completeLines(text.str().substr(0, text.str().rfind('\n') + 1));
    std::vector<std::string> lines;
    for (std::string line; std::getline(completeLines, line);)
        lines.push_back(line);
    return lines;
}

FleetPlan planWith(const std::string &format)
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a", "a"};
    plan.servers = {{"model-a", "models", "a"}};
    plan.releaseNote = "added: { zones: { a: {} }, pools: { models: { zones: [a] } } }";
    plan.routerSettings["log.format"] = format;
    plan.agentSettings["log.format"] = format;
    return plan;
}

/// Causes faults that are logged: lost links, an unreachable platform, a lost peer.
void causeFaults(Fleet &fleet)
{
    fleet.platform().faults().down = true;
    fleet.agent("model-a").kill();
    fleet.router(1).kill();
    REQUIRE(eventually([&] {
        std::string all;
        for (const std::string &line : linesOf(fleet, "router-0"))
            all += line;
        return all.find("router.platform") != std::string::npos
               && all.find("Link to agent") != std::string::npos;
    }));
}

} // namespace

SCENARIO("daemons log single sentences with the prefix of their component")
{
    GIVEN("a fleet with faults that logs in JSON")
    {
        Fleet fleet(planWith("json"));
        REQUIRE(fleet.start());
        causeFaults(fleet);
        THEN("each line is an object of a known component with one sentence, and the rate of each "
             "component is bounded")
        {
            constexpr std::size_t maxMessageSize = 160;
            // A component's rate interval and a second of the clock overlap, and the count of
            // suppressed lines is a line, too.
            constexpr int maxLinesPerClockSecond = 42;
            std::map<std::string, int> linesBySecond;
            for (const char *process : {"router-0", "router-1", "model-a"}) {
                for (const std::string &line : linesOf(fleet, process)) {
                    INFO(line);
                    boost::system::error_code error;
                    const json::value value = json::parse(line, error);
                    REQUIRE_FALSE(error);
                    const std::string part(value.at("part").as_string());
                    const std::string time(value.at("time").as_string());
                    CHECK(components.contains(part));
                    CHECK(value.at("message").as_string().back() == '.');
                    CHECK(value.at("message").as_string().size() <= maxMessageSize);
                    const std::string second = process + part + time.substr(0, time.find('.'));
                    CHECK(++linesBySecond[second] <= maxLinesPerClockSecond);
                }
            }
        }
    }
    GIVEN("a fleet with faults that logs as text")
    {
        Fleet fleet(planWith("text"));
        REQUIRE(fleet.start());
        causeFaults(fleet);
        THEN("each line has a time, a level, a component and a sentence")
        {
            const std::regex linePattern(
                    R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z (DEBUG|INFO |WARN |ERROR) \[([a-z.]+)\] [A-Z0-9].*\.)");
            for (const char *process : {"router-0", "router-1", "model-a"}) {
                for (const std::string &line : linesOf(fleet, process)) {
                    INFO(line);
                    std::smatch match;
                    REQUIRE(std::regex_match(line, match, linePattern));
                    CHECK(components.contains(match[2]));
                }
            }
        }
    }
}
