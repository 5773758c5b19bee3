#include "support/fleet.h"

#include "bilberry/base/digest.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <sstream>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// Limit of control traffic that a daemon sends, in bytes per second.
constexpr double maxBytesPerSecond = 3000.0;
/// Limit of platform calls per router and second; the default setting.
constexpr double maxCallsPerSecond = 50.0;
constexpr Duration measuredTime = 5s;
constexpr int routers = 4;
constexpr int servers = 13;

FleetPlan plan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    std::string zones;
    for (int i = 0; i < routers; ++i) {
        plan.routers.push_back("z" + std::to_string(i));
        zones += (i > 0 ? ", z" : "z") + std::to_string(i);
    }
    for (int i = 0; i < servers; ++i)
        plan.servers.push_back({"model-" + std::to_string(i), "models", plan.routers[i % routers]});
    plan.releaseNote = "added:\n  zones: { z0: {}, z1: {}, z2: {}, z3: {} }\n  pools:\n    models: "
                       "{ zones: ["
                       + zones
                       + "], coldLimit: 4, fullLimit: 8 }\n  customers:\n    lodge: { share: 1, "
                         "keyDigests: ["
                       + sha256Hex("lodge-key")
                       + "] }\n  routes:\n    /v1: { pool: models, repeatable: always }\n";
    return plan;
}

/// @return sum of all samples of a counter on a metrics page
double sumOf(const std::string &page, const std::string &counter)
{
    double sum = 0.0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(counter))
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

std::map<std::string, double> controlBytes(const Fleet &fleet)
{
    std::map<std::string, double> bytes;
    for (const store::Vm &vm : fleet.vms())
        bytes[vm.name] = sumOf(fleet.admin(vm.adminPort, "/metrics"), "bilberry_control_bytes");
    return bytes;
}

} // namespace

SCENARIO("an idle fleet of the deployed size stays within its control traffic budget")
{
    GIVEN("four routers and thirteen servers")
    {
        Fleet fleet(plan());
        REQUIRE(fleet.start());
        const char *fault = GENERATE("nothing", "a platform that answers few calls",
                                     "a platform that is down");
        WHEN("some seconds pass with " << fault)
        {
            fleet.platform().faults().callsPerSecond
                    = std::string(fault) == "a platform that answers few calls" ? 2 : 100000;
            fleet.platform().faults().down = std::string(fault) == "a platform that is down";
            const TimePoint from = Clock::now();
            const auto before = controlBytes(fleet);
            const std::uint64_t callsBefore = fleet.platform().calls();
            std::this_thread::sleep_until(from + measuredTime);
            const auto after = controlBytes(fleet);
            const std::uint64_t calls = fleet.platform().calls() - callsBefore;
            const double seconds = toMilliseconds(Clock::now() - from) / 1000.0;
            THEN("no daemon exceeds its byte budget, and the routers stay within their call limit")
            {
                for (const auto &[name, bytes] : after) {
                    INFO(name);
                    CHECK(bytes > 0);
                    CHECK((bytes - before.at(name)) / seconds < maxBytesPerSecond);
                }
                CHECK(static_cast<double>(calls) / seconds < routers * maxCallsPerSecond);
                if (std::getenv("BILBERRY_KEEP"))
                    WARN("router " << (after.at("router-0") - before.at("router-0")) / seconds
                                   << " B/s, agent "
                                   << (after.at("model-0") - before.at("model-0")) / seconds
                                   << " B/s, platform " << static_cast<double>(calls) / seconds
                                   << " calls/s");
            }
        }
    }
}
