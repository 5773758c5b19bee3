#ifndef BILBERRY_DECISION_WINDOWEDRETRYBUDGET_H
#define BILBERRY_DECISION_WINDOWEDRETRYBUDGET_H

#include "bilberry/decision/slidingsum.h"

namespace bilberry::decision {

struct WindowedRetryBudgetSettings
{
    double ratio = 0.2;   ///< retries allowed per request in the window
    double reserve = 3.0; ///< further retries that one router may always make
    Duration window = std::chrono::seconds(10);
    bool operator==(const WindowedRetryBudgetSettings &) const = default;
};

/// Limits a router's retries to one pool by its requests in the same sliding window. The limits of
/// all routers add up to a limit of the same form for the fleet, so the routers needn't exchange
/// them.
class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(WindowedRetryBudgetSettings settings)
        : m_settings(settings), m_requests(settings.window), m_retries(settings.window)
    {
    }

    /// Records that a caller's request for the pool arrived.
    void recordRequest(TimePoint now) { m_requests.add(1.0, now); }

    /// Consumes one retry from the budget.
    /// @return false when the budget is exhausted and the request must not be sent again
    bool tryAcquire(TimePoint now)
    {
        const double limit = m_settings.ratio * m_requests.sum(now) + m_settings.reserve;
        if (m_retries.sum(now) + 1.0 > limit)
            return false;
        m_retries.add(1.0, now);
        return true;
    }

private:
    WindowedRetryBudgetSettings m_settings;
    SlidingSum m_requests;
    SlidingSum m_retries;
};

} // namespace bilberry::decision

#endif
