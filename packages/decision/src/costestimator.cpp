#include "bilberry/decision/costestimator.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

constexpr double initialEstimateMs = 100.0;
constexpr double smoothingFactor = 0.2;
/// A hint is limited to these multiples of the mean.
constexpr double minHintFactor = 0.8;
constexpr double maxHintFactor = 1.25;

} // namespace

CostFunction makeCostFunction(const BackendPool &pool)
{
    if (pool.costUnit == CostUnit::Tokens) {
        return [tokenCost = pool.tokenCost](const RequestUsage &usage) {
            return tokenCost * static_cast<double>(usage.events);
        };
    }
    return [](const RequestUsage &usage) { return toMilliseconds(usage.slotTime); };
}

double CostEstimator::estimate(const ServiceKey &key, std::optional<double> hint) const
{
    const auto found = m_means.find(key);
    const double mean = found == m_means.end() ? initialEstimateMs : found->second;
    if (!hint)
        return mean;
    return std::clamp(*hint, minHintFactor * mean, maxHintFactor * mean);
}

void CostEstimator::addSample(const ServiceKey &key, double cost)
{
    const auto [entry, isNew] = m_means.emplace(key, cost);
    if (!isNew)
        entry->second += smoothingFactor * (cost - entry->second);
}

} // namespace bilberry::decision
