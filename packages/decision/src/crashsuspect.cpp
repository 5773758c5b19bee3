#include "bilberry/decision/crashsuspect.h"

namespace bilberry::decision {

namespace {

constexpr unsigned kindBits = 2;
constexpr unsigned hashBits = 64 - kindBits;

} // namespace

RequestFeature makeFeature(FeatureKind kind, std::uint64_t hash)
{
    return (static_cast<std::uint64_t>(kind) << hashBits) | (hash >> kindBits);
}

FeatureKind featureKind(RequestFeature feature)
{
    switch (feature >> hashBits) {
    case static_cast<std::uint64_t>(FeatureKind::WholeRequest):
        return FeatureKind::WholeRequest;
    case static_cast<std::uint64_t>(FeatureKind::Route):
        return FeatureKind::Route;
    default:
        return FeatureKind::PromptPart;
    }
}

} // namespace bilberry::decision
