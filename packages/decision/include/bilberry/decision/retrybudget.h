#ifndef BILBERRY_DECISION_RETRYBUDGET_H
#define BILBERRY_DECISION_RETRYBUDGET_H

namespace bilberry::decision {

/// Token bucket that limits retries to a fraction of the requests, so that failures don't amplify
/// the load.
class RetryBudget
{
public:
    /// @param ratio retries allowed per request
    /// @param reserve number of retries allowed initially, and maximum that accumulates
    explicit RetryBudget(double ratio = 0.1, double reserve = 10.0)
        : m_ratio(ratio), m_maxTokens(reserve), m_tokens(reserve)
    {
    }

    /// Records the first attempt of a request.
    void recordRequest()
    {
        m_tokens = m_tokens + m_ratio < m_maxTokens ? m_tokens + m_ratio : m_maxTokens;
    }

    /// Consumes one retry from the budget.
    /// @return false when the budget is exhausted and the retry must not be made
    bool tryAcquire()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_ratio;
    double m_maxTokens;
    double m_tokens;
};

} // namespace bilberry::decision

#endif
