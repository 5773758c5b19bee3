#ifndef BILBERRY_DECISION_SERVICEAGGREGATOR_H
#define BILBERRY_DECISION_SERVICEAGGREGATOR_H

#include "bilberry/decision/counterextrapolator.h"
#include "bilberry/decision/virtualtimetracker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bilberry::decision {

/// Origin of a report: one life of one router.
struct ReportOrigin
{
    RouterId router;
    Incarnation incarnation = 0;
    auto operator<=>(const ReportOrigin &) const = default;
};

struct AggregatorSettings
{
    /// A new owner of a customer answers only after this time, when all routers have reported.
    Duration settleTime = std::chrono::milliseconds(1000);
    /// The counter of a life that is silent for longer becomes part of the retired sum when its
    /// router reports in another life. A router that merely has nothing to report keeps its
    /// counter: it is cumulative and would be counted twice when it reports again.
    Duration retireAfter = std::chrono::seconds(10);
    /// A customer without any report for so long is forgotten.
    Duration forgetAfter = std::chrono::hours(1);
    bool operator==(const AggregatorSettings &) const = default;
};

/// Sums the cumulative counters of all routers for the customers that this router owns.
class ServiceAggregator
{
public:
    explicit ServiceAggregator(AggregatorSettings settings) : m_settings(settings) {}

    /// Takes in one counter. The largest sequence of an origin holds.
    void applyReport(const ReportOrigin &origin, std::uint64_t sequence,
                     const LocalServiceCounter &counter, TimePoint now);

    /// @param receiver whose own counters are left out
    /// @return the total for the receiver, or nothing while this owner settles
    std::optional<RemoteService> totalFor(const ServiceKey &key, const ReportOrigin &receiver,
                                          TimePoint now) const;

    /// Retires ended lives and forgets customers without reports.
    void expire(TimePoint now);

    /// Forgets all keys that this router no longer owns.
    template <typename Owns>
    void keepOnly(const Owns &owns)
    {
        std::erase_if(m_keys, [&](const auto &entry) { return !owns(entry.first); });
    }

    std::size_t size() const { return m_keys.size(); }

private:
    struct Counter
    {
        std::uint64_t sequence = 0;
        CounterExtrapolator reckoning;
    };
    struct Key
    {
        TimePoint since{};
        double retired = 0.0;
        double offset = 0.0;
        std::map<ReportOrigin, Counter> counters;
    };

    void retireEndedLives(Key &key, TimePoint now) const;

    AggregatorSettings m_settings;
    std::map<ServiceKey, Key> m_keys;
};

} // namespace bilberry::decision

#endif
