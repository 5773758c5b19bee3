#include "bilberry/base/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>

namespace bilberry {

namespace {

constexpr std::uint32_t maxLinesPerSecond = 20;

/// One JSON object a line: time, level, part, message.
class JsonLayout : public log4cplus::Layout
{
public:
    void formatAndAppend(log4cplus::tostream &out,
                         const log4cplus::spi::InternalLoggingEvent &event) override
    {
        boost::json::object line;
        line["time"] = log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                            event.getTimestamp(), true);
        line["level"] = log4cplus::getLogLevelManager().toString(event.getLogLevel());
        line["part"] = event.getLoggerName();
        line["message"] = event.getMessage();
        out << boost::json::serialize(line) << '\n';
    }
};

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
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(makeLayout(settings.format));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(toLevel(settings.level));
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

bool Log::admit(std::uint64_t &suppressed)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_linesInSecond = 0;
        suppressed = std::exchange(m_suppressed, 0);
    }
    if (m_linesInSecond >= maxLinesPerSecond) {
        ++m_suppressed;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

void Log::write(LogLevel level, std::string_view sentence)
{
    log4cplus::Logger logger = log4cplus::Logger::getInstance(m_prefix);
    if (!logger.isEnabledFor(toLevel(level)))
        return;
    std::uint64_t suppressed = 0;
    if (!admit(suppressed))
        return;
    if (suppressed > 0)
        logger.log(log4cplus::WARN_LOG_LEVEL, std::to_string(suppressed) + " lines suppressed.",
                   nullptr, 0, "");
    logger.log(toLevel(level), std::string(sentence), nullptr, 0, "");
}

} // namespace bilberry
