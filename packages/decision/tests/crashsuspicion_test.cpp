#include "bilberry/decision/crashsuspicion.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

using Admission = CrashSuspicion::Admission;
using Features = std::vector<RequestFeature>;

constexpr RequestFeature document = 0xf00d; ///< first part, shared with sound requests
constexpr RequestFeature crashing = 0xdead;
constexpr RequestFeature otherCrashing = 0xbad;

/// Time from a request to the crash of its server.
constexpr auto crashDelay = 1ms;
/// Time that a change takes to the other routers.
constexpr auto exchangeDelay = 20ms;

/// Routers that tell each other their suspects, and servers that crash when they begin to answer a
/// request with a crashing part.
class Fleet
{
public:
    explicit Fleet(std::size_t routers)
    {
        for (std::size_t i = 0; i < routers; ++i) {
            m_routers.emplace_back(CrashSuspicionSettings());
            m_routers.back().setProbeOrderHook([i](RequestFeature) { return i; });
        }
    }

    /// Sends a request; returns false when it is refused.
    bool send(std::size_t router, const Features &features)
    {
        CrashSuspicion &suspicion = m_routers[router];
        const Admission admission = suspicion.check(features, m_now);
        if (admission == Admission::Refuse)
            return false;
        if (admission == Admission::Probe)
            suspicion.recordProbe(features, m_now);
        const bool crashes = std::any_of(features.begin(), features.end(), [](auto feature) {
            return feature == crashing || feature == otherCrashing;
        });
        if (crashes)
            crashServer({{router, features}});
        else
            suspicion.recordAnswer(features, m_now);
        return true;
    }

    /// Sends a request whose caller leaves before there is an answer; returns false when it is
    /// refused.
    bool probeWithoutAnswer(std::size_t router, const Features &features)
    {
        if (m_routers[router].check(features, m_now) == Admission::Refuse)
            return false;
        m_routers[router].recordProbe(features, m_now);
        return true;
    }

    /// Crashes a server at which requests of some routers wait for their answers.
    void crashServer(const std::vector<std::pair<std::size_t, Features>> &waiting)
    {
        ++m_crashes;
        for (const auto &[router, features] : waiting)
            m_routers[router].recordCrash(m_crashes, features, m_now - crashDelay, m_now);
    }

    void advance(Duration duration)
    {
        for (Duration done{}; done < duration; done += exchangeDelay) {
            m_now += exchangeDelay;
            exchange(m_now >= m_nextSummaryAt);
        }
    }

    /// Cuts a router off from the others, or reconnects it.
    void setCutOff(std::size_t router, bool cutOff)
    {
        if (cutOff)
            m_cutOff.insert(router);
        else
            m_cutOff.erase(router);
    }
    void restart(std::size_t router)
    {
        m_routers[router] = CrashSuspicion(CrashSuspicionSettings());
    }

    CrashSuspicion &router(std::size_t index) { return m_routers[index]; }
    std::size_t size() const { return m_routers.size(); }
    TimePoint now() const { return m_now; }
    int crashes() const { return static_cast<int>(m_crashes); }

private:
    void exchange(bool complete)
    {
        if (complete)
            m_nextSummaryAt = m_now + 400ms;
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            const auto changed = m_routers[i].takeChanged(m_now);
            for (const CrashSuspect &suspect : complete ? m_routers[i].summary(m_now) : changed) {
                for (std::size_t other = 0; other < m_routers.size(); ++other) {
                    if (other != i && !m_cutOff.contains(i) && !m_cutOff.contains(other))
                        m_routers[other].merge(suspect, m_now);
                }
            }
        }
    }

    std::deque<CrashSuspicion> m_routers;
    std::set<std::size_t> m_cutOff;
    ServerRun m_crashes = 0;
    TimePoint m_now = TimePoint() + 1h;
    TimePoint m_nextSummaryAt{};
};

/// Sends requests with a crashing part to the routers in turn, each with parts of its own, beside
/// sound ones with the same document.
/// @return number of sound requests that were refused
int playCrashingPart(Fleet &fleet, RequestFeature part, Duration duration, Duration pause)
{
    int refused = 0;
    std::size_t number = 0;
    for (Duration done{}; done < duration; done += pause) {
        const std::size_t router = ++number % fleet.size();
        fleet.send(router, {document, part, 0x1000 + number});
        fleet.advance(pause / 2);
        refused += fleet.send(router, {document, 0x2000 + number}) ? 0 : 1;
        fleet.advance(pause - pause / 2);
    }
    return refused;
}

} // namespace

SCENARIO("pattern: one part of a prompt crashes each server that begins to answer it")
{
    GIVEN("five routers, and a request with the part each second")
    {
        Fleet fleet(5);
        const int soundRefused = playCrashingPart(fleet, crashing, 60s, 1s);
        THEN("few servers crash, and no sound request is refused")
        {
            CHECK(fleet.crashes() <= 5);
            CHECK(soundRefused == 0);
        }
        WHEN("a router starts after the last crash")
        {
            const int before = fleet.crashes();
            fleet.restart(2);
            fleet.advance(500ms);
            THEN("it refuses the part, too")
            {
                for (int i = 0; i < 20; ++i)
                    CHECK_FALSE(fleet.send(2, {document, crashing, 0x9000U + i}));
                CHECK(fleet.crashes() == before);
            }
        }
    }
    GIVEN("a router that is cut off during the crashes")
    {
        Fleet fleet(5);
        fleet.setCutOff(2, true);
        playCrashingPart(fleet, crashing, 20s, 1s);
        const int before = fleet.crashes();
        WHEN("it is connected again")
        {
            fleet.setCutOff(2, false);
            fleet.advance(500ms);
            THEN("it refuses the part")
            {
                CHECK(before <= 8);
                CHECK_FALSE(fleet.send(2, {document, crashing, 0x9000U}));
            }
        }
    }
    GIVEN("68 routers, and sixteen requests with the part each second")
    {
        Fleet fleet(68);
        playCrashingPart(fleet, crashing, 40s, 60ms);
        THEN("those that crash a server before all know of it are few")
        {
            // Crashes within a quarter of a second count once: four each, and as many per probe.
            CHECK(fleet.crashes() <= 5 * 5);
            CHECK(fleet.router(0).check({crashing}, fleet.now()) == Admission::Refuse);
        }
    }
    GIVEN("the same part at all routers at the same moment")
    {
        Fleet fleet(5);
        int lateArrivals = 0;
        for (int round = 0; round < 20; ++round) {
            const bool late = fleet.crashes() >= 5 && round >= 3;
            for (std::size_t router = 0; router < 5; ++router) {
                const bool sent = fleet.send(router, {document, crashing, 0x3000U + router});
                lateArrivals += sent && late ? 1 : 0;
            }
            fleet.advance(1s);
            for (std::size_t router = 0; router < 5; ++router)
                fleet.send(router, {document, 0x4000U + router});
        }
        THEN("after three such moments at most three further requests reach a server")
        {
            CHECK(lateArrivals <= 3);
        }
    }
    GIVEN("five crashes at once, and two later ones")
    {
        Fleet fleet(5);
        for (std::size_t router = 0; router < 5; ++router)
            fleet.send(router, {document, crashing, 0x5000U + router});
        for (std::size_t i = 0; i < 2; ++i) {
            fleet.advance(1s);
            fleet.send(i, {document, crashing, 0x6000U + i});
        }
        fleet.send(0, {document, 0x6100U});
        const int before = fleet.crashes();
        THEN("no further request with the part reaches a server, not even as a probe")
        {
            for (std::size_t i = 0; i < 60; ++i) {
                fleet.advance(1s);
                fleet.send(i % 5, {document, crashing, 0x7000U + i});
            }
            CHECK(fleet.crashes() == before);
        }
    }
    GIVEN("two such parts on different routes")
    {
        Fleet fleet(5);
        int refused = 0;
        for (std::size_t i = 0; i < 40; ++i) {
            fleet.send(i % 5, {document, crashing, 0x1000 + i});
            fleet.send((i + 1) % 5, {0xcafe, otherCrashing, 0x2000 + i});
            fleet.advance(500ms);
            refused += fleet.send(i % 5, {document, 0x3000 + i}) ? 0 : 1;
            refused += fleet.send(i % 5, {0xcafe, 0x4000 + i}) ? 0 : 1;
            fleet.advance(500ms);
        }
        THEN("both are found")
        {
            CHECK(fleet.crashes() <= 10);
            CHECK(refused == 0);
        }
    }
}

SCENARIO("pattern: servers crash for other reasons while sound requests wait at them")
{
    Fleet fleet(3);
    GIVEN("a document that is in flight at each of many crashes, and answered in between")
    {
        int refused = 0;
        for (std::size_t i = 0; i < 30; ++i) {
            fleet.crashServer({{0, {document, 0x1000 + i}}, {1, {document, 0x2000 + i}}});
            fleet.advance(100ms);
            refused += fleet.send(i % 3, {document, 0x3000 + i}) ? 0 : 1;
            fleet.advance(2s);
        }
        THEN("requests with it go on")
        {
            CHECK(refused == 0);
        }
    }
    GIVEN("an availability zone whose servers crash at the same time, each with the document")
    {
        for (int i = 0; i < 6; ++i)
            fleet.crashServer({{0, {document, 0x1000U + i}}});
        fleet.advance(100ms);
        THEN("requests with it go on")
        {
            CHECK(fleet.send(0, {document, 0x9000U}));
            CHECK(fleet.send(1, {document, 0x9001U}));
        }
    }
    GIVEN("a rare document that waited at three crashes by chance")
    {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.crashServer({{0, {document, 0x1000U + i}}});
            fleet.advance(1s);
        }
        CHECK_FALSE(fleet.send(0, {document, 0x9000U}));
        WHEN("the time of a probe has come")
        {
            fleet.advance(12s);
            THEN("one request with it is answered, and all routers admit the others")
            {
                CHECK(fleet.send(1, {document, 0x9001U}));
                fleet.advance(100ms);
                for (std::size_t router = 0; router < 3; ++router) {
                    CHECK(fleet.router(router).check({document, 0x9002U}, fleet.now())
                          == Admission::Admit);
                }
            }
        }
    }
    GIVEN("a document that every request with a crashing part holds, and few sound ones")
    {
        for (std::size_t i = 0; i < 5; ++i) {
            fleet.send(0, {document, crashing, 0x1000 + i});
            fleet.advance(1s);
        }
        CHECK(fleet.crashes() == 3);
        WHEN("the time of a probe has come")
        {
            fleet.advance(12s);
            THEN("only a request that holds one of both is the probe, and the document is "
                 "cleared")
            {
                CHECK_FALSE(fleet.send(0, {document, crashing, 0x2000U}));
                CHECK(fleet.send(0, {document, 0x2001U}));
                fleet.advance(100ms);
                CHECK(fleet.send(2, {document, 0x2002U}));
            }
        }
    }
}

// Probes whose callers leave, or whose servers stay silent, must not go on every few seconds.
SCENARIO("pattern: probes of a quarantined request get no answer")
{
    Fleet fleet(20);
    GIVEN("a request that has crashed three servers")
    {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.send(i, {crashing});
            fleet.advance(1s);
        }
        WHEN("it comes to all routers ten times a second, and no probe gets an answer")
        {
            int probes = 0;
            for (Duration done{}; done < 60s; done += 100ms) {
                for (std::size_t router = 0; router < fleet.size(); ++router)
                    probes += fleet.probeWithoutAnswer(router, {crashing}) ? 1 : 0;
                fleet.advance(100ms);
            }
            THEN("few probes reach a server")
            {
                CHECK(probes >= 1);
                CHECK(probes <= 3);
            }
        }
    }
}

SCENARIO("pattern: a request that may be repeated crashes one server after another at once")
{
    CrashSuspicion router({});
    CrashSuspicion other({});
    TimePoint now = TimePoint() + 1h;
    /// Sends the request, whose server crashes.
    const auto sendAndCrash = [&](ServerRun run) {
        const TimePoint sentAt = now;
        now += crashDelay;
        router.recordCrash(run, {crashing}, sentAt, now);
    };
    GIVEN("three attempts, each sent when the one before has crashed its server")
    {
        for (ServerRun run = 1; run <= 3; ++run)
            sendAndCrash(run);
        THEN("each crash counts, and further requests are refused")
        {
            CHECK(router.mostCrashes({crashing}).distinct == 3);
            CHECK(router.check({crashing}, now) == Admission::Refuse);
        }
        THEN("another router refuses them, too, however long the notice was under way")
        {
            for (const CrashSuspect &suspect : router.takeChanged(now))
                other.merge(suspect, now + 300ms);
            CHECK(other.check({crashing}, now + 300ms) == Admission::Refuse);
        }
    }
    GIVEN("three requests, sent at once before the first of their servers crashes")
    {
        const TimePoint sentAt = now;
        for (ServerRun run = 1; run <= 3; ++run)
            router.recordCrash(run, {crashing}, sentAt, now += 10ms);
        THEN("the crashes count as one, which may have a cause outside of the requests")
        {
            CHECK(router.mostCrashes({crashing}).distinct == 1);
            CHECK(router.check({crashing}, now) == Admission::Admit);
        }
    }
}

// While the store doesn't respond, a server that restarts under its old id looks like the one that
// crashed.
SCENARIO("pattern: a request crashes the same server again and again, and the list is out of date")
{
    CrashSuspicion router({});
    TimePoint now = TimePoint() + 1h;
    constexpr ServerRun listedRun = 7;
    GIVEN("three crashes of one listed run, seconds apart")
    {
        for (int i = 0; i < 3; ++i) {
            now += 4s;
            router.recordCrash(listedRun, {crashing}, now - crashDelay, now);
        }
        THEN("each counts")
        {
            CHECK(router.check({crashing}, now) == Admission::Refuse);
        }
    }
    GIVEN("three attempts that fail at the same crash")
    {
        for (int i = 0; i < 3; ++i)
            router.recordCrash(listedRun, {crashing}, now + i * 10ms, now + i * 100ms);
        THEN("it counts once")
        {
            CHECK(router.mostCrashes({crashing}).crashes == 1);
        }
    }
}

SCENARIO("suspicion takes bounded memory and ends")
{
    CrashSuspicionSettings settings;
    CrashSuspicion suspicion(settings);
    TimePoint now = TimePoint() + 1h;
    GIVEN("crashes beside which every prompt is new")
    {
        for (std::size_t i = 0; i < 2 * settings.maxSuspects; ++i) {
            suspicion.recordCrash(i, {2 * i, 2 * i + 1}, now - crashDelay, now);
            suspicion.recordAnswer({3 * i}, now);
        }
        THEN("the number of suspects is bounded, and so is what is told of them")
        {
            CHECK(suspicion.suspectCount() <= settings.maxSuspects);
            CHECK(suspicion.summary(now).size() <= 200);
        }
        THEN("a part with more crashes is not forgotten for them")
        {
            for (ServerRun run = 0; run < 3; ++run) {
                now += 1s;
                suspicion.recordCrash(0x100000U + run, {crashing}, now - crashDelay, now);
            }
            for (std::size_t i = 0; i < 2 * settings.maxSuspects; ++i)
                suspicion.recordCrash(0x200000U + i, {0x300000U + i}, now - crashDelay, now);
            CHECK(suspicion.check({crashing}, now) == Admission::Refuse);
        }
    }
    GIVEN("a permanently quarantined part")
    {
        for (ServerRun run = 0; run < 5; ++run) {
            suspicion.recordCrash(run, {crashing}, now - crashDelay, now);
            now += 1s;
        }
        CHECK(suspicion.check({crashing}, now + 1min) == Admission::Refuse);
        WHEN("its lifetime is over")
        {
            const CrashSuspect told = suspicion.summary(now).front();
            now += settings.lifetime + 1s;
            suspicion.expire(now);
            THEN("it is forgotten, also when another router still tells of it")
            {
                CHECK(suspicion.check({crashing}, now) == Admission::Admit);
                CrashSuspect old = told;
                for (auto &crash : old.crashes)
                    crash.age += settings.lifetime + 1s;
                suspicion.merge(old, now);
                CHECK(suspicion.check({crashing}, now) == Admission::Admit);
            }
        }
    }
}
