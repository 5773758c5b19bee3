#include "burnreport.h"

#include "bilberry/store/storeerror.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::ctl;

namespace {

struct LevelCase
{
    std::array<double, 4> rates; ///< 5 min, 30 min, 1 h, 6 h
    BurnLevel level;
};

const std::vector<LevelCase> levelCases = {
        {{0, 0, 0, 0}, BurnLevel::None},         {{14.4, 1, 14.4, 1}, BurnLevel::Critical},
        {{20, 20, 14.3, 1}, BurnLevel::Notice}, // 1 h is below 14.4
        {{0, 5, 15, 5.9}, BurnLevel::Notice},   // 5 min is 0: it has ended
        {{0, 6, 6, 6}, BurnLevel::Urgent},       {{0, 5.9, 6, 6}, BurnLevel::Notice},
        {{99, 99, 1, 0.9}, BurnLevel::None},     {{0, 0, 1, 1}, BurnLevel::Notice},
        {{99, 99, 99, 99}, BurnLevel::Critical},
};

std::string burnAnswer(const char *customer, int good, int bad)
{
    std::string windows;
    for (const int seconds : decision::burnWindowSeconds)
        windows += std::string(windows.empty() ? "" : ",")
                   + "{\"seconds\":" + std::to_string(seconds) + ",\"good\":" + std::to_string(good)
                   + ",\"bad\":" + std::to_string(bad) + "}";
    return std::string(R"([{"customer":")") + customer + R"(","pool":"p","windows":[)" + windows
           + "]}]";
}

} // namespace

SCENARIO("a burn level requires its rate in a long and a short window")
{
    for (const LevelCase &row : levelCases) {
        INFO(row.rates[0] << ' ' << row.rates[1] << ' ' << row.rates[2] << ' ' << row.rates[3]);
        CHECK(burnLevel(row.rates) == row.level);
    }
}

SCENARIO("request counts are summed over routers")
{
    ConfigurationParts parts;
    parts.pools[PoolId("p")].objective.goodFraction = 0.9;
    BurnReport report;
    GIVEN("two routers with the same customer, one bad request in ten")
    {
        REQUIRE(report.add(burnAnswer("c", 60, 0)).ok());
        REQUIRE(report.add(burnAnswer("c", 30, 10)).ok());
        THEN("the budget burns at exactly the allowed rate")
        {
            const auto rows = report.rows(parts);
            REQUIRE(rows.size() == 1);
            CHECK(rows[0].counts[0] == decision::BurnCount{90, 10});
            CHECK(rows[0].rates[3] == Approx(1.0));
        }
    }
    GIVEN("a customer with a high burn")
    {
        REQUIRE(report.add(burnAnswer("a", 100, 0)).ok());
        REQUIRE(report.add(burnAnswer("z", 0, 100)).ok());
        THEN("its row comes first")
        {
            CHECK(report.rows(parts).front().key.customer == CustomerId("z"));
        }
    }
    GIVEN("answers that cannot be parsed")
    {
        for (const char *text : {"", "{}", "[1]", "[{}]", R"([{"customer":"c","pool":"p"}])",
                                 R"([{"customer":"c","pool":"p","windows":[{"seconds":300}]}])",
                                 R"([{"customer":1,"pool":"p","windows":[]}])"}) {
            INFO(text);
            CHECK(report.add(text).error() == store::StoreErrc::Malformed);
        }
        THEN("nothing is added")
        {
            CHECK(report.rows(parts).empty());
        }
    }
}
