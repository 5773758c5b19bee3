#ifndef BILBERRY_DECISION_OVERLOADDETECTOR_H
#define BILBERRY_DECISION_OVERLOADDETECTOR_H

#include "bilberry/base/time.h"

namespace bilberry::decision {

struct OverloadSettings
{
    /// Mean lag above which a router is overloaded. The shortest latency objectives of requests
    /// to services without an engine are 100 to 150 ms.
    Duration enterLag = std::chrono::milliseconds(100);
    /// Mean lag below which an overloaded router has recovered.
    Duration leaveLag = std::chrono::milliseconds(25);
    /// Time constant of the moving average.
    Duration timeConstant = std::chrono::seconds(1);
    /// Upper bound of a measurement, so that a single pause of the whole VM doesn't count as an
    /// overload.
    Duration maxLag = std::chrono::milliseconds(500);
    bool operator==(const OverloadSettings &) const = default;
};

/// Detects from the lag of timers that a process gets too little processor time for its load.
class OverloadDetector
{
public:
    explicit OverloadDetector(OverloadSettings settings) : m_settings(settings) {}

    /// @param lag time between a timer's expiry and the call of its handler
    /// @param period time between two measurements
    void addMeasurement(Duration lag, Duration period);

    bool isOverloaded() const { return m_overloaded; }
    /// @return mean lag, in milliseconds
    double meanLagMs() const { return m_meanLagMs; }

private:
    OverloadSettings m_settings;
    double m_meanLagMs = 0.0;
    bool m_overloaded = false;
};

} // namespace bilberry::decision

#endif
