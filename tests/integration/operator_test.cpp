#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <sstream>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;

namespace json = boost::json;

namespace {

FleetPlan smallPlan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a"};
    plan.servers = {{"model-a", "models", "a"}, {"model-b", "models", "b"}};
    plan.releaseNote = "added:\n"
                       "  zones: { a: {}, b: {} }\n"
                       "  pools: { models: { zones: [a, b], objective: { goodFraction: 0.9 } } }\n"
                       "  customers: { kitchen: { keyDigests: ["
                       + sha256Hex("kitchen-key")
                       + "] } }\n"
                         "  routes: { /v1: { pool: models, repeatable: always } }\n";
    return plan;
}

std::string customerNote(const std::string &name)
{
    return "added: { customers: { " + name + ": { share: 2 } } }\n";
}

json::value parseJson(const Finished &finished)
{
    INFO(finished.output);
    boost::system::error_code error;
    json::value value = json::parse(finished.output, error);
    REQUIRE_FALSE(error);
    return value;
}

bool zoneInService(const Fleet &fleet, const std::string &zone)
{
    const json::value zones = parseJson(fleet.ctl({"zone", "list", "--json"}));
    for (const json::value &row : zones.as_array()) {
        if (row.at("zone").as_string() == zone)
            return row.at("service").as_string() == "in";
    }
    return false;
}

struct OutputCase
{
    std::vector<std::string> words;
    int exitCode;
    std::vector<std::string> contained;
};

const std::vector<OutputCase> outputCases = {
        {{"zone", "list"}, 0, {"ZONE", "a     in"}},
        {{"pool", "list"}, 0, {"models", "a,b", "slot-time", "0.9"}},
        {{"customer", "list"}, 0, {"kitchen   1      1"}},
        {{"route", "list"}, 0, {"/v1     models  always"}},
        {{"server", "list"}, 0, {"model-a  models", "yes"}},
        {{"status"}, 0, {"router-0", "2/2", "model-b", "agent"}},
        {{"show"}, 0, {"# revision 1", "repeatable: always"}},
        {{"report", "burn"}, 0, {"CUSTOMER"}},
        {{"server", "list", "--json"}, 0, {R"("pool":"models")"}},
        {{"show", "--json"}, 0, {R"("revision":1)"}},
        {{"status", "--json"}, 0, {R"("noAnswer":[])"}},
        {{"zone", "out", "c"}, 2, {"unknown availability zone"}},
        {{"zone", "off", "a"}, 2, {"unknown command"}},
        {{"zone", "out"}, 2, {"wrong number of arguments"}},
        {{"--platform", "host:1", "status"}, 2, {"IP address"}},
        {{"--platform", "127.0.0.1:70000", "status"}, 2, {"IP address"}},
        {{"--timeout", "-1", "status"}, 2, {"timeout"}},
        {{"validate", "/nonexistent"}, 2, {"/nonexistent"}},
        {{"validate", "/"}, 2, {"/"}},
        {{}, 2, {"a command is required"}},
        {{"--help"}, 0, {"zone out ZONE", "Exit codes"}},
};

} // namespace

SCENARIO("an operator inspects the fleet")
{
    Fleet fleet(smallPlan());
    REQUIRE(fleet.start());
    for (const OutputCase &row : outputCases) {
        const Finished finished = fleet.ctl(row.words);
        INFO(finished.output);
        CHECK(finished.exitCode == row.exitCode);
        for (const std::string &text : row.contained)
            CHECK_THAT(finished.output, Catch::Contains(text));
    }

    WHEN("requests were answered and one agent does not respond")
    {
        Call request;
        request.target = "/v1/chat";
        request.headers = {{"X-Api-Key", "kitchen-key"}};
        for (int i = 0; i < 5; ++i)
            REQUIRE(fleet.call(0, request).status == 200);
        fleet.agent("model-b").kill();
        THEN("the burn report counts the requests")
        {
            const json::value report = parseJson(fleet.ctl({"report", "burn", "--json"}));
            const json::value &row = report.at("rows").at(0);
            CHECK(row.at("customer").as_string() == "kitchen");
            CHECK(row.at("windows").at(0).at("good").to_number<int>() == 5);
        }
        THEN("status names the agent and returns exit code 4")
        {
            const Finished status = fleet.ctl({"status"});
            CHECK(status.exitCode == 4);
            CHECK_THAT(status.output, Catch::Contains("no answer: model-b"));
        }
        THEN("a change is accepted, and the agent is reported as not in force")
        {
            const auto note = fleet.write("c.yaml", customerNote("lodge"));
            const Finished applied = fleet.ctl({"apply", note, "--timeout", "2"});
            CHECK(applied.exitCode == 4);
            CHECK_THAT(applied.output, Catch::Contains("not in force: model-b"));
        }
    }
    WHEN("the platform is down")
    {
        fleet.platform().faults().down = true;
        THEN("a change is refused and changes nothing")
        {
            const Finished applied = fleet.ctl({"zone", "out", "a"});
            CHECK(applied.exitCode == 1);
            fleet.platform().faults().down = false;
            CHECK(zoneInService(fleet, "a"));
        }
        THEN("daemons can still be queried directly")
        {
            const std::string port = std::to_string(fleet.routerAdminPort(0));
            const Finished status = fleet.ctl({"status", "--daemons", "127.0.0.1:" + port});
            CHECK(status.exitCode == 0);
            CHECK_THAT(status.output, Catch::Contains("router-0"));
            for (const char *command : {"show", "report burn", "zone list", "server list"}) {
                std::istringstream in(command);
                std::vector<std::string> words{"--daemons", "127.0.0.1:" + port};
                for (std::string word; in >> word;)
                    words.push_back(word);
                const Finished finished = fleet.ctl(words);
                INFO(command << '\n' << finished.output);
                CHECK(finished.exitCode == 0);
            }
        }
        // The agent was once reported as a router that doesn't answer.
        THEN("the burn report leaves out an agent that is named with the routers")
        {
            const std::string router = std::to_string(fleet.routerAdminPort(0));
            const std::string agent = std::to_string(fleet.agentAdminPort("model-a"));
            const Finished report = fleet.ctl({"report", "burn", "--json", "--daemons",
                                               "127.0.0.1:" + router + ",127.0.0.1:" + agent});
            CHECK(report.exitCode == 0);
            CHECK(parseJson(report).at("noAnswer").as_array().empty());
        }
    }
    WHEN("the shown configuration is applied again")
    {
        const Finished shown = fleet.ctl({"show"});
        const auto note = fleet.write("shown.yaml", shown.output);
        THEN("it is a valid note, and plan reports each entry as existing with its line")
        {
            CHECK(fleet.ctl({"validate", note}).exitCode == 0);
            const Finished planned = fleet.ctl({"plan", note});
            CHECK(planned.exitCode == 2);
            CHECK_THAT(planned.output, Catch::Contains(":4: zone a: the entry exists already"));
        }
    }
}

SCENARIO("operators apply changes concurrently")
{
    Fleet fleet(smallPlan());
    REQUIRE(fleet.start());
    // The delay of platform calls lets both operators read before one of them writes.
    fleet.platform().faults().delayMs = 100;
    const auto runConcurrently
            = [&](const std::vector<std::string> &first, const std::vector<std::string> &second) {
                  std::pair<Finished, Finished> finished;
                  std::thread other([&] { finished.second = fleet.ctl(second); });
                  finished.first = fleet.ctl(first);
                  other.join();
                  fleet.platform().faults().delayMs = 0;
                  return finished;
              };
    const auto one = fleet.write("one.yaml", customerNote("one"));
    const auto two = fleet.write("two.yaml", customerNote("two"));

    WHEN("both apply a note")
    {
        const auto [first, second] = runConcurrently({"apply", one}, {"apply", two});
        INFO(first.output << second.output);
        THEN("one change is accepted, and the other operator is shown what changed")
        {
            REQUIRE(first.exitCode + second.exitCode == 3);
            const Finished &rejected = first.exitCode == 3 ? first : second;
            CHECK_THAT(rejected.output, Catch::Contains("another change was accepted first"));
            CHECK_THAT(rejected.output,
                       Catch::Contains(first.exitCode == 3 ? "added customer two"
                                                           : "added customer one"));
        }
        THEN("the rejected note can be applied again, and no change is lost")
        {
            CHECK(fleet.ctl({"apply", first.exitCode == 3 ? one : two}).exitCode == 0);
            const Finished listed = fleet.ctl({"customer", "list"});
            for (const char *name : {"kitchen", "one", "two"})
                CHECK_THAT(listed.output, Catch::Contains(name));
        }
    }
    WHEN("one takes a zone out of service while the other applies a note")
    {
        const auto [first, second] = runConcurrently({"zone", "out", "a"}, {"apply", one});
        INFO(first.output << second.output);
        THEN("the zone is out of service in either order")
        {
            CHECK(first.exitCode == 0);
            CHECK((second.exitCode == 0 || second.exitCode == 3));
            CHECK_FALSE(zoneInService(fleet, "a"));
        }
    }
}

SCENARIO("an operator's writes or their answers are lost")
{
    Fleet fleet(smallPlan());
    REQUIRE(fleet.start());
    for (int lost = 1; lost <= 3; ++lost) {
        for (const bool takesEffect : {true, false}) {
            INFO(lost << " writes lost, takes effect: " << takesEffect);
            auto &faults = fleet.platform().faults();
            (takesEffect ? faults.lostWriteAnswers : faults.lostWrites) = lost;
            const std::string name
                    = "c" + std::to_string(lost) + (takesEffect ? "-effect" : "-none");
            const auto note = fleet.write("lost.yaml", customerNote(name));
            const Finished applied = fleet.ctl({"apply", note});
            faults.lostWriteAnswers = 0;
            faults.lostWrites = 0;
            const bool present
                    = fleet.ctl({"customer", "list"}).output.find(name) != std::string::npos;
            INFO(applied.output);
            // A change is reported as accepted only if it is stored, and as refused only if it is
            // not.
            CHECK((applied.exitCode == 0 || applied.exitCode == 5 || applied.exitCode == 1));
            CHECK((applied.exitCode != 0 || present));
            CHECK((applied.exitCode != 1 || !present));
            if (!present)
                CHECK(fleet.ctl({"apply", note}).exitCode == 0);
        }
    }
}
