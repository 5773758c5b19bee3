#include "bilberry/decision/requestlimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

constexpr auto window = 4s;
/// Requests in any window beyond which a server gets too many: one and a half times the limit, and
/// five.
double mostInWindow(double perSecond)
{
    return 1.5 * perSecond * 4.0 + 5.0;
}

/// Routers that share one server's limit.
class Routers
{
public:
    Routers(std::size_t count, double perSecond)
        : m_limits(count), m_share(1.0 / static_cast<double>(count))
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_limits[i].record(perSecond, m_now);
            m_limits[i].startTurns(i, m_now);
        }
    }

    /// Requests come to the routers at random, more than the server takes.
    void play(Duration duration, double requestsPerSecond)
    {
        constexpr auto step = 1ms;
        std::bernoulli_distribution comes(requestsPerSecond / 1000.0);
        std::uniform_int_distribution<std::size_t> router(0, m_limits.size() - 1);
        for (Duration done{}; done < duration; done += step, m_now += step) {
            if (!comes(m_random))
                continue;
            RequestLimit &limit = m_limits[router(m_random)];
            if (!limit.allows(m_share, 0.0, m_now))
                continue;
            limit.recordSent(m_share);
            m_sentAt.push_back(m_now);
        }
    }

    /// All routers get a request at the same moment.
    void playMoment()
    {
        for (RequestLimit &limit : m_limits) {
            while (limit.allows(m_share, 0.0, m_now)) {
                limit.recordSent(m_share);
                m_sentAt.push_back(m_now);
            }
        }
    }
    void advance(Duration duration) { m_now += duration; }

    std::size_t mostSentInWindow() const
    {
        std::size_t most = 0;
        for (auto first = m_sentAt.begin(); first != m_sentAt.end(); ++first) {
            const auto end = std::find_if(first, m_sentAt.end(),
                                          [&](TimePoint at) { return at >= *first + window; });
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    std::size_t sent() const { return m_sentAt.size(); }

private:
    std::vector<RequestLimit> m_limits;
    double m_share; ///< of each router
    std::vector<TimePoint> m_sentAt;
    TimePoint m_now = TimePoint() + 1h;
    std::mt19937_64 m_random{7};
};

} // namespace

SCENARIO("pattern: one server takes less than the routers would send")
{
    const std::size_t routers = GENERATE(1, 5, 25, 68);
    const double perSecond = GENERATE(0.3, 2.7, 40.0);
    Routers fleet(routers, perSecond);
    GIVEN(std::to_string(routers) + " routers, a limit of " + std::to_string(perSecond)
          + " a second, and ten times as many requests at all of them")
    {
        fleet.play(60s, 10.0 * perSecond + 5.0);
        THEN("the server gets what it takes, and no window gets too much")
        {
            CHECK(static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(perSecond));
            CHECK(static_cast<double>(fleet.sent()) >= 0.5 * 60.0 * perSecond);
        }
    }
    GIVEN(std::to_string(routers) + " routers, a limit of " + std::to_string(perSecond)
          + " a second, and quiet seconds before many requests come to all at once")
    {
        for (int i = 0; i < 5; ++i) {
            fleet.advance(20s);
            fleet.playMoment();
            fleet.play(5s, 10.0 * perSecond + 5.0);
        }
        THEN("no window gets too much")
        {
            CHECK(static_cast<double>(fleet.mostSentInWindow()) <= mostInWindow(perSecond));
        }
    }
}

SCENARIO("a server's limit holds for as long as its answers name it")
{
    RequestLimit limit;
    const TimePoint start = TimePoint() + 1h;
    CHECK(limit.allows(1.0, 0.0, start));
    CHECK(limit.record(std::nullopt, start) == RequestLimit::Change::None);
    CHECK(limit.record(2.0, start) == RequestLimit::Change::Began);
    limit.startTurns(0, start);
    const auto sendAll = [&](TimePoint now) {
        int sent = 0;
        for (; sent < 100 && limit.allows(1.0, 0.0, now); ++sent)
            limit.recordSent(1.0);
        return sent;
    };
    GIVEN("a limit of two a second and one router")
    {
        THEN("a request is sent each half second, and few at once after a pause")
        {
            CHECK(sendAll(start) == 1);
            CHECK(sendAll(start + 400ms) == 0);
            CHECK(sendAll(start + 500ms) == 1);
            CHECK(sendAll(start + 60s) <= 5);
        }
        THEN("a turn may be kept for others for a part of its validity")
        {
            CHECK_FALSE(limit.allows(1.0, 0.5, start));
            CHECK(limit.allows(1.0, 0.5, start + 1s));
        }
        WHEN("the limit changes")
        {
            CHECK(limit.record(1.0, start + 1s) == RequestLimit::Change::Other);
            THEN("an older answer doesn't bring the old one back")
            {
                CHECK(limit.record(2.0, start + 900ms) == RequestLimit::Change::None);
                CHECK(limit.perSecond() == 1.0);
            }
        }
        WHEN("a newer answer names none")
        {
            CHECK(limit.record(std::nullopt, start + 1s) == RequestLimit::Change::Other);
            THEN("all requests may be sent")
            {
                CHECK(sendAll(start + 1s) == 100);
            }
        }
    }
    GIVEN("a limit of none")
    {
        limit.record(0.0, start + 1s);
        THEN("a request is sent now and then, whose answer tells the next limit")
        {
            int sent = 0;
            for (Duration since = 1s; since < 61s; since += 1s)
                sent += sendAll(start + since);
            CHECK(sent >= 3);
            CHECK(sent <= 10);
        }
    }
}
