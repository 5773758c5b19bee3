#include "bilberry/decision/freshness.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace bilberry;
using namespace bilberry::decision;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

struct Case
{
    const char *name;
    std::function<void(Freshness &)> happens;
    IslandPolicy policy;
    bool atOnce; ///< new work at the start
    bool later;  ///< new work four seconds later
};

} // namespace

SCENARIO("a process admits work only while it may know the newest configuration")
{
    const auto stop = IslandPolicy::Stop;
    const auto serve = IslandPolicy::Serve;
    const auto table = GENERATE_COPY(values<Case>({
            {"no configuration", [](Freshness &) {}, serve, false, false},
            {"no proof", [](Freshness &f) { f.inForce(3); }, stop, false, false},
            {"no proof, but serving islands", [](Freshness &f) { f.inForce(3); }, serve, true,
             true},
            {"a proof",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(3, 1s, start);
             },
             stop, true, false},
            {"an old proof",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(3, 3500ms, start);
             },
             stop, false, false},
            {"a proof of another revision",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(2, 0s, start);
                 f.proof(4, 0s, start);
             },
             stop, false, false},
            {"a proof before a newer revision",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(3, 0s, start);
                 f.frozen(start);
                 f.inForce(4);
             },
             stop, false, false},
            {"a lower revision after a proof",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(3, 0s, start);
                 f.inForce(2);
             },
             stop, true, false},
            {"a younger proof before an older one",
             [](Freshness &f) {
                 f.inForce(3);
                 f.proof(3, 0s, start);
                 f.proof(3, 5s, start);
             },
             stop, true, false},
            {"the word of a frozen majority",
             [](Freshness &f) {
                 f.inForce(3);
                 f.frozen(start);
                 f.frozen(start - 10s);
             },
             stop, true, false},
    }));
    GIVEN(table.name)
    {
        Freshness freshness({3s, table.policy});
        table.happens(freshness);
        THEN("new work is admitted or not")
        {
            CHECK(freshness.mayAdmit(start) == table.atOnce);
            CHECK(freshness.mayAdmit(start + 4s) == table.later);
        }
    }
}
