#include "bilberry/decision/overloaddetector.h"

#include <algorithm>

namespace bilberry::decision {

void OverloadDetector::addMeasurement(Duration lag, Duration period)
{
    const double lagMs = toMilliseconds(std::clamp(lag, Duration::zero(), m_settings.maxLag));
    const double weight
            = std::min(1.0, toMilliseconds(period) / toMilliseconds(m_settings.timeConstant));
    m_meanLagMs += weight * (lagMs - m_meanLagMs);
    const Duration limit = m_overloaded ? m_settings.leaveLag : m_settings.enterLag;
    m_overloaded = m_meanLagMs > toMilliseconds(limit);
}

} // namespace bilberry::decision
