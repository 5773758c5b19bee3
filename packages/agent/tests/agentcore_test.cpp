#include "bilberry/agent/agentcore.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::agent;

namespace {

constexpr Incarnation testIncarnation = 77;
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

/// An agent core with two linked routers; records the messages and commands that the core sends.
struct CoreFixture
{
    explicit CoreFixture(std::uint32_t alreadyRunning = 0,
                         Incarnation incarnation = testIncarnation)
        : core(settings(), incarnation,
               {[this](decision::LinkId link, wire::LinkMessage &&message) {
                    sent.emplace_back(link, std::move(message));
                },
                [this](BackendCommand &&command) { commands.push_back(std::move(command)); },
                [this](std::size_t) { return memoryOfRequests; }, [this] { return hasMemory; }})
    {
        core.applyConfiguration(configuration(2, 4), now);
        core.addLink(firstLink, now);
        core.addLink(secondLink, now);
        reportHealth(alreadyRunning);
    }

    void reportHealth(std::uint32_t running, bool cold = false, std::uint64_t incarnation = 1)
    {
        BackendHealth health;
        health.reachable = true;
        health.running = running;
        health.cold = cold;
        health.leaving = leaving;
        health.serverIncarnation = incarnation;
        core.handleBackendEvent(health, now);
    }

    void dispatch(AttemptId attempt, decision::LinkId link = firstLink, std::uint64_t grant = 0,
                  bool mayRepeat = true, Incarnation agent = testIncarnation)
    {
        wire::Dispatch message;
        message.attempt = attempt;
        message.fingerprint = attempt;
        message.grantId = grant;
        message.agentIncarnation = agent;
        message.mayRepeat = mayRepeat;
        core.handleMessage(link, std::move(message), now);
    }

    void finishAttempt(AttemptId attempt, BackendOutcome outcome = BackendOutcome::Complete)
    {
        core.handleBackendEvent(BackendAnswerHead{attempt, 200, {}}, now);
        core.handleBackendEvent(BackendAnswerEnd{attempt, outcome}, now);
    }

    template <typename T>
    std::vector<T> messagesTo(decision::LinkId link)
    {
        std::vector<T> found;
        for (auto &[to, message] : sent) {
            if (to == link && std::holds_alternative<T>(message))
                found.push_back(std::get<T>(message));
        }
        return found;
    }

    /// @return attempts for which the core sent this command
    template <typename T>
    std::vector<AttemptId> commandedAttempts() const
    {
        std::vector<AttemptId> attempts;
        for (const BackendCommand &command : commands) {
            if (const T *found = std::get_if<T>(&command))
                attempts.push_back(found->attempt);
        }
        return attempts;
    }

    /// @return reason of the last refusal sent on the link, nothing when there was none
    std::optional<wire::RefusalReason> lastRefusalReason(decision::LinkId link = firstLink)
    {
        const auto refusals = messagesTo<wire::Refusal>(link);
        if (refusals.empty())
            return std::nullopt;
        return refusals.back().reason;
    }

    TimePoint now{std::chrono::seconds(100)};
    bool leaving = false;
    bool hasMemory = true;
    std::shared_ptr<void> memoryOfRequests = std::make_shared<int>();
    std::vector<std::pair<decision::LinkId, wire::LinkMessage>> sent;
    std::vector<BackendCommand> commands;
    AgentCore core;
};

} // namespace

SCENARIO("a router's link breaks while its requests run")
{
    CoreFixture fixture;
    GIVEN("one repeatable request and one that may not be repeated")
    {
        fixture.dispatch(1, firstLink, 0, true);
        fixture.dispatch(2, firstLink, 0, false);
        REQUIRE(fixture.commandedAttempts<RunCommand>().size() == 2);

        WHEN("the link breaks")
        {
            fixture.core.removeLink(firstLink, fixture.now);

            THEN("the repeatable request is stopped, and the other gets unlimited credit")
            {
                CHECK(fixture.commandedAttempts<StopCommand>() == std::vector<AttemptId>{1});
                CHECK(fixture.commandedAttempts<CreditCommand>() == std::vector<AttemptId>{2});

                AND_THEN("the other counts as running until it ends, and no message is sent")
                {
                    fixture.finishAttempt(1, BackendOutcome::Stopped);
                    CHECK(fixture.core.load().running == 1);
                    fixture.sent.clear();
                    fixture.finishAttempt(2);
                    CHECK(fixture.core.load().running == 0);
                    CHECK(fixture.sent.empty());
                }
            }
        }
    }
}

SCENARIO("an agent has no memory for more requests")
{
    CoreFixture fixture;
    GIVEN("a running request whose memory is accounted for")
    {
        fixture.dispatch(1);
        REQUIRE(fixture.memoryOfRequests.use_count() == 2);
        fixture.hasMemory = false;

        WHEN("another one arrives, and a router has more")
        {
            fixture.dispatch(2);
            fixture.core.handleMessage(firstLink, wire::Demand{1, {0.0}}, fixture.now);
            THEN("it is refused before it runs, and no grant invites others")
            {
                CHECK(fixture.lastRefusalReason() == wire::RefusalReason::Full);
                CHECK(fixture.commandedAttempts<RunCommand>() == std::vector<AttemptId>{1});
                CHECK(fixture.messagesTo<wire::Grant>(firstLink).empty());
            }
            THEN("the grant comes when there is memory again")
            {
                fixture.hasMemory = true;
                fixture.core.tick(fixture.now);
                CHECK(fixture.messagesTo<wire::Grant>(firstLink).size() == 1);
            }
        }
    }
}

SCENARIO("a grant is valid for one link and one incarnation of the agent")
{
    CoreFixture fixture;
    GIVEN("a router with a grant")
    {
        fixture.core.handleMessage(firstLink, wire::Demand{1, {0.0}}, fixture.now);
        const auto grants = fixture.messagesTo<wire::Grant>(firstLink);
        REQUIRE(grants.size() == 1);
        const std::uint64_t grant = grants.front().grantId;

        struct Case
        {
            const char *name;
            decision::LinkId link;
            std::uint64_t grant;
            Incarnation agent;
            Duration delay;
            bool runs;
        };
        const Case cases[] = {
                {"used in time", firstLink, grant, testIncarnation, {}, true},
                {"used over another link", secondLink, grant, testIncarnation, {}, false},
                {"other incarnation", firstLink, grant, testIncarnation + 1, {}, false},
                {"unknown grant", firstLink, grant + 1, testIncarnation, {}, false},
                {"used after it expired", firstLink, grant, testIncarnation,
                 std::chrono::seconds(3), false},
        };
        for (const Case &c : cases) {
            DYNAMIC_SECTION(c.name)
            {
                fixture.now += c.delay;
                fixture.dispatch(5, c.link, c.grant, true, c.agent);
                CHECK(fixture.commandedAttempts<RunCommand>().size() == (c.runs ? 1 : 0));
                if (!c.runs)
                    CHECK(fixture.lastRefusalReason(c.link) == wire::RefusalReason::StaleGrant);
            }
        }
        WHEN("the restarted agent issues a grant")
        {
            CoreFixture restarted(0, testIncarnation + 1);
            restarted.core.handleMessage(firstLink, wire::Demand{1, {0.0}}, restarted.now);
            THEN("its id differs, so that the earlier grant can't be used in its place")
            {
                const auto own = restarted.messagesTo<wire::Grant>(firstLink);
                REQUIRE(own.size() == 1);
                CHECK(own.front().grantId != grant);
            }
        }
    }
}

SCENARIO("a duplicate dispatch does not refuse the running attempt")
{
    CoreFixture fixture;
    GIVEN("a running attempt")
    {
        fixture.dispatch(1);
        WHEN("its dispatch is received again")
        {
            fixture.dispatch(1);
            THEN("it is ignored, since a refusal would report that the attempt did not run")
            {
                CHECK_FALSE(fixture.lastRefusalReason());
                CHECK(fixture.commandedAttempts<RunCommand>().size() == 1);
                CHECK(fixture.core.counters().duplicateDispatches == 1);
            }
        }
    }
}

SCENARIO("a server that is shutting down gets no new requests")
{
    CoreFixture fixture;
    GIVEN("an open grant and a held request")
    {
        fixture.dispatch(1);
        fixture.dispatch(2);
        fixture.core.handleMessage(firstLink, wire::Demand{1, {0.0}}, fixture.now);
        fixture.core.handleMessage(secondLink, wire::Demand{1, {1.0}}, fixture.now);
        REQUIRE(fixture.messagesTo<wire::Grant>(firstLink).size() == 1);
        fixture.dispatch(3, firstLink, fixture.messagesTo<wire::Grant>(firstLink).front().grantId);
        REQUIRE(fixture.commandedAttempts<RunCommand>().size() == 2);

        WHEN("the server reports that it is leaving")
        {
            fixture.leaving = true;
            fixture.reportHealth(2);

            THEN("the held request is refused and running requests complete")
            {
                CHECK(fixture.lastRefusalReason() == wire::RefusalReason::Leaving);
                fixture.finishAttempt(1);
                fixture.finishAttempt(2);
                fixture.dispatch(4, secondLink);
                CHECK(fixture.lastRefusalReason(secondLink) == wire::RefusalReason::Leaving);
                CHECK(fixture.commandedAttempts<RunCommand>().size() == 2);
                CHECK(fixture.commandedAttempts<StopCommand>().size() == 0);
                CHECK(fixture.messagesTo<wire::AnswerEnd>(firstLink).size() == 2);
            }
        }
        WHEN("a health check fails while requests run")
        {
            fixture.core.handleBackendEvent(BackendHealth{}, fixture.now);
            THEN("no request starts and none is stopped")
            {
                CHECK(fixture.lastRefusalReason() == wire::RefusalReason::ServerDown);
                CHECK(fixture.commandedAttempts<StopCommand>().size() == 0);
                fixture.reportHealth(2);
                fixture.finishAttempt(1);
                CHECK(fixture.messagesTo<wire::AnswerEnd>(firstLink).back().end
                      == wire::AttemptEnd::Complete);
            }
        }
    }
}
