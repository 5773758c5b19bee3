#ifndef BILBERRY_DECISION_REPORTPLANNER_H
#define BILBERRY_DECISION_REPORTPLANNER_H

#include "bilberry/decision/counterextrapolator.h"
#include "bilberry/decision/virtualtimetracker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bilberry::decision {

struct ReportSettings
{
    double bytesPerSecond = 2000.0;   ///< budget for reports and their answers
    std::size_t bytesPerReport = 80;  ///< fixed cost of a report and its answer
    std::size_t bytesPerCounter = 80; ///< cost of one counter and its total
    /// Minimum interval between two reports of this router.
    Duration minInterval = std::chrono::milliseconds(100);
    /// Maximum interval between two reports of a backlogged customer.
    Duration maxBackloggedInterval = std::chrono::seconds(1);
    /// Minimum change that is reported for a backlogged customer, normalised milliseconds.
    double quantumMs = 100.0;
    /// Factor on the quantum for an idle customer, whose service matters only when it is backlogged
    /// again.
    double idleQuantumFactor = 10.0;
    bool operator==(const ReportSettings &) const = default;
};

/// Returns whether this router aggregates the customer itself, so that a report costs no bytes.
using LocalAggregationPredicate = std::function<bool(const ServiceKey &)>;

/// Selects the counters to report: those that changed by at least a quantum, the largest change
/// first, within a byte budget.
class ReportPlanner
{
public:
    explicit ReportPlanner(ReportSettings settings);

    /// Selects counters and records them as reported.
    /// @param counters all counters of this router
    /// @param isLocal counters that cost no bytes
    /// @return the counters to report now
    std::vector<LocalServiceCounter> plan(const std::vector<LocalServiceCounter> &counters,
                                          const LocalAggregationPredicate &isLocal, TimePoint now);

    /// Discards the reported state of a customer, so that its counter is reported to a new
    /// aggregator.
    void markUnreported(const ServiceKey &key) { m_reported.erase(key); }

private:
    struct ReportedCounter
    {
        CounterExtrapolator extrapolator;
        double offset = 0.0;
    };
    struct Candidate
    {
        const LocalServiceCounter *counter = nullptr;
        double change = 0.0;
    };

    /// @return change since the last report, comparable with the quantum
    double weightedChange(const LocalServiceCounter &counter, TimePoint now) const;
    void markReported(const LocalServiceCounter &counter, TimePoint now);
    void refill(TimePoint now);

    ReportSettings m_settings;
    double m_availableBytes;
    TimePoint m_lastRefill{};
    TimePoint m_lastReport{};
    std::map<ServiceKey, ReportedCounter> m_reported;
};

} // namespace bilberry::decision

#endif
