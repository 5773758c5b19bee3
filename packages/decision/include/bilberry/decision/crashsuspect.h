#ifndef BILBERRY_DECISION_CRASHSUSPECT_H
#define BILBERRY_DECISION_CRASHSUSPECT_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <vector>

namespace bilberry::decision {

/// Hash of something that requests can have in common and that may crash servers, such as a part of
/// their prompts. Its highest bits hold the FeatureKind.
using RequestFeature = std::uint64_t;

enum class FeatureKind : std::uint8_t {
    PromptPart,   ///< shared by the prompts of different requests
    WholeRequest, ///< which its caller may repeat
    Route,        ///< shared by all requests of a route
};

/// @param hash of what the requests have in common; its lowest bits are dropped
RequestFeature makeFeature(FeatureKind kind, std::uint64_t hash);
FeatureKind featureKind(RequestFeature feature);

/// Hash of a server's id and the start time of its process. A process crashes once at most.
using ServerRun = std::uint64_t;

/// What a router knows of a feature that was in flight during crashes, as it tells the others.
struct CrashSuspect
{
    struct Crash
    {
        ServerRun run = 0;
        Duration age{};
        bool resent = false; ///< such a request was sent after an earlier crash was seen
        bool operator==(const Crash &) const = default;
    };

    RequestFeature feature = 0;
    std::vector<Crash> crashes;     ///< since the last answer to a request with the feature
    std::vector<ServerRun> cleared; ///< crashes before such an answer
    /// Requests admitted although the feature was quarantined; of a route, how often it was closed.
    std::uint32_t probes = 0;
    bool operator==(const CrashSuspect &) const = default;
};

} // namespace bilberry::decision

#endif
