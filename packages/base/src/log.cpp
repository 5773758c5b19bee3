#include "bilberry/base/log.h"

#include "bilberry/base/boundedqueue.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <ctime>
#include <memory>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace bilberry {

namespace {

/// Rate limit of lines without fields, for each part.
constexpr std::uint32_t maxLinesPerSecond = 20;
/// Rate limit of lines with fields, for each part. A router of the design size has about 100
/// requests per second.
constexpr std::uint32_t maxDecisionsPerSecond = 500;
/// Lines queued for standard output.
constexpr std::size_t maxQueuedLines = 4096;
/// Limit of a field's value; callers and servers determine some of them, such as a request's id.
constexpr std::size_t maxValueBytes = 512;
/// Delay before a batch is written, so that not every line wakes the writer thread.
constexpr auto batchDelay = std::chrono::milliseconds(100);
/// The batch is dropped when standard output accepts nothing for this long.
constexpr int writeTimeoutMs = 1000;

/// Separates a line's message from its fields, which are serialized JSON members.
constexpr char fieldSeparator = '\x1f';

/// @return the value, cut to the limit of its bytes
std::string_view bounded(std::string_view value)
{
    return value.substr(0, maxValueBytes);
}

/// @return the fields as JSON members, each with a leading comma
std::string toJsonMembers(const LogFields &fields)
{
    std::string members;
    for (const auto &[name, value] : fields) {
        members += ",\"";
        members += name;
        members += "\":";
        members += boost::json::serialize(boost::json::string_view(bounded(value)));
    }
    return members;
}

/// Formats a line as one JSON object: time, level, part, message and the fields.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &out,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const std::string &text = event.getMessage();
        const std::size_t separator = std::min(text.find(fieldSeparator), text.size());
        const std::string_view message = std::string_view(text).substr(0, separator);
        const std::string_view members
                = std::string_view(text).substr(std::min(separator + 1, text.size()));
        out << "{\"time\":\"" << timeText(event.getTimestamp()) << "\",\"level\":\""
            << log4cplus::getLogLevelManager().toString(event.getLogLevel()) << "\",\"part\":\""
            << event.getLoggerName()
            << "\",\"message\":" << boost::json::serialize(boost::json::string_view(message))
            << members << "}\n";
    }

private:
    /// Formats date and time only when the second changes.
    /// @return the time in ISO 8601 with milliseconds, UTC
    std::string timeText(const log4cplus::helpers::Time &time)
    {
        const std::time_t second = log4cplus::helpers::to_time_t(time);
        if (second != m_second) {
            m_second = second;
            m_secondText = log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S", time, true);
        }
        const auto ms
                = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch())
                          .count()
                  % 1000;
        std::string text = m_secondText + '.' + std::to_string(1000 + ms).substr(1);
        return text += 'Z';
    }

    std::time_t m_second = 0;
    std::string m_secondText;
};

/// Writes queued lines to standard output on a separate thread.
class LineWriter
{
public:
    LineWriter() : m_queue(maxQueuedLines, [this] { notifyThread(); }), m_thread([this] { run(); })
    {
    }

    ~LineWriter() { stop(); }

    void add(std::string &&line)
    {
        if (!m_queue.push(std::move(line)))
            ++m_dropped;
    }

    /// Writes the queued lines and joins the thread.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_stateChanged.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void notifyThread()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_linesPending = true;
        }
        m_stateChanged.notify_one();
    }

    void run()
    {
        bool stopping = false;
        while (!stopping) {
            {
                std::unique_lock lock(m_mutex);
                m_stateChanged.wait(lock, [this] { return m_linesPending || m_stopping; });
                m_stateChanged.wait_for(lock, batchDelay, [this] { return m_stopping; });
                m_linesPending = false;
                stopping = m_stopping;
            }
            writeBatch();
        }
    }

    void writeBatch()
    {
        m_queue.drain(m_lines);
        std::string batch;
        if (const std::uint64_t dropped = m_dropped.exchange(0)) {
            const boost::json::object line
                    = {{"level", "WARN"},
                       {"part", "log"},
                       {"message", "Lines were dropped: standard output is read too slowly."},
                       {"lines", dropped}};
            batch = boost::json::serialize(line) + '\n';
        }
        for (const std::string &line : m_lines)
            batch += line;
        for (std::size_t offset = 0; offset < batch.size();) {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&ready, 1, writeTimeoutMs) <= 0) {
                m_dropped += m_lines.size();
                return;
            }
            // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
            const std::size_t size = std::min<std::size_t>(batch.size() - offset, PIPE_BUF);
            const ssize_t written = ::write(STDOUT_FILENO, batch.data() + offset, size);
            if (written < 0 && errno != EINTR && errno != EAGAIN)
                return;
            offset += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    bool m_linesPending = false;
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_dropped = 0;
    BoundedQueue<std::string> m_queue;
    std::vector<std::string> m_lines;
    std::thread m_thread;
};

std::unique_ptr<LineWriter> &lineWriter()
{
    static std::unique_ptr<LineWriter> writer;
    return writer;
}

/// Formats lines and queues them for the writer thread.
class QueueAppender : public log4cplus::Appender
{
public:
    ~QueueAppender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        if (lineWriter())
            lineWriter()->add(line.str());
    }
};

/// @return reference to the flag for JSON lines; the text format omits the fields
bool &jsonFormat()
{
    static bool json = false;
    return json;
}

log4cplus::LogLevel toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::unique_ptr<log4cplus::Layout> makeLayout(LogFormat format)
{
    if (format == LogFormat::Json)
        return std::make_unique<JsonLayout>();
    return std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p [%c] %m%n");
}

} // namespace

void setUpLogging(const LogSettings &settings)
{
    static const log4cplus::Initializer initializer;
    jsonFormat() = settings.format == LogFormat::Json;
    log4cplus::SharedAppenderPtr appender;
    if (settings.format == LogFormat::Json) {
        if (!lineWriter())
            lineWriter() = std::make_unique<LineWriter>();
        appender = log4cplus::SharedAppenderPtr(new QueueAppender());
    } else {
        appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    }
    appender->setLayout(makeLayout(settings.format));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLevel(settings.level));
}

void flushLogging()
{
    lineWriter().reset();
}

Log::Log(std::string prefix) : m_prefix(std::move(prefix)) {}

void Log::debug(std::string_view message)
{
    write(LogLevel::Debug, message);
}

void Log::info(std::string_view message)
{
    write(LogLevel::Info, message);
}

void Log::warning(std::string_view message)
{
    write(LogLevel::Warning, message);
}

void Log::error(std::string_view message)
{
    write(LogLevel::Error, message);
}

void Log::decision(std::string_view message, const LogFields &fields)
{
    write(LogLevel::Info, message, fields);
}

bool Log::allowLine(std::uint32_t limit, std::uint64_t &suppressed)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
        suppressed = std::exchange(m_suppressed, 0);
    }
    if (m_linesInSecond >= limit) {
        ++m_suppressed;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

void Log::write(LogLevel level, std::string_view message, const LogFields &fields)
{
    log4cplus::Logger logger = log4cplus::Logger::getInstance(m_prefix);
    if (!logger.isEnabledFor(toLevel(level)))
        return;
    std::uint64_t suppressed = 0;
    if (!allowLine(fields.empty() ? maxLinesPerSecond : maxDecisionsPerSecond, suppressed))
        return;
    if (suppressed > 0)
        logger.log(log4cplus::WARN_LOG_LEVEL,
                   std::to_string(suppressed) + " lines suppressed by the rate limit.", nullptr, 0,
                   "");
    std::string line(message);
    if (!fields.empty() && jsonFormat()) {
        line += fieldSeparator;
        line += toJsonMembers(fields);
    }
    logger.log(toLevel(level), line, nullptr, 0, "");
}

} // namespace bilberry
