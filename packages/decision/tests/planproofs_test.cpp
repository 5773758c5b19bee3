#include "bilberry/decision/planproofs.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

const BootTime start = BootTime() + 1h;

RouterId routerNamed(std::size_t index)
{
    return RouterId("router-" + std::to_string(index));
}

/// Routers that prove their plan to each other, and a store, with messages that take time. Their
/// watches are silent: they learn of new plans only by asking. Faults are set from outside. Virtual
/// time only.
class ProofFleet
{
public:
    explicit ProofFleet(std::size_t count, std::uint32_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            startRouter(i);
    }

    struct Router
    {
        std::unique_ptr<PlanProofs> proofs;
        std::uint64_t planVersion = 1;
        bool isPaused = false;   ///< doesn't run; messages wait in its buffers
        bool isCutOff = false;   ///< neither routers nor the store reach it
        bool isMute = false;     ///< its messages are lost, those to it arrive
        bool hasNoStore = false; ///< the store turns it away
    };

    /// Starts a router without any knowledge; it reads the plan from the store.
    void startRouter(std::size_t index)
    {
        if (index >= routers.size())
            routers.resize(index + 1);
        PlanProofSettings settings;
        settings.router = routerNamed(index);
        Router &router = routers[index];
        router = Router();
        router.proofs = std::make_unique<PlanProofs>(settings, m_random());
        router.planVersion = planVersion;
        router.proofs->record({planVersion, planVersion, now});
    }

    void changePlan()
    {
        ++planVersion;
        changedAt[planVersion] = now;
    }

    void advance()
    {
        now += 10ms;
        deliver();
        if ((now - start) % 100ms == 0ms) {
            for (std::size_t i = 0; i < routers.size(); ++i)
                runRouter(i);
        }
    }

    /// @return true when the router would accept a request with a key that its plan has
    bool accepts(const Router &router, Duration limit) const
    {
        return router.proofs->age(now) < limit;
    }

    /// @return when the store accepted the first version above the router's; absent when there is
    ///         none
    std::optional<BootTime> outdatedSince(const Router &router) const
    {
        const auto newer = changedAt.upper_bound(router.planVersion);
        return newer == changedAt.end() ? std::nullopt : std::optional(newer->second);
    }

    std::vector<Router> routers;
    BootTime now = start;
    std::uint64_t planVersion = 1;
    std::map<std::uint64_t, BootTime> changedAt;
    std::uint64_t storeCalls = 0;
    Duration maxDelay = 5ms;

private:
    struct Message
    {
        std::size_t receiver = 0;
        std::function<void(Router &)> deliver;
    };

    void send(std::size_t receiver, std::function<void(Router &)> deliver)
    {
        std::uniform_int_distribution<std::int64_t> delay(
                0, std::chrono::duration_cast<std::chrono::milliseconds>(maxDelay).count());
        m_messages.emplace(now + std::chrono::milliseconds(delay(m_random)),
                           Message{receiver, std::move(deliver)});
    }

    void deliver()
    {
        std::vector<Message> due;
        for (auto message = m_messages.begin();
             message != m_messages.end() && message->first <= now;) {
            if (routers[message->second.receiver].isPaused) {
                ++message;
                continue;
            }
            due.push_back(std::move(message->second));
            message = m_messages.erase(message);
        }
        for (const Message &message : due) {
            Router &router = routers[message.receiver];
            if (!router.isCutOff)
                message.deliver(router);
        }
    }

    void runRouter(std::size_t index)
    {
        Router &router = routers[index];
        if (router.isPaused)
            return;
        std::vector<RouterId> others;
        for (std::size_t i = 0; i < routers.size(); ++i) {
            if (i != index)
                others.push_back(routerNamed(i));
        }
        const PlanProofs::Step step = router.proofs->nextStep(others, now);
        if (step.askStore)
            askStore(index);
        else if (step.askRouter && !router.isCutOff && !router.isMute)
            askRouter(index, *step.askRouter, step.query);
    }

    /// The store answers with its state at the time of the call; the answer may be read late.
    void askStore(std::size_t index)
    {
        ++storeCalls;
        if (routers[index].isCutOff || routers[index].hasNoStore)
            return;
        send(index, [version = planVersion, at = now](Router &router) {
            router.planVersion = std::max(router.planVersion, version);
            router.proofs->record({version, version, at});
        });
    }

    void askRouter(std::size_t index, const RouterId &asked, std::uint64_t query)
    {
        for (std::size_t other = 0; other < routers.size(); ++other) {
            if (routerNamed(other) != asked)
                continue;
            send(other, [this, index, query](Router &router) {
                const auto answer = router.proofs->answer(query, now);
                if (answer && !router.isMute)
                    send(index, [this, index, answer](Router &asking) {
                        const auto result
                                = asking.proofs->handleAnswer(*answer, asking.planVersion);
                        if (result == PlanProofs::AnswerResult::NewerPlan)
                            askStore(index);
                    });
            });
        }
    }

    std::mt19937_64 m_random;
    std::multimap<BootTime, Message> m_messages;
};

/// Age of the newest proof at which routers refuse requests with a key.
constexpr Duration proofLimit = 3500ms;

} // namespace

SCENARIO("pattern: many routers need the same proof from the store")
{
    GIVEN("68 routers without faults")
    {
        ProofFleet fleet(68, 1);
        WHEN("20 s pass, with a new plan in the middle")
        {
            Duration oldest{};
            Duration longestOutdated{};
            for (int i = 0; i < 2000; ++i) {
                if (i == 1000)
                    fleet.changePlan();
                fleet.advance();
                for (const ProofFleet::Router &router : fleet.routers) {
                    oldest = std::max(oldest, router.proofs->age(fleet.now));
                    if (const auto since = fleet.outdatedSince(router))
                        longestOutdated = std::max(longestOutdated, fleet.now - *since);
                }
            }
            THEN("all have a young proof at any time, for less than half a call a second and "
                 "router")
            {
                CHECK(oldest < 2500ms);
                CHECK(static_cast<double>(fleet.storeCalls) / (68 * 20) < 0.5);
            }
            THEN("all learn of the new plan although no watch tells them")
            {
                CHECK(longestOutdated < 3000ms);
            }
        }
        WHEN("the two routers that ask the store are cut off")
        {
            for (int i = 0; i < 300; ++i)
                fleet.advance();
            const std::uint64_t before = fleet.storeCalls;
            // Those whose proof is never older than the refresh age and one answer of the store.
            std::vector<std::size_t> watchers;
            for (std::size_t i = 0; i < fleet.routers.size(); ++i) {
                PlanProofSettings settings;
                settings.router = routerNamed(i);
                std::vector<RouterId> others;
                for (std::size_t other = 0; other < fleet.routers.size(); ++other) {
                    if (other != i)
                        others.push_back(routerNamed(other));
                }
                if (PlanProofs(settings, 1).nextStep(others, fleet.now).askStore
                    && watchers.size() < 2)
                    watchers.push_back(i);
            }
            for (const std::size_t watcher : watchers)
                fleet.routers[watcher].isCutOff = true;
            Duration oldest{};
            for (int i = 0; i < 1000; ++i) {
                fleet.advance();
                for (const ProofFleet::Router &router : fleet.routers) {
                    if (!router.isCutOff)
                        oldest = std::max(oldest, router.proofs->age(fleet.now));
                }
            }
            THEN("the others still have proofs, each with less than one call in a second")
            {
                CHECK(oldest < proofLimit);
                CHECK(static_cast<double>(fleet.storeCalls - before) / (68 * 10) < 1.0);
            }
        }
    }
}

SCENARIO("a router that is turned away by the store alone relies on the others")
{
    GIVEN("five routers, one of which the store turns away")
    {
        for (std::size_t turnedAway = 0; turnedAway < 5; ++turnedAway) {
            WHEN(("it is router " + std::to_string(turnedAway)).c_str())
            {
                ProofFleet fleet(5, 1);
                fleet.routers[turnedAway].hasNoStore = true;
                Duration oldest{};
                for (int i = 0; i < 1000; ++i) {
                    fleet.advance();
                    oldest = std::max(oldest, fleet.routers[turnedAway].proofs->age(fleet.now));
                }
                THEN("it goes on serving")
                {
                    CHECK(oldest < proofLimit);
                }
            }
        }
    }
}

SCENARIO("no order of faults lets a router trust an outdated plan")
{
    GIVEN("200 fleets with random pauses, cuts one way and both, restarts and changes of the plan")
    {
        std::size_t trusted = 0;
        std::size_t accepted = 0;
        for (std::uint32_t seed = 1; seed <= 200; ++seed) {
            std::mt19937_64 random(seed);
            ProofFleet fleet(3 + seed % 6, seed);
            fleet.maxDelay = seed % 3 == 0 ? 2s : 20ms;
            for (int step = 0; step < 2000; ++step) {
                ProofFleet::Router &router = fleet.routers[random() % fleet.routers.size()];
                switch (random() % 400) {
                case 0:
                    fleet.changePlan();
                    break;
                case 1:
                    router.isPaused = !router.isPaused;
                    break;
                case 2:
                    router.isCutOff = !router.isCutOff;
                    break;
                case 3:
                    router.isMute = !router.isMute;
                    break;
                case 4:
                    router.hasNoStore = !router.hasNoStore;
                    break;
                case 5:
                    if (!router.hasNoStore && !router.isCutOff)
                        fleet.startRouter(random() % fleet.routers.size());
                    break;
                default:
                    break;
                }
                fleet.advance();
                for (const ProofFleet::Router &checked : fleet.routers) {
                    if (checked.isPaused || !fleet.accepts(checked, proofLimit))
                        continue;
                    ++accepted;
                    const auto since = fleet.outdatedSince(checked);
                    trusted += since && fleet.now - *since > proofLimit ? 1 : 0;
                }
            }
        }
        THEN("a router never accepts by a plan that was replaced longer ago than the limit")
        {
            CHECK(accepted > 100000);
            CHECK(trusted == 0);
        }
    }
}

SCENARIO("answers that prove nothing are ignored")
{
    GIVEN("a router that has asked another one")
    {
        PlanProofSettings settings;
        settings.router = RouterId("asking");
        settings.watcherCount = 1;
        std::vector<RouterId> others;
        PlanProofs proofs(settings, 100);
        PlanProofs::Step step;
        // Finds a fleet in which another router is the one to ask.
        for (int i = 0; !step.askRouter && i < 100; ++i) {
            others.push_back(RouterId("other-" + std::to_string(i)));
            proofs = PlanProofs(settings, 100);
            proofs.record({7, 70, start});
            step = proofs.nextStep(others, start + 1500ms);
        }
        REQUIRE(step.askRouter);
        using Result = PlanProofs::AnswerResult;

        THEN("a proof counts from the question, less its age")
        {
            CHECK(proofs.handleAnswer({step.query, 7, 71, 300ms}, 7) == Result::Confirmed);
            CHECK(proofs.age(start + 2000ms) == 800ms);
        }
        THEN("an answer counts once")
        {
            CHECK(proofs.handleAnswer({step.query, 7, 71, 300ms}, 7) == Result::Confirmed);
            CHECK(proofs.handleAnswer({step.query, 7, 71, 0ms}, 7) == Result::Ignored);
        }
        THEN("an answer to no question, or by an older plan, changes nothing")
        {
            CHECK(proofs.handleAnswer({step.query + 1, 7, 71, 0ms}, 7) == Result::Ignored);
            CHECK(proofs.handleAnswer({step.query, 6, 71, 0ms}, 7) == Result::Ignored);
            CHECK(proofs.age(start + 2000ms) == 2000ms);
        }
        THEN("a newer plan of the other router is told, and proves nothing")
        {
            CHECK(proofs.handleAnswer({step.query, 8, 71, 0ms}, 7) == Result::NewerPlan);
            CHECK(proofs.age(start + 2000ms) == 2000ms);
        }
    }
}
