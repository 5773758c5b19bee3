#ifndef BILBERRY_DECISION_ADMISSIONWINDOW_H
#define BILBERRY_DECISION_ADMISSIONWINDOW_H

#include "bilberry/base/time.h"

#include <cstdint>

namespace bilberry::decision {

struct WindowLimits
{
    std::uint32_t cold = 1; ///< requests at once in a cold start
    std::uint32_t full = 8; ///< requests at once when warm
    bool operator==(const WindowLimits &) const = default;
};

/// How many requests a backend server may run at once. Starts at the cold limit, grows with each
/// good completion, and falls back at once when the server turns cold.
class AdmissionWindow
{
public:
    explicit AdmissionWindow(WindowLimits limits);

    /// Takes new limits of the configuration into account.
    void setLimits(WindowLimits limits);

    /// A request ended well.
    /// @param firstByte time from start to the first byte of the answer
    void completed(Duration firstByte);

    /// The server restarted, reports a cold start, or failed.
    void turnedCold();

    /// @param cold what the server reports of itself
    void reported(bool cold);

    /// @return requests that may run at once, at least 1
    std::uint32_t size() const;
    bool cold() const { return m_cold; }

private:
    WindowLimits m_limits;
    double m_size;
    double m_bestFirstByteMs = 0.0;   ///< 0: unknown
    double m_recentFirstByteMs = 0.0; ///< moving average
    bool m_cold = true;
    bool m_reportedCold = false;
};

} // namespace bilberry::decision

#endif
