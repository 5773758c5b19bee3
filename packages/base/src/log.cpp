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

/// Lines of one part in a second.
constexpr std::uint32_t maxLinesPerSecond = 20;
/// Lines about requests of one part in a second; a router of the design size has about 100
/// requests.
constexpr std::uint32_t maxDecisionsPerSecond = 500;
/// Lines that wait for the reader of standard output.
constexpr std::size_t maxWaitingLines = 4096;
/// Between two batches of lines, so that a line does not cost a wake-up.
constexpr auto batchPause = std::chrono::milliseconds(100);
/// A reader that takes nothing for so long loses the batch.
constexpr int stuckReaderMs = 1000;

/// Stands between a line's sentence and its fields, which are JSON already.
constexpr char fieldsMark = '\x1f';

/// @return the fields as JSON members, each with a comma in front
std::string toMembers(const LogFields &fields)
{
    std::string members;
    for (const auto &[name, value] : fields) {
        members += ",\"";
        members += name;
        members += "\":";
        members += boost::json::serialize(boost::json::string_view(value));
    }
    return members;
}

/// One JSON object a line: time, level, part, message, and the line's fields.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &out,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const std::string &message = event.getMessage();
        const std::size_t mark = std::min(message.find(fieldsMark), message.size());
        const std::string_view sentence = std::string_view(message).substr(0, mark);
        const std::string_view members
                = std::string_view(message).substr(std::min(mark + 1, message.size()));
        out << "{\"time\":\"" << timeText(event.getTimestamp()) << "\",\"level\":\""
            << log4cplus::getLogLevelManager().toString(event.getLogLevel()) << "\",\"part\":\""
            << event.getLoggerName()
            << "\",\"message\":" << boost::json::serialize(boost::json::string_view(sentence))
            << members << "}\n";
    }

private:
    /// Formats the date once a second.
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

/// Writes lines to standard output on a thread of its own.
class LineWriter
{
public:
    LineWriter() : m_ring(maxWaitingLines, [this] { wake(); }), m_thread([this] { run(); }) {}

    ~LineWriter() { stop(); }

    void add(std::string &&line)
    {
        if (!m_ring.push(std::move(line)))
            ++m_dropped;
    }

    /// Writes the rest and ends the thread.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    void wake()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_pending = true;
        }
        m_changed.notify_one();
    }

    void run()
    {
        bool stopping = false;
        while (!stopping) {
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait(lock, [this] { return m_pending || m_stopping; });
                m_changed.wait_for(lock, batchPause, [this] { return m_stopping; });
                m_pending = false;
                stopping = m_stopping;
            }
            writeBatch();
        }
    }

    void writeBatch()
    {
        m_ring.drain(m_lines);
        std::string batch;
        if (const std::uint64_t dropped = m_dropped.exchange(0)) {
            const boost::json::object line = {{"level", "WARN"},
                                              {"part", "log"},
                                              {"message", "Lines were dropped: slow reader."},
                                              {"lines", dropped}};
            batch = boost::json::serialize(line) + '\n';
        }
        for (const std::string &line : m_lines)
            batch += line;
        for (std::size_t at = 0; at < batch.size();) {
            pollfd ready{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&ready, 1, stuckReaderMs) <= 0) {
                m_dropped += m_lines.size();
                return;
            }
            // Only so much as a pipe takes without waiting.
            const std::size_t size = std::min<std::size_t>(batch.size() - at, PIPE_BUF);
            const ssize_t written = ::write(STDOUT_FILENO, batch.data() + at, size);
            if (written < 0 && errno != EINTR && errno != EAGAIN)
                return;
            at += written > 0 ? static_cast<std::size_t>(written) : 0;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_pending = false;
    bool m_stopping = false;
    std::atomic<std::uint64_t> m_dropped = 0;
    BoundedQueue<std::string> m_ring;
    std::vector<std::string> m_lines;
    std::thread m_thread;
};

std::unique_ptr<LineWriter> &lineWriter()
{
    static std::unique_ptr<LineWriter> writer;
    return writer;
}

/// Hands formatted lines to the writer.
class RingAppender : public log4cplus::Appender
{
public:
    ~RingAppender() override { destructorImpl(); }
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

/// @return whether lines are JSON; the text format leaves the fields out
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
        appender = log4cplus::SharedAppenderPtr(new RingAppender());
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

void Log::debug(std::string_view sentence)
{
    write(LogLevel::Debug, sentence);
}

void Log::info(std::string_view sentence)
{
    write(LogLevel::Info, sentence);
}

void Log::warning(std::string_view sentence)
{
    write(LogLevel::Warning, sentence);
}

void Log::error(std::string_view sentence)
{
    write(LogLevel::Error, sentence);
}

void Log::decision(std::string_view sentence, const LogFields &fields)
{
    write(LogLevel::Info, sentence, fields);
}

bool Log::admit(std::uint32_t limit, std::uint64_t &suppressed)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
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

void Log::write(LogLevel level, std::string_view sentence, const LogFields &fields)
{
    log4cplus::Logger logger = log4cplus::Logger::getInstance(m_prefix);
    if (!logger.isEnabledFor(toLevel(level)))
        return;
    std::uint64_t suppressed = 0;
    if (!admit(fields.empty() ? maxLinesPerSecond : maxDecisionsPerSecond, suppressed))
        return;
    if (suppressed > 0)
        logger.log(log4cplus::WARN_LOG_LEVEL, std::to_string(suppressed) + " lines suppressed.",
                   nullptr, 0, "");
    std::string message(sentence);
    if (!fields.empty() && jsonFormat()) {
        message += fieldsMark;
        message += toMembers(fields);
    }
    logger.log(toLevel(level), message, nullptr, 0, "");
}

} // namespace bilberry
