#include "bilberry/agent/agentcore.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::agent;

namespace {

constexpr Incarnation life = 77;
constexpr decision::LinkId firstLink = 1;
constexpr decision::LinkId secondLink = 2;

Configuration configuration(std::uint32_t coldLimit, std::uint32_t fullLimit)
{
    ConfigurationParts parts;
    parts.zones.emplace(ZoneId("a"), AvailabilityZone{});
    BackendPool pool;
    pool.id = PoolId("models");
    pool.zones = {ZoneId("a")};
    pool.coldLimit = coldLimit;
    pool.fullLimit = fullLimit;
    parts.pools.emplace(pool.id, pool);
    return Configuration::create(1, std::move(parts)).value();
}

AgentSettings settings()
{
    AgentSettings result;
    result.server = ServerId("model-a");
    result.pool = PoolId("models");
    result.zone = ZoneId("a");
    result.freshness.partitionPolicy = decision::PartitionPolicy::Serve;
    return result;
}

/// An agent core with two linked routers; keeps what the core sends.
struct Bench
{
    explicit Bench(std::uint32_t alreadyRunning = 0, Incarnation incarnation = life)
        : core(settings(), incarnation,
               {[this](decision::LinkId link, wire::LinkMessage &&message) {
                    sent.emplace_back(link, std::move(message));
                },
                [this](BackendCommand &&command) { commands.push_back(std::move(command)); }})
    {
        core.offerConfiguration(configuration(2, 4), now);
        core.linkUp(firstLink, now);
        core.linkUp(secondLink, now);
        report(alreadyRunning);
    }

    void report(std::uint32_t running, bool cold = false, std::uint64_t incarnation = 1)
    {
        BackendHealth health;
        health.reachable = true;
        health.running = running;
        health.cold = cold;
        health.leaving = leaving;
        health.serverIncarnation = incarnation;
        core.backend(health, now);
    }

    void dispatch(AttemptId attempt, decision::LinkId link = firstLink, std::uint64_t grant = 0,
                  bool mayRepeat = true, Incarnation agent = life)
    {
        wire::Dispatch message;
        message.attempt = attempt;
        message.fingerprint = attempt;
        message.grantId = grant;
        message.agentIncarnation = agent;
        message.mayRepeat = mayRepeat;
        core.received(link, std::move(message), now);
    }

    void end(AttemptId attempt, BackendOutcome outcome = BackendOutcome::Complete)
    {
        core.backend(BackendHead{attempt, 200, {}}, now);
        core.backend(BackendEnd{attempt, outcome}, now);
    }

    template <typename T>
    std::vector<T> take(decision::LinkId link)
    {
        std::vector<T> found;
        for (auto &[to, message] : sent) {
            if (to == link && std::holds_alternative<T>(message))
                found.push_back(std::get<T>(message));
        }
        return found;
    }

    /// @return attempts that the server duty got this command for
    template <typename T>
    std::vector<AttemptId> commanded() const
    {
        std::vector<AttemptId> attempts;
        for (const BackendCommand &command : commands) {
            if (const T *found = std::get_if<T>(&command))
                attempts.push_back(found->attempt);
        }
        return attempts;
    }

    /// @return the reason of the last refusal
    std::optional<wire::RefusalReason> refusal(decision::LinkId link = firstLink)
    {
        const auto refusals = take<wire::Refusal>(link);
        if (refusals.empty())
            return std::nullopt;
        return refusals.back().reason;
    }

    TimePoint now{std::chrono::seconds(100)};
    bool leaving = false;
    std::vector<std::pair<decision::LinkId, wire::LinkMessage>> sent;
    std::vector<BackendCommand> commands;
    AgentCore core;
};

} // namespace

SCENARIO("a router's link breaks while its requests run")
{
    Bench bench;
    GIVEN("one request that may be repeated and one that may not")
    {
        bench.dispatch(1, firstLink, 0, true);
        bench.dispatch(2, firstLink, 0, false);
        REQUIRE(bench.commanded<RunRequest>().size() == 2);

        WHEN("the link breaks")
        {
            bench.core.linkDown(firstLink, bench.now);

            THEN("only the former is stopped, and the latter needs no more credit")
            {
                CHECK(bench.commanded<StopRequest>() == std::vector<AttemptId>{1});
                CHECK(bench.commanded<CreditRequest>() == std::vector<AttemptId>{2});

                AND_THEN("it counts until it ends, and nobody is told")
                {
                    bench.end(1, BackendOutcome::Stopped);
                    CHECK(bench.core.load().running == 1);
                    bench.sent.clear();
                    bench.end(2);
                    CHECK(bench.core.load().running == 0);
                    CHECK(bench.sent.empty());
                }
            }
        }
    }
}

SCENARIO("grants belong to one link and one life of the agent")
{
    Bench bench;
    GIVEN("a router that got a grant")
    {
        bench.core.received(firstLink, wire::Demand{1, {0.0}}, bench.now);
        const auto grants = bench.take<wire::Grant>(firstLink);
        REQUIRE(grants.size() == 1);
        const std::uint64_t grant = grants.front().grantId;

        struct Case
        {
            const char *name;
            decision::LinkId link;
            std::uint64_t grant;
            Incarnation agent;
            Duration later;
            bool runs;
        };
        const Case cases[] = {
                {"used in time", firstLink, grant, life, {}, true},
                {"used over another link", secondLink, grant, life, {}, false},
                {"of another life", firstLink, grant, life + 1, {}, false},
                {"unknown number", firstLink, grant + 1, life, {}, false},
                {"too late", firstLink, grant, life, std::chrono::seconds(3), false},
        };
        for (const Case &c : cases) {
            DYNAMIC_SECTION(c.name)
            {
                bench.now += c.later;
                bench.dispatch(5, c.link, c.grant, true, c.agent);
                CHECK(bench.commanded<RunRequest>().size() == (c.runs ? 1 : 0));
                if (!c.runs)
                    CHECK(bench.refusal(c.link) == wire::RefusalReason::StaleGrant);
            }
        }
        WHEN("the agent restarts and makes a grant of its own")
        {
            Bench restarted(0, life + 1);
            restarted.core.received(firstLink, wire::Demand{1, {0.0}}, restarted.now);
            THEN("its number differs, so that the old one can't pass for it")
            {
                const auto own = restarted.take<wire::Grant>(firstLink);
                REQUIRE(own.size() == 1);
                CHECK(own.front().grantId != grant);
            }
        }
    }
}

SCENARIO("a repeated dispatch is no refusal of the attempt that runs")
{
    Bench bench;
    GIVEN("a running attempt")
    {
        bench.dispatch(1);
        WHEN("its dispatch comes again")
        {
            bench.dispatch(1);
            THEN("it is dropped: a refusal would say that the attempt did not run")
            {
                CHECK_FALSE(bench.refusal());
                CHECK(bench.commanded<RunRequest>().size() == 1);
                CHECK(bench.core.counts().repeatedDispatches == 1);
            }
        }
    }
}

SCENARIO("a leaving server gets no new work")
{
    Bench bench;
    GIVEN("an open grant and a held request")
    {
        bench.dispatch(1);
        bench.dispatch(2);
        bench.core.received(firstLink, wire::Demand{1, {0.0}}, bench.now);
        bench.core.received(secondLink, wire::Demand{1, {1.0}}, bench.now);
        REQUIRE(bench.take<wire::Grant>(firstLink).size() == 1);
        bench.dispatch(3, firstLink, bench.take<wire::Grant>(firstLink).front().grantId);
        REQUIRE(bench.commanded<RunRequest>().size() == 2);

        WHEN("the server starts leaving")
        {
            bench.leaving = true;
            bench.report(2);

            THEN("the held request is refused as not run, running ones end in peace")
            {
                CHECK(bench.refusal() == wire::RefusalReason::Leaving);
                bench.end(1);
                bench.end(2);
                bench.dispatch(4, secondLink);
                CHECK(bench.refusal(secondLink) == wire::RefusalReason::Leaving);
                CHECK(bench.commanded<RunRequest>().size() == 2);
                CHECK(bench.commanded<StopRequest>().size() == 0);
                CHECK(bench.take<wire::AnswerEnd>(firstLink).size() == 2);
            }
        }
        WHEN("a health check fails while requests run")
        {
            bench.core.backend(BackendHealth{}, bench.now);
            THEN("nothing new starts and nothing is cut off")
            {
                CHECK(bench.refusal() == wire::RefusalReason::ServerDown);
                CHECK(bench.commanded<StopRequest>().size() == 0);
                bench.report(2);
                bench.end(1);
                CHECK(bench.take<wire::AnswerEnd>(firstLink).back().end
                      == wire::AttemptEnd::Complete);
            }
        }
    }
}
