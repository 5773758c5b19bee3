#include "bilberry/router/routercore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

using namespace bilberry;
using namespace bilberry::router;

namespace {

const PoolId pool("models");
const ServerId server("model-a");
const ServerId otherServer("model-b");
constexpr Incarnation agentIncarnation = 5;

ConfigurationPtr configuration()
{
    ConfigurationParts parts;
    parts.zones.emplace(ZoneId("a"), AvailabilityZone{});
    BackendPool backendPool;
    backendPool.id = pool;
    backendPool.zones = {ZoneId("a")};
    parts.pools.emplace(pool, backendPool);
    Customer customer;
    customer.id = CustomerId("kitchen");
    parts.customers.emplace(customer.id, customer);
    return std::make_shared<const Configuration>(
            Configuration::create(1, std::move(parts)).value());
}

/// A router core with two agents; records the replies to each request as text.
struct CoreFixture
{
    CoreFixture()
        : core(RouterSettings{}, 1000, hooks(), [](std::size_t) { return std::size_t{0}; })
    {
        core.setConfiguration(configuration(), now);
        for (const ServerId &name : {server, otherServer})
            core.addAgent({name, agentIncarnation, pool, ZoneId("a"), {}, load(name)}, now);
    }

    RouterCoreHooks hooks()
    {
        RouterCoreHooks result;
        result.sendToAgent = [this](const ServerId &to, wire::LinkMessage &&message) {
            if (const auto *dispatch = std::get_if<wire::Dispatch>(&message))
                attempts.push_back(dispatch->attempt);
            sent.emplace_back(to, std::move(message));
        };
        result.replyToCaller = [this](CallerReply &&reply) { recordReply(reply); };
        result.sendClaimCommand
                = [this](ClaimCommand &&command) { claims.push_back(std::move(command)); };
        result.gossipQuarantine = [](const wire::QuarantineNotice &) {};
        return result;
    }

    /// Only the first server has a window, so all requests are dispatched to it.
    static wire::ServerLoad load(const ServerId &name)
    {
        wire::ServerLoad result;
        result.window = name == server ? 100 : 0;
        result.accepting = true;
        return result;
    }

    AttemptId submit(RequestId request, bool mayRepeat = false)
    {
        SubmittedRequest message;
        message.request = request;
        message.customer = CustomerId("kitchen");
        message.pool = pool;
        message.mayRepeat = mayRepeat;
        message.body = std::to_string(request);
        message.memory = std::make_shared<MemoryHolder>(memory, nullptr, nullptr);
        message.memory->update(MemoryUse::Serving, message.body.size());
        core.handleCallerEvent(std::move(message), now);
        return attempts.back();
    }

    void recordReply(const CallerReply &reply)
    {
        std::visit([this](const auto &part) { replies[part.request] += describe(part) + ' '; },
                   reply);
    }

    static std::string describe(const ReplyHead &) { return "head"; }
    static std::string describe(const ReplyChunk &chunk) { return chunk.data; }
    static std::string describe(const ReplyEnd &end) { return end.complete ? "end" : "cut"; }
    static std::string describe(const ReplyRefusal &refusal)
    {
        return refusal.outcome == RequestOutcome::Unknown ? "unknown" : "not-run";
    }

    /// Delivers frames: "H" is a head, "2" the chunk of that number, "E2" an end after two chunks,
    /// "T" a truncated end. The prefix "x" stands for another attempt, "s" for another server.
    void deliver(const std::string &frames, AttemptId attempt)
    {
        std::istringstream frameStream(frames);
        for (std::string token; frameStream >> token;) {
            const bool ofOtherAttempt = token[0] == 'x';
            const bool fromOtherServer = token[0] == 's';
            const std::string frame = ofOtherAttempt || fromOtherServer ? token.substr(1) : token;
            core.handleAgentMessage(fromOtherServer ? otherServer : server,
                                    makeFrame(frame, attempt + (ofOtherAttempt ? 7 : 0)), now);
        }
    }

    static wire::LinkMessage makeFrame(const std::string &frame, AttemptId attempt)
    {
        const auto number = [](const std::string &digits) {
            return static_cast<std::uint32_t>(std::stoul(digits));
        };
        if (frame == "H")
            return wire::AnswerHead{attempt, 200, {}};
        if (frame == "T")
            return wire::AnswerEnd{attempt, wire::AttemptEnd::Truncated, 1, 1.0, load(server)};
        if (frame[0] == 'E')
            return wire::AnswerEnd{attempt, wire::AttemptEnd::Complete, number(frame.substr(1)),
                                   1.0, load(server)};
        return wire::AnswerChunk{attempt, number(frame), frame};
    }

    template <typename T>
    std::vector<T> sentMessages() const
    {
        std::vector<T> found;
        for (const auto &[to, message] : sent) {
            if (const T *match = std::get_if<T>(&message))
                found.push_back(*match);
        }
        return found;
    }

    TimePoint now{std::chrono::seconds(100)};
    std::vector<AttemptId> attempts;
    std::vector<std::pair<ServerId, wire::LinkMessage>> sent;
    std::vector<ClaimCommand> claims;
    std::map<RequestId, std::string> replies;
    std::shared_ptr<MemoryAccount> memory = std::make_shared<MemoryAccount>();
    RouterCore core;
};

} // namespace

TEST_CASE("an answer is forwarded once, in order and whole, or is not ended as complete")
{
    struct Case
    {
        const char *name;
        const char *frames;
        const char *replies;
        std::uint64_t dropped;
    };
    const Case cases[] = {
            {"in order", "H 0 1 E2", "head 0 1 end ", 0},
            {"duplicated", "H H 0 0 1 1 E2 E2", "head 0 1 end ", 4},
            {"late after the end", "H 0 E1 0 1 H", "head 0 end ", 3},
            {"another attempt's parts", "H x0 0 xE1 xH E1", "head 0 end ", 3},
            {"another server's parts", "H s0 0 sE1 sH E1", "head 0 end ", 3},
            {"a part is missing", "H 0 2 E3", "head 0 cut ", 1},
            {"the last part is missing", "H 0 E2", "head 0 cut ", 0},
            {"the server truncates the answer", "H 0 T", "head 0 cut ", 0},
            {"no head", "0 E1", "unknown ", 1},
            {"an end only", "E0", "unknown ", 0},
            {"truncated before the head", "T", "unknown ", 0},
    };
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.name)
        {
            CoreFixture fixture;
            fixture.deliver(c.frames, fixture.submit(1));
            CHECK(fixture.replies[1] == c.replies);
            CHECK(fixture.core.counters().droppedParts == c.dropped);
            CHECK(fixture.core.isIdle());
        }
    }
}

TEST_CASE(
        "shuffled and repeated frames of two answers are never mixed or wrongly ended as complete")
{
    REQUIRE(rc::check([](const std::vector<std::pair<bool, std::uint8_t>> &steps) {
        static const std::vector<std::string> frames
                = {"H", "0", "1", "2", "E3", "s0", "x1", "sE3"};
        CoreFixture fixture;
        const std::array<AttemptId, 2> attempts = {fixture.submit(1), fixture.submit(2)};
        for (const auto &[second, frame] : steps)
            fixture.deliver(frames[frame % frames.size()], attempts[second ? 1 : 0]);
        for (const RequestId request : {1U, 2U}) {
            const std::string &reply = fixture.replies[request];
            const bool complete = reply.ends_with("end ");
            RC_ASSERT(!complete || reply == "head 0 1 2 end ");
            RC_ASSERT(std::string("head 0 1 2 ").starts_with(reply) || complete
                      || reply.ends_with("cut ") || reply == "unknown ");
        }
    }));
}

SCENARIO("a request's memory is held until no other attempt may follow")
{
    CoreFixture fixture;
    GIVEN("a request that runs")
    {
        const AttemptId attempt = fixture.submit(1, true);
        REQUIRE(fixture.memory->counters().heldBytes > 0);

        WHEN("its attempt fails before the answer, and it is sent again")
        {
            fixture.deliver("T", attempt);
            fixture.core.handleAgentMessage(server, wire::Grant{1, 2000, CoreFixture::load(server)},
                                            fixture.now);
            REQUIRE(fixture.attempts.size() == 2);
            THEN("the second attempt has its body, and its memory is held")
            {
                CHECK(fixture.sentMessages<wire::Dispatch>().back().body == "1");
                CHECK(fixture.memory->counters().heldBytes > 0);
            }
        }
        WHEN("its answer begins")
        {
            fixture.deliver("H", attempt);
            THEN("its memory is free")
            {
                CHECK(fixture.memory->counters().heldBytes == 0);
            }
        }
    }
}

SCENARIO("a caller disconnects while its request runs")
{
    struct Case
    {
        const char *name;
        bool mayRepeat;
        std::size_t cancels;
        std::size_t credits;
    };
    const Case cases[]
            = {{"a request that may be repeated is cancelled", true, 1, 0},
               {"a request that may not be repeated runs to completion with unlimited credit",
                false, 0, 1}};
    for (const Case &c : cases) {
        DYNAMIC_SECTION(c.name)
        {
            CoreFixture fixture;
            const AttemptId attempt = fixture.submit(1, c.mayRepeat);
            fixture.core.handleCallerEvent(CallerDisconnected{1}, fixture.now);
            CHECK(fixture.memory->counters().heldBytes == 0);
            CHECK(fixture.sentMessages<wire::Cancel>().size() == c.cancels);
            CHECK(fixture.sentMessages<wire::AnswerCredit>().size() == c.credits);
            fixture.deliver("H 0 E1", attempt);
            CHECK(fixture.replies[1].empty());
            CHECK(fixture.core.isIdle());
        }
    }
}

TEST_CASE("retries stay within a tenth of the requests plus the reserve when all attempts fail")
{
    CoreFixture fixture;
    constexpr std::size_t requests = 200;
    for (RequestId request = 1; request <= requests; ++request)
        fixture.submit(request, true);
    for (std::size_t i = 0; i < fixture.attempts.size(); ++i) {
        fixture.deliver("T", fixture.attempts[i]);
        fixture.core.handleAgentMessage(server, wire::Grant{i + 1, 2000, CoreFixture::load(server)},
                                        fixture.now);
    }
    CHECK(fixture.core.counters().retries <= requests / 10 + 10);
    CHECK(fixture.core.isIdle());
    for (RequestId request = 1; request <= requests; ++request)
        CHECK(fixture.replies[request] == "unknown ");
}
