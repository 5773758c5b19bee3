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

/// How an answer arrived; tells what its first byte says of the server.
enum class AnswerKind {
    Streamed, ///< in parts over time: the first byte is independent of the request's length
    Whole,    ///< at once: the first byte comes at the end, so that it varies with the request
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
    void completed(Duration firstByte, AnswerKind kind = AnswerKind::Streamed);

    /// The server restarted, reports a cold start, or failed.
    void turnedCold();

    /// @param cold what the server reports of itself
    void reported(bool cold);

    /// @return requests that may run at once, at least 1
    std::uint32_t size() const;
    bool cold() const { return m_cold; }

private:
    /// Logarithm of the latency, recently and usually. Logarithms, because costs of requests vary
    /// by factors: a rare long request moves the mean of the latency, but hardly that of its
    /// logarithm.
    struct Trend
    {
        double recent = 0.0;
        double usual = 0.0;
        std::uint64_t samples = 0;

        void add(double latencyMs, double recentWeight);
        double rise() const { return recent - usual; }
    };

    WindowLimits m_limits;
    double m_size;
    Trend m_streamed;
    Trend m_whole;
    bool m_cold = true;
    bool m_reportedCold = false;
};

} // namespace bilberry::decision

#endif
