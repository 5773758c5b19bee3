#ifndef BILBERRY_DECISION_RETRYBUDGET_H
#define BILBERRY_DECISION_RETRYBUDGET_H

namespace bilberry::decision {

/// Bounds retries to a fraction of the requests, so that failures are not amplified.
class RetryBudget
{
public:
    /// @param fraction retries for each request
    /// @param reserve retries that may be made without requests before
    explicit RetryBudget(double fraction = 0.1, double reserve = 10.0)
        : m_fraction(fraction), m_limit(reserve), m_tokens(reserve)
    {
    }

    /// A first attempt was made.
    void recordRequest()
    {
        m_tokens = m_tokens + m_fraction < m_limit ? m_tokens + m_fraction : m_limit;
    }

    /// @return true when a retry may be made; it is then counted
    bool tryAcquire()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_fraction;
    double m_limit;
    double m_tokens;
};

} // namespace bilberry::decision

#endif
