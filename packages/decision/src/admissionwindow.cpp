#include "bilberry/decision/admissionwindow.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

constexpr double recentWeight = 0.2;
/// Low, so that the usual latency follows the mix of requests and not a cold start.
constexpr double usualWeight = 0.005;
/// Latency up to this multiple of the usual lets the window grow.
constexpr double growTolerance = 2.0;
/// Latency above this multiple of the usual means that the server turned cold.
constexpr double coldTolerance = 5.0;
/// Differences below this are noise, whatever their ratio.
constexpr double noiseMs = 25.0;
constexpr double shortestMs = 1.0;

} // namespace

AdmissionWindow::AdmissionWindow(WindowLimits limits) : m_limits(limits), m_size(limits.cold) {}

void AdmissionWindow::setLimits(WindowLimits limits)
{
    m_limits = limits;
    const double lowest = limits.cold;
    const double highest = limits.full;
    m_size = m_cold ? lowest : std::clamp(m_size, lowest, highest);
}

void AdmissionWindow::completed(Duration firstByte)
{
    learn(toMilliseconds(firstByte));
    if (m_reportedCold)
        return;
    if (recentExceeds(coldTolerance)) {
        turnedCold();
        return;
    }
    if (recentExceeds(growTolerance))
        return;
    m_size = std::min<double>(m_limits.full, m_size + 1.0 / m_size);
    m_cold = size() <= m_limits.cold && m_limits.cold < m_limits.full;
}

void AdmissionWindow::learn(double latencyMs)
{
    const double value = std::log(std::max(latencyMs, shortestMs));
    ++m_seen;
    m_usual += std::max(usualWeight, 1.0 / m_seen) * (value - m_usual);
    m_recent = m_seen == 1 ? value : m_recent + recentWeight * (value - m_recent);
}

bool AdmissionWindow::recentExceeds(double tolerance) const
{
    return std::exp(m_recent) > tolerance * std::exp(m_usual) + noiseMs;
}

void AdmissionWindow::turnedCold()
{
    m_cold = true;
    m_size = m_limits.cold;
    m_recent = m_usual;
}

void AdmissionWindow::reported(bool cold)
{
    if (cold)
        turnedCold();
    m_reportedCold = cold;
}

std::uint32_t AdmissionWindow::size() const
{
    return std::max(1U, static_cast<std::uint32_t>(m_size));
}

} // namespace bilberry::decision
