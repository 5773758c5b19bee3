#ifndef BILBERRY_CTL_REQUESTSTORY_H
#define BILBERRY_CTL_REQUESTSTORY_H

#include <boost/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::ctl {

/// One line of a process's log.
struct StoryLine
{
    std::int64_t timeMs = 0; ///< Unix time
    std::string source;      ///< of the log: a file's name, or the router that started it
    std::string message;
    boost::json::object fields; ///< without time, level, part and message
    bool isContext = false;     ///< not about the request; tells what its router knew then
};

/// What the logs tell of one request, in order of time, with what happened around it at the routers
/// that handled it.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId) : m_requestId(std::move(requestId)) {}

    /// Reads a log: JSON objects, one a line. Other lines are counted and skipped.
    /// @param source names the log in the story until a line tells the router's name
    void addLog(const std::string &source, std::istream &log);

    /// @return the request's lines, and those of its routers and servers shortly before and after
    std::vector<StoryLine> lines() const;
    /// @return what is missing or uncertain in the story, in whole sentences; empty when it is
    ///         complete
    std::vector<std::string> gaps() const;
    /// @return false when no line is about the request
    bool isKnown() const { return !m_own.empty(); }

private:
    void addLine(std::string &source, std::string_view text);
    bool isNear(const StoryLine &line) const;

    std::string m_requestId;
    std::vector<StoryLine> m_own;
    std::vector<StoryLine> m_context; ///< lines of all logs that are about no request
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_dropped = 0; ///< lines that the processes report as dropped
};

/// @return the line as text: milliseconds since the first one, source, message and fields
std::string toText(const StoryLine &line, std::int64_t beginMs);

boost::json::object toJson(const StoryLine &line);

} // namespace bilberry::ctl

#endif
