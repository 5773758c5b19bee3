#include "bilberry/decision/admissionwindow.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// The first byte of a streamed answer says more of the server than that of a whole one.
constexpr double streamedWeight = 0.4;
constexpr double wholeWeight = 0.2;
constexpr double usualWeight = 0.01;
/// Rise of the logarithm up to which the window grows: a factor of two.
const double growRise = std::log(2.0);
/// Rise of the logarithm that means a server turned cold: a factor of eight.
const double coldRise = std::log(8.0);
/// Added to each latency, so that jitter of very short ones passes for no rise.
constexpr double noiseMs = 20.0;

} // namespace

AdmissionWindow::AdmissionWindow(WindowLimits limits) : m_limits(limits), m_size(limits.cold) {}

void AdmissionWindow::setLimits(WindowLimits limits)
{
    m_limits = limits;
    const double lowest = limits.cold;
    const double highest = limits.full;
    m_size = m_cold ? lowest : std::clamp(m_size, lowest, highest);
}

void AdmissionWindow::Trend::add(double latencyMs, double recentWeight)
{
    const double value = std::log(latencyMs + noiseMs);
    ++samples;
    const double start = 1.0 / static_cast<double>(samples);
    recent += std::max(recentWeight, start) * (value - recent);
    usual += std::max(usualWeight, start) * (value - usual);
}

void AdmissionWindow::completed(Duration firstByte, AnswerKind kind)
{
    const bool streamed = kind == AnswerKind::Streamed;
    Trend &trend = streamed ? m_streamed : m_whole;
    trend.add(toMilliseconds(firstByte), streamed ? streamedWeight : wholeWeight);
    if (m_reportedCold)
        return;
    if (trend.rise() > coldRise) {
        turnedCold();
        return;
    }
    if (trend.rise() > growRise)
        return;
    m_size = std::min<double>(m_limits.full, m_size + 1.0 / m_size);
    m_cold = size() <= m_limits.cold && m_limits.cold < m_limits.full;
}

void AdmissionWindow::turnedCold()
{
    m_cold = true;
    m_size = m_limits.cold;
    m_streamed.recent = m_streamed.usual;
    m_whole.recent = m_whole.usual;
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
