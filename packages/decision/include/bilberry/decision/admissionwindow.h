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
    void learn(double latencyMs);
    bool recentExceeds(double tolerance) const;

    WindowLimits m_limits;
    double m_size;
    // Logarithms of milliseconds, so that one expensive request among cheap ones weighs little.
    double m_usual = 0.0;  ///< long moving average of the time to the first byte
    double m_recent = 0.0; ///< short moving average
    std::uint32_t m_seen = 0;
    bool m_cold = true;
    bool m_reportedCold = false;
};

} // namespace bilberry::decision

#endif
