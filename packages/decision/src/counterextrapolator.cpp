#include "bilberry/decision/counterextrapolator.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// Long enough that a single dispatch or correction between two reports is not taken for a
/// sustained rate.
constexpr double rateTimeConstantMs = 1000.0;
/// Maximum age up to which a value is extrapolated.
constexpr Duration maxExtrapolation = std::chrono::seconds(1);

/// @param rate previous rate, per second
/// @param change of the value during the span
/// @return time-weighted exponential moving average of the rate per second, at least 0
double smoothedRate(double rate, double change, Duration span)
{
    const double spanMs = toMilliseconds(span);
    if (spanMs <= 0.0)
        return rate + std::max(0.0, change * 1000.0 / rateTimeConstantMs);
    const double decay = std::exp(-spanMs / rateTimeConstantMs);
    return std::max(0.0, decay * rate + (1.0 - decay) * change * 1000.0 / spanMs);
}

} // namespace

void CounterExtrapolator::update(double value, TimePoint now)
{
    if (m_hasValue)
        m_ratePerSecond = smoothedRate(m_ratePerSecond, value - m_value, now - m_updatedAt);
    m_value = value;
    m_updatedAt = now;
    m_hasValue = true;
}

double CounterExtrapolator::valueAt(TimePoint now) const
{
    const Duration age = std::clamp(now - m_updatedAt, Duration{}, maxExtrapolation);
    return m_value + m_ratePerSecond * toMilliseconds(age) / 1000.0;
}

double CounterExtrapolator::rateAt(TimePoint now) const
{
    return now - m_updatedAt < maxExtrapolation ? m_ratePerSecond : 0.0;
}

} // namespace bilberry::decision
