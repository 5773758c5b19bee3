#include "bilberry/decision/counterextrapolator.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// A single dispatch or correction between two reports must not pass for a lasting rate.
constexpr double rateTimeConstantMs = 1000.0;
/// The longest time for which a value is extrapolated.
constexpr Duration horizon = std::chrono::seconds(1);

/// @param rate so far, a second
/// @return exponentially weighted mean, weighted by time
double smoothedRate(double rate, double change, Duration span)
{
    const double spanMs = toMilliseconds(span);
    if (spanMs <= 0.0)
        return rate + std::max(0.0, change * 1000.0 / rateTimeConstantMs);
    const double kept = std::exp(-spanMs / rateTimeConstantMs);
    return std::max(0.0, kept * rate + (1.0 - kept) * change * 1000.0 / spanMs);
}

} // namespace

void CounterExtrapolator::report(double value, TimePoint now)
{
    if (m_known)
        m_rate = smoothedRate(m_rate, value - m_value, now - m_at);
    m_value = value;
    m_at = now;
    m_known = true;
}

double CounterExtrapolator::expected(TimePoint now) const
{
    const Duration age = std::clamp(now - m_at, Duration{}, horizon);
    return m_value + m_rate * toMilliseconds(age) / 1000.0;
}

double CounterExtrapolator::rate(TimePoint now) const
{
    return now - m_at < horizon ? m_rate : 0.0;
}

} // namespace bilberry::decision
