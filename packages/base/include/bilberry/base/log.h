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

/// How the process logs.
struct LogSettings
{
    LogLevel level = LogLevel::Info;
    LogFormat format = LogFormat::Text;
    bool operator==(const LogSettings &) const = default;
};

/// Sets up logging for the whole process: text goes to standard error, JSON lines to standard
/// output. JSON lines are written by a thread of their own; when the reader is too slow they are
/// dropped and counted, so that logging never blocks.
/// @param settings level and format
void setUpLogging(const LogSettings &settings);

/// Writes what is still to be written, for at most a short time.
void flushLogging();

/// Named values of a log line, such as the inputs of a decision.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Logger of one part of the program. Its prefix starts every line; a part that logs more than
/// its rate is cut, and the number of suppressed lines is logged once a second.
class Log
{
public:
    /// @param prefix the part's fixed prefix, such as "router.links"
    explicit Log(std::string prefix);

    void debug(std::string_view sentence);
    void info(std::string_view sentence);
    void warning(std::string_view sentence);
    void error(std::string_view sentence);

    /// Logs a decision that touches a request, or a change of what the process believes.
    /// @param fields the request's id, the inputs with their age or version, the outcome
    void decision(std::string_view sentence, const LogFields &fields);

private:
    void write(LogLevel level, std::string_view sentence, const LogFields &fields = {});
    bool admit(std::uint32_t limit, std::uint64_t &suppressed);

    std::string m_prefix;
    std::mutex m_mutex;
    TimePoint m_second{};
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_suppressed = 0;
};

} // namespace bilberry

#endif
