#ifndef BILBERRY_DECISION_OVERLOADDETECTOR_H
#define BILBERRY_DECISION_OVERLOADDETECTOR_H

#include "bilberry/base/time.h"

namespace bilberry::decision {

struct OverloadSettings
{
    /// Mean lag beyond which a router is overloaded: the shortest latency objectives of plain
    /// requests are 100 to 150 ms.
    Duration enterLag = std::chrono::milliseconds(100);
    /// Mean lag below which it has recovered.
    Duration leaveLag = std::chrono::milliseconds(25);
    /// Time constant of the mean.
    Duration window = std::chrono::seconds(1);
    /// A longer lag counts as this one: a single pause of the whole VM is no overload.
    Duration maxLag = std::chrono::milliseconds(500);
    bool operator==(const OverloadSettings &) const = default;
};

/// Tells from the lateness of timers whether a process gets too little processor time for its work.
class OverloadDetector
{
public:
    explicit OverloadDetector(OverloadSettings settings) : m_settings(settings) {}

    /// @param lag time between a timer's expiry and its handler
    /// @param period time between two measurements
    void addMeasurement(Duration lag, Duration period);

    bool isOverloaded() const { return m_overloaded; }
    /// @return mean lag, in milliseconds
    double meanLagMs() const { return m_meanMs; }

private:
    OverloadSettings m_settings;
    double m_meanMs = 0.0;
    bool m_overloaded = false;
};

} // namespace bilberry::decision

#endif
