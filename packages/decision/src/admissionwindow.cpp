#include "bilberry/decision/admissionwindow.h"

#include <algorithm>
#include <cmath>

namespace bilberry::decision {

namespace {

/// The first byte of a streamed answer depends less on the request than that of a whole one, so it
/// gets a larger weight.
constexpr double streamedWeight = 0.4;
constexpr double wholeWeight = 0.2;
constexpr double longTermWeight = 0.01;
/// Maximum rise of the logarithmic latency at which the window grows: a factor of two.
const double maxGrowthRise = std::log(2.0);
/// Rise of the logarithmic latency above which a server is considered cold: a factor of eight.
const double coldRise = std::log(8.0);
/// Added to each latency, so that jitter of very short ones is not taken for a rise.
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

void AdmissionWindow::LatencyTrend::add(double latencyMs, double shortTermWeight)
{
    const double value = std::log(latencyMs + noiseMs);
    ++samples;
    const double start = 1.0 / static_cast<double>(samples);
    shortTerm += std::max(shortTermWeight, start) * (value - shortTerm);
    longTerm += std::max(longTermWeight, start) * (value - longTerm);
}

void AdmissionWindow::recordCompletion(Duration firstByte, AnswerKind kind)
{
    const bool streamed = kind == AnswerKind::Streamed;
    LatencyTrend &trend = streamed ? m_streamed : m_whole;
    trend.add(toMilliseconds(firstByte), streamed ? streamedWeight : wholeWeight);
    if (m_reportedCold)
        return;
    if (trend.rise() > coldRise) {
        resetToCold();
        return;
    }
    if (trend.rise() > maxGrowthRise)
        return;
    m_size = std::min<double>(m_limits.full, m_size + 1.0 / m_size);
    m_cold = size() <= m_limits.cold && m_limits.cold < m_limits.full;
}

void AdmissionWindow::resetToCold()
{
    m_cold = true;
    m_size = m_limits.cold;
    m_streamed.shortTerm = m_streamed.longTerm;
    m_whole.shortTerm = m_whole.longTerm;
}

void AdmissionWindow::setReportedCold(bool cold)
{
    if (cold)
        resetToCold();
    m_reportedCold = cold;
}

std::uint32_t AdmissionWindow::size() const
{
    return std::max(1U, static_cast<std::uint32_t>(m_size));
}

} // namespace bilberry::decision
