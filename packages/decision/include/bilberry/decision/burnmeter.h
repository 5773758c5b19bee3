#ifndef BILBERRY_DECISION_BURNMETER_H
#define BILBERRY_DECISION_BURNMETER_H

#include "bilberry/base/time.h"
#include "bilberry/decision/virtualtimetracker.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace bilberry::decision {

/// Numbers of good and bad requests in a time window.
struct BurnCount
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    bool operator==(const BurnCount &) const = default;
};

/// @param goodFraction objective for the fraction of good requests, below 1
/// @return burn rate of the error budget: 1 spends it exactly as fast as the objective
///         allows; 0 without requests
double burnRate(const BurnCount &count, double goodFraction);

/// Windows of the burn report, in seconds, ascending.
constexpr std::array<int, 4> burnWindowSeconds = {300, 1800, 3600, 21600};

/// Counts good and bad requests per customer and pool over sliding windows.
class BurnMeter
{
public:
    /// Counts a finished request.
    void record(const ServiceKey &key, bool good, TimePoint now);

    /// @return number of requests in the last `window`, with a resolution of 10 s
    BurnCount countOver(const ServiceKey &key, Duration window, TimePoint now) const;

    /// @return keys that have requests; expire() removes those without any in the longest window
    std::vector<ServiceKey> keys() const;

    /// Removes counts that are older than the longest window.
    void expire(TimePoint now);

private:
    struct Bucket
    {
        TimePoint start{};
        BurnCount count;
    };

    std::map<ServiceKey, std::deque<Bucket>> m_buckets;
};

} // namespace bilberry::decision

#endif
