#ifndef BILBERRY_DECISION_SLIDINGSUM_H
#define BILBERRY_DECISION_SLIDINGSUM_H

#include "bilberry/base/time.h"

#include <array>
#include <cstdint>

namespace bilberry::decision {

/// Sum of what was added during the newest window, in steps of a sixteenth of it.
class SlidingSum
{
public:
    /// @param window length of the window
    explicit SlidingSum(Duration window) : m_step(window / steps) {}

    void add(double amount, TimePoint now)
    {
        advance(now);
        m_amounts[m_current % steps] += amount;
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
        if (step - m_current >= steps || m_current == 0) {
            m_amounts.fill(0.0);
            m_sum = 0.0;
            m_current = step;
        }
        while (m_current < step) {
            ++m_current;
            m_sum -= m_amounts[m_current % steps];
            m_amounts[m_current % steps] = 0.0;
        }
    }

    Duration m_step;
    std::uint64_t m_current = 0;
    std::array<double, steps> m_amounts{};
    double m_sum = 0.0;
};

} // namespace bilberry::decision

#endif
