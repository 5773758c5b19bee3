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

/// Origin of a report: one incarnation of a router.
struct ReportOrigin
{
    RouterId router;
    Incarnation incarnation = 0;
    auto operator<=>(const ReportOrigin &) const = default;
};

struct AggregatorSettings
{
    /// Time after which a new owner of a customer returns totals: by then all routers have
    /// reported.
    Duration warmupTime = std::chrono::milliseconds(1000);
    /// Silence after which the counter of an earlier incarnation is added to the retired sum, once
    /// its router reports in a later one. A router that merely has nothing to report keeps its
    /// counter: it is cumulative and would be counted twice when it reports again.
    Duration retireIncarnationAfter = std::chrono::seconds(10);
    /// Silence of all routers after which a customer is removed.
    Duration removeCustomerAfter = std::chrono::hours(1);
    bool operator==(const AggregatorSettings &) const = default;
};

/// Sums the cumulative counters of all routers for the customers that this router owns.
class ServiceAggregator
{
public:
    explicit ServiceAggregator(AggregatorSettings settings) : m_settings(settings) {}

    /// Stores a reported counter, unless the origin already sent one with this or a larger
    /// sequence number.
    void applyReport(const ReportOrigin &origin, std::uint64_t sequence,
                     const LocalServiceCounter &counter, TimePoint now);

    /// @param receiver origin whose counter is excluded
    /// @return the sum of the other origins' counters; nothing for an unknown key and during the
    ///         warm-up time
    std::optional<RemoteService> totalFor(const ServiceKey &key, const ReportOrigin &receiver,
                                          TimePoint now) const;

    /// Retires ended incarnations and removes customers without reports.
    void expire(TimePoint now);

    /// Removes all keys that this router no longer owns.
    /// @param owns predicate on ServiceKey
    template <typename Owns>
    void keepOnly(const Owns &owns)
    {
        std::erase_if(m_accounts, [&](const auto &entry) { return !owns(entry.first); });
    }

    /// @return number of keys with counters
    std::size_t size() const { return m_accounts.size(); }

private:
    struct Counter
    {
        std::uint64_t sequence = 0;
        CounterExtrapolator extrapolator;
    };
    struct Account
    {
        TimePoint createdAt{};
        double retiredMs = 0.0; ///< normalised milliseconds of retired incarnations
        double offset = 0.0;
        std::map<ReportOrigin, Counter> counters;
    };

    void retireEndedIncarnations(Account &account, TimePoint now) const;

    AggregatorSettings m_settings;
    std::map<ServiceKey, Account> m_accounts;
};

} // namespace bilberry::decision

#endif
