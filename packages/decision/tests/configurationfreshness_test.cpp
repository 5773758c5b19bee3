#include "bilberry/decision/configurationfreshness.h"

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
    std::function<void(ConfigurationFreshness &)> happens;
    PartitionPolicy policy;
    bool atOnce; ///< new work at the start
    bool later;  ///< new work four seconds later
};

} // namespace

SCENARIO("a process admits work only while it may know the newest configuration")
{
    const auto stop = PartitionPolicy::Stop;
    const auto serve = PartitionPolicy::Serve;
    const auto table = GENERATE_COPY(values<Case>({
            {"no configuration", [](ConfigurationFreshness &) {}, serve, false, false},
            {"no proof", [](ConfigurationFreshness &f) { f.setActiveRevision(3); }, stop, false,
             false},
            {"no proof, but serving islands",
             [](ConfigurationFreshness &f) { f.setActiveRevision(3); }, serve, true, true},
            {"a proof",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 1s, start);
             },
             stop, true, false},
            {"an old proof",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 3500ms, start);
             },
             stop, false, false},
            {"a proof of another revision",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(2, 0s, start);
                 f.recordProof(4, 0s, start);
             },
             stop, false, false},
            {"a proof before a newer revision",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 0s, start);
                 f.recordFreeze(start);
                 f.setActiveRevision(4);
             },
             stop, false, false},
            {"a lower revision after a proof",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 0s, start);
                 f.setActiveRevision(2);
             },
             stop, true, false},
            {"a younger proof before an older one",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 0s, start);
                 f.recordProof(3, 5s, start);
             },
             stop, true, false},
            {"the word of a frozen majority",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordFreeze(start);
                 f.recordFreeze(start - 10s);
             },
             stop, true, false},
    }));
    GIVEN(table.name)
    {
        ConfigurationFreshness freshness({3s, table.policy});
        table.happens(freshness);
        THEN("new work is admitted or not")
        {
            CHECK(freshness.mayAdmit(start) == table.atOnce);
            CHECK(freshness.mayAdmit(start + 4s) == table.later);
        }
    }
}
