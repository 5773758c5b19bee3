#ifndef BILBERRY_DECISION_SLIDINGSUM_H
#define BILBERRY_DECISION_SLIDINGSUM_H

#include "bilberry/base/time.h"

#include <array>
#include <cstdint>

namespace bilberry::decision {

/// Sum of the amounts added during a sliding window, with a resolution of 1/16 of its length.
class SlidingSum
{
public:
    /// @param window length of the window
    explicit SlidingSum(Duration window) : m_step(window / steps) {}

    void add(double amount, TimePoint now)
    {
        advance(now);
        m_stepAmounts[m_currentStep % steps] += amount;
        m_sum += amount;
    }

    /// @return the sum over the window that ends now
    double sum(TimePoint now)
    {
        advance(now);
        return m_sum;
    }

private:
    static constexpr std::uint64_t steps = 16;

    void advance(TimePoint now)
    {
        const auto step = static_cast<std::uint64_t>(now.time_since_epoch() / m_step);
        if (step - m_currentStep >= steps || m_currentStep == 0) {
            m_stepAmounts.fill(0.0);
            m_sum = 0.0;
            m_currentStep = step;
        }
        while (m_currentStep < step) {
            ++m_currentStep;
            m_sum -= m_stepAmounts[m_currentStep % steps];
            m_stepAmounts[m_currentStep % steps] = 0.0;
        }
    }

    Duration m_step;
    std::uint64_t m_currentStep = 0;
    std::array<double, steps> m_stepAmounts{};
    double m_sum = 0.0;
};

} // namespace bilberry::decision

#endif
