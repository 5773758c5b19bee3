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

/// Good and bad requests of a span of time.
struct BurnCount
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;
    bool operator==(const BurnCount &) const = default;
};

/// @param count requests of a window
/// @param goodFraction promised share of good requests, below 1
/// @return burn rate: 1 spends the error budget exactly as fast as promised
double burnRate(const BurnCount &count, double goodFraction);

/// Windows of the burn report, in seconds.
constexpr std::array<int, 4> burnWindowSeconds = {300, 1800, 3600, 21600};

/// Counts good and bad requests per customer and pool over sliding windows.
class BurnMeter
{
public:
    void record(const ServiceKey &key, bool good, TimePoint now);

    /// @return the count over the last `window`
    BurnCount countOver(const ServiceKey &key, Duration window, TimePoint now) const;

    /// @return customers and pools with requests in the longest window
    std::vector<ServiceKey> keys() const;

    /// Forgets what is older than the longest window.
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
