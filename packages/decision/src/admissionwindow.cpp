#include "bilberry/decision/admissionwindow.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

constexpr double averageWeight = 0.2;
/// Latency up to this multiple of the best seen lets the window grow.
constexpr double growTolerance = 2.0;
/// Latency above this multiple of the best seen means that the server turned cold.
constexpr double coldTolerance = 8.0;
/// Differences below this are noise, whatever their ratio.
constexpr double noiseMs = 50.0;
/// The best latency seen is forgotten slowly, so that it follows a change of load.
constexpr double bestDrift = 1.001;

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
    const double latency = toMilliseconds(firstByte);
    if (m_bestFirstByteMs == 0.0) {
        m_bestFirstByteMs = latency;
        m_recentFirstByteMs = latency;
    }
    m_bestFirstByteMs = std::min(m_bestFirstByteMs * bestDrift, latency);
    m_recentFirstByteMs += averageWeight * (latency - m_recentFirstByteMs);
    if (m_reportedCold)
        return;
    if (m_recentFirstByteMs > coldTolerance * m_bestFirstByteMs + noiseMs) {
        turnedCold();
        return;
    }
    if (m_recentFirstByteMs > growTolerance * m_bestFirstByteMs + noiseMs)
        return;
    m_size = std::min<double>(m_limits.full, m_size + 1.0 / m_size);
    m_cold = size() <= m_limits.cold && m_limits.cold < m_limits.full;
}

void AdmissionWindow::turnedCold()
{
    m_cold = true;
    m_size = m_limits.cold;
    m_recentFirstByteMs = m_bestFirstByteMs;
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
