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
    std::function<void(ConfigurationFreshness &)> setUp;
    PartitionPolicy policy;
    bool admitsAtStart; ///< new requests at the start
    bool admitsLater;   ///< new requests four seconds later
};

} // namespace

SCENARIO("a process admits requests only while it may have the newest configuration")
{
    const auto stop = PartitionPolicy::Stop;
    const auto serve = PartitionPolicy::Serve;
    const auto testCase = GENERATE_COPY(values<Case>({
            {"no configuration", [](ConfigurationFreshness &) {}, serve, false, false},
            {"no proof", [](ConfigurationFreshness &f) { f.setActiveRevision(3); }, stop, false,
             false},
            {"no proof, but the policy to serve",
             [](ConfigurationFreshness &f) { f.setActiveRevision(3); }, serve, true, true},
            {"a proof",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 1s, start);
             },
             stop, true, false},
            {"an expired proof",
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
            {"a newer proof before an older one",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordProof(3, 0s, start);
                 f.recordProof(3, 5s, start);
             },
             stop, true, false},
            {"a report of a frozen majority",
             [](ConfigurationFreshness &f) {
                 f.setActiveRevision(3);
                 f.recordFreeze(start);
                 f.recordFreeze(start - 10s);
             },
             stop, true, false},
    }));
    GIVEN(testCase.name)
    {
        ConfigurationFreshness freshness({3s, testCase.policy});
        testCase.setUp(freshness);
        THEN("new requests are admitted or refused")
        {
            CHECK(freshness.mayAdmit(start) == testCase.admitsAtStart);
            CHECK(freshness.mayAdmit(start + 4s) == testCase.admitsLater);
        }
    }
}
