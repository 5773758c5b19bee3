#include "bilberry/decision/burnmeter.h"

namespace bilberry::decision {

namespace {

constexpr Duration bucketLength = std::chrono::seconds(10);
constexpr Duration longestWindow = std::chrono::seconds(burnWindowSeconds.back());

} // namespace

double burnRate(const BurnCount &count, double goodFraction)
{
    const auto total = static_cast<double>(count.good + count.bad);
    if (total == 0.0)
        return 0.0;
    return static_cast<double>(count.bad) / total / (1.0 - goodFraction);
}

void BurnMeter::record(const ServiceKey &key, bool good, TimePoint now)
{
    std::deque<Bucket> &buckets = m_buckets[key];
    if (buckets.empty() || now - buckets.back().start >= bucketLength)
        buckets.push_back({now, {}});
    BurnCount &current = buckets.back().count;
    ++(good ? current.good : current.bad);
}

BurnCount BurnMeter::countOver(const ServiceKey &key, Duration window, TimePoint now) const
{
    BurnCount sum;
    const auto found = m_buckets.find(key);
    if (found == m_buckets.end())
        return sum;
    for (const Bucket &bucket : found->second) {
        if (now - bucket.start > window)
            continue;
        sum.good += bucket.count.good;
        sum.bad += bucket.count.bad;
    }
    return sum;
}

std::vector<ServiceKey> BurnMeter::keys() const
{
    std::vector<ServiceKey> result;
    for (const auto &[key, buckets] : m_buckets)
        result.push_back(key);
    return result;
}

void BurnMeter::expire(TimePoint now)
{
    for (auto &[key, buckets] : m_buckets) {
        while (!buckets.empty() && now - buckets.front().start > longestWindow)
            buckets.pop_front();
    }
    std::erase_if(m_buckets, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace bilberry::decision
