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
    double bytesPerSecond = 2000.0;   ///< budget for reports and the answers they cause
    std::size_t bytesPerReport = 80;  ///< fixed cost of a report and its answer
    std::size_t bytesPerCounter = 80; ///< cost of one counter and its total
    Duration shortestGap = std::chrono::milliseconds(100); ///< between two reports
    Duration longestSilence = std::chrono::seconds(1);     ///< of a customer with waiting work
    /// Change that is worth a report, normalised milliseconds, while the customer waits.
    double quantumMs = 100.0;
    /// Factor on the quantum while it doesn't wait: its service matters when it waits again.
    double idleFactor = 10.0;
    bool operator==(const ReportSettings &) const = default;
};

/// Tells whether this router aggregates a customer itself, so that a report costs no bytes.
using LocalAggregationPredicate = std::function<bool(const ServiceKey &)>;

/// Decides which counters are reported now: those that changed by a quantum, the largest change
/// first, within a byte budget.
class ReportPlanner
{
public:
    explicit ReportPlanner(ReportSettings settings);

    /// @param own the ledger's counters
    /// @param isLocal which of them cost nothing
    /// @return the counters to report now
    std::vector<LocalServiceCounter> plan(const std::vector<LocalServiceCounter> &own,
                                          const LocalAggregationPredicate &isLocal, TimePoint now);

    /// Forgets what was reported, so that a new aggregator hears everything.
    void markUnreported(const ServiceKey &key) { m_reported.erase(key); }

private:
    struct Reported
    {
        CounterExtrapolator reckoning;
        double offset = 0.0;
    };
    struct Candidate
    {
        const LocalServiceCounter *service = nullptr;
        double change = 0.0;
    };

    double changeOf(const LocalServiceCounter &service, TimePoint now) const;
    void noteReported(const LocalServiceCounter &service, TimePoint now);
    void refill(TimePoint now);

    ReportSettings m_settings;
    double m_tokens;
    TimePoint m_refilled{};
    TimePoint m_lastReport{};
    std::map<ServiceKey, Reported> m_reported;
};

} // namespace bilberry::decision

#endif
