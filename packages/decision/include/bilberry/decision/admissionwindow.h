#ifndef BILBERRY_DECISION_ADMISSIONWINDOW_H
#define BILBERRY_DECISION_ADMISSIONWINDOW_H

#include "bilberry/base/time.h"

#include <cstdint>

namespace bilberry::decision {

/// Limits of the concurrent requests on a server.
struct WindowLimits
{
    std::uint32_t cold = 1; ///< during a cold start
    std::uint32_t full = 8; ///< when warm
    bool operator==(const WindowLimits &) const = default;
};

/// How an answer arrived, which determines what the time to its first byte measures.
enum class AnswerKind {
    Streamed, ///< in parts over time: the first byte doesn't depend on the length of the request
    Whole,    ///< in one piece: the first byte comes at the end and varies with the request's cost
};

/// Concurrency limit of a backend server. Starts at the cold limit, grows with each good
/// completion up to the full limit, and returns to the cold limit as soon as the server is cold.
class AdmissionWindow
{
public:
    explicit AdmissionWindow(WindowLimits limits);

    /// Applies new limits from the configuration.
    void setLimits(WindowLimits limits);

    /// Records a request that completed successfully.
    /// @param firstByte time from the start to the first byte of the answer
    void recordCompletion(Duration firstByte, AnswerKind kind = AnswerKind::Streamed);

    /// Returns to the cold limit: the server restarted, failed or reports a cold start.
    void resetToCold();

    /// @param cold cold state as reported by the server; the window does not grow while it is true
    void setReportedCold(bool cold);

    /// @return maximum number of concurrent requests, at least 1
    std::uint32_t size() const;
    bool cold() const { return m_cold; }

private:
    /// Short-term and long-term moving averages of the logarithm of the latency. Costs of requests
    /// vary by factors: a rare long request shifts the mean of the latency, but hardly that of its
    /// logarithm.
    struct LatencyTrend
    {
        double shortTerm = 0.0;
        double longTerm = 0.0;
        std::uint64_t samples = 0;

        void add(double latencyMs, double shortTermWeight);
        double rise() const { return shortTerm - longTerm; }
    };

    WindowLimits m_limits;
    double m_size;
    LatencyTrend m_streamed;
    LatencyTrend m_whole;
    bool m_cold = true;
    bool m_reportedCold = false;
};

} // namespace bilberry::decision

#endif
