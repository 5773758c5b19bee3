#ifndef BILBERRY_BASE_LOG_H
#define BILBERRY_BASE_LOG_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberry {

enum class LogLevel { Debug, Info, Warning, Error };
enum class LogFormat { Text, Json };

/// Lowest level that is logged, and the line format.
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    bool operator==(const LogSettings &) const = default;
};

/// Configures logging for the whole process: text goes to standard error, JSON lines to standard
/// output. A separate thread writes the JSON lines; when standard output is read too slowly, lines
/// are dropped and counted, so that logging never blocks.
void setUpLogging(const LogSettings &settings);

/// Writes the queued JSON lines and stops the writer thread. Gives up when standard output accepts
/// nothing for 1 s. JSON lines that are logged later are discarded until setUpLogging() is called.
void flushLogging();

/// Name and value pairs of a log line, such as the inputs of a decision.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Logger of one part of the program, with a rate limit. Lines above the limit are suppressed, and
/// their number is logged at most once a second.
class Log
{
public:
    /// @param prefix name of the part, written in every line, such as "router.links"
    explicit Log(std::string prefix);

    void debug(std::string_view message);
    void info(std::string_view message);
    void warning(std::string_view message);
    void error(std::string_view message);

    /// Logs a decision about a request, or a change of the process's view of the fleet, at level
    /// Info.
    /// @param message sentence that names the event
    /// @param fields the request's id, the inputs with their age or version, and the outcome; only
    ///               the JSON format writes them
    void decision(std::string_view message, const LogFields &fields);

private:
    void write(LogLevel level, std::string_view message, const LogFields &fields = {});
    /// Applies the rate limit to one line.
    /// @param limit lines per second
    /// @param suppressed receives the number of lines suppressed before, when a new second begins
    /// @return true when the line may be logged
    bool allowLine(std::uint32_t limit, std::uint64_t &suppressed);

    std::string m_prefix;
    std::mutex m_mutex;
    TimePoint m_secondStart{};
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace bilberry

#endif
