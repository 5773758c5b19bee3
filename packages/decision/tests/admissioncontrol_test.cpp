#include "bilberry/decision/admissioncontrol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace bilberry;
using namespace bilberry::decision;

namespace {

constexpr std::uint32_t coldLimit = 2;
constexpr std::uint32_t fullLimit = 6;
constexpr Duration quick = std::chrono::milliseconds(5);

AdmissionControl makeControl()
{
    AdmissionControl control({{coldLimit, fullLimit}, std::chrono::seconds(2), 1, 0});
    control.setOpen(true);
    return control;
}

bool runs(AdmissionControl &control, AttemptId attempt)
{
    return control.tryAdmit({attempt, 1, 0, 0.0}, {}) == AdmissionDecision::Run;
}

/// Completes requests one by one until the window has its full size.
void warmUp(AdmissionControl &control)
{
    for (AttemptId attempt = 1000; control.load().window < fullLimit; ++attempt) {
        REQUIRE(runs(control, attempt));
        control.finishAttempt(attempt, quick);
    }
}

} // namespace

SCENARIO("requests of an agent's earlier incarnation count until they have ended")
{
    GIVEN("a restarted agent whose cold server runs one request, with room for two")
    {
        AdmissionControl control = makeControl();
        control.handleServerReport(true, 1);
        REQUIRE(runs(control, 1));
        REQUIRE_FALSE(runs(control, 2));

        WHEN("a report arrives that was made before the new request reached the server")
        {
            control.handleServerReport(true, 1);
            THEN("the inherited request still counts")
            {
                CHECK_FALSE(runs(control, 2));
            }
        }
        WHEN("both run, and then only the new request does")
        {
            control.handleServerReport(true, 2);
            CHECK_FALSE(runs(control, 2));
            control.handleServerReport(true, 1);
            THEN("the slot of the inherited request is free")
            {
                CHECK(runs(control, 2));
            }
        }
        WHEN("requests start between all reports")
        {
            for (AttemptId attempt = 10; attempt < 15; ++attempt) {
                control.finishAttempt(attempt - 1 == 9 ? 1 : attempt - 1, quick);
                REQUIRE(runs(control, attempt));
                control.handleServerReport(true, 1);
            }
            THEN("several reports that agree are accepted")
            {
                CHECK(runs(control, 20));
            }
        }
        WHEN("the server restarts")
        {
            control.handleServerCrash();
            control.finishAttempt(1, std::nullopt);
            THEN("no inherited request remains")
            {
                CHECK(control.load().running == 0);
            }
        }
    }
}

SCENARIO("a warm server turns cold while it is full")
{
    struct Case
    {
        const char *name;
        std::function<void(AdmissionControl &)> turnCold;
    };
    const Case cases[] = {
            {"it reports a cold start",
             [](AdmissionControl &control) { control.handleServerReport(true, 6); }},
            {"its latency rises",
             [](AdmissionControl &control) {
                 for (AttemptId attempt = 4; attempt <= 6; ++attempt)
                     control.finishAttempt(attempt, std::chrono::seconds(2));
             }},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.name)
        {
            AdmissionControl control = makeControl();
            control.handleServerReport(false, 0);
            warmUp(control);
            for (AttemptId attempt = 1; attempt <= fullLimit; ++attempt)
                REQUIRE(runs(control, attempt));
            c.turnCold(control);
            CHECK(control.load().window == coldLimit);
            for (AttemptId attempt = 1; attempt < fullLimit; ++attempt) {
                if (control.load().running >= coldLimit)
                    CHECK_FALSE(runs(control, 50 + attempt));
                control.finishAttempt(attempt, std::nullopt);
            }
            CHECK(runs(control, 60));
        }
    }
}

TEST_CASE("no request starts beyond the window")
{
    REQUIRE(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps) {
        AdmissionControl control = makeControl();
        TimePoint now{};
        std::vector<AttemptId> running;
        std::vector<IssuedGrant> grants;
        AttemptId last = 0;
        const auto started = [&](AttemptId attempt) {
            running.push_back(attempt);
            const AdmissionLoad load = control.load();
            RC_ASSERT(load.running <= load.window);
            RC_ASSERT(load.running >= running.size());
        };
        const auto dispatch = [&](LinkId link, std::uint64_t grant) {
            const AttemptId attempt = ++last;
            if (control.tryAdmit({attempt, link, grant, double(attempt)}, now)
                == AdmissionDecision::Run)
                started(attempt);
        };
        for (const auto &[kind, value] : steps) {
            now += std::chrono::milliseconds(value);
            const LinkId link = value % 3;
            switch (kind % 9) {
            case 0:
            case 1:
                dispatch(link, 0);
                break;
            case 2:
                control.setDemand(link, value % 5, {double(value)});
                break;
            case 3:
                if (!grants.empty())
                    dispatch(grants.back().link, grants.back().grant);
                break;
            case 4:
                if (!running.empty()) {
                    const std::size_t index = value % running.size();
                    const AttemptId attempt = running[index];
                    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
                    control.finishAttempt(attempt, std::chrono::milliseconds(value));
                }
                break;
            case 5:
                control.handleServerReport(value % 2 == 0, value % 8);
                break;
            case 6:
                control.handleServerCrash();
                break;
            case 7:
                control.setLimits({1U + value % 3U, 3U + value % 5U});
                break;
            default:
                control.removeLink(link);
                break;
            }
            for (const AttemptId attempt : control.startReady())
                started(attempt);
            for (const IssuedGrant &grant : control.issueGrants(now))
                grants.push_back(grant);
        }
    }));
}
