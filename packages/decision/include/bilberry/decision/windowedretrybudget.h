#ifndef BILBERRY_DECISION_WINDOWEDRETRYBUDGET_H
#define BILBERRY_DECISION_WINDOWEDRETRYBUDGET_H

#include "bilberry/decision/slidingsum.h"

namespace bilberry::decision {

struct WindowedRetryBudgetSettings
{
    double ratio = 0.2;   ///< retries for each request of the window
    double reserve = 3.0; ///< retries of one router without requests
    Duration window = std::chrono::seconds(10);
    bool operator==(const WindowedRetryBudgetSettings &) const = default;
};

/// Bounds a router's retries to one pool by its requests of the same window. The bounds of all
/// routers add up to one of the same form for the fleet, so that they need no exchange.
class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(WindowedRetryBudgetSettings settings)
        : m_settings(settings), m_requests(settings.window), m_retries(settings.window)
    {
    }

    /// A caller's request for the pool arrived.
    void recordRequest(TimePoint now) { m_requests.add(1.0, now); }

    /// @return true when a request may be sent once more; it is then counted
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
