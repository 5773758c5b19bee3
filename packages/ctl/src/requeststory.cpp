#include "requeststory.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <optional>
#include <set>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

/// Time before and after the request's lines in which other lines belong to its story.
constexpr std::int64_t contextBeforeMs = 5000;
constexpr std::int64_t contextAfterMs = 1000;
constexpr const char *sentMessage = "Sent to a server.";
constexpr std::array<const char *, 4> lastMessages{
        "Answered.", "Refused.", "The caller disconnected.", "Cut an answer that is not whole."};
/// Outcomes of an attempt, in the order of decision::AttemptOutcome.
constexpr std::array<const char *, 8> outcomeNames{
        "answered",      "server error", "refused by the server", "another server answered",
        "broken answer", "timed out",    "no connection",         "caller left"};

/// @param text UTC, such as 2026-07-18T12:14:29.019Z
std::optional<std::int64_t> parseTime(const std::string &text)
{
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (!rest)
        return std::nullopt;
    constexpr std::int64_t msPerS = 1000;
    const std::int64_t fraction = *rest == '.' ? std::strtol(rest + 1, nullptr, 10) : 0;
    return static_cast<std::int64_t>(timegm(&parts)) * msPerS + fraction;
}

std::string textOf(const json::object &fields, const char *name)
{
    const json::value *value = fields.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Puts the name of an outcome beside its number.
void nameOutcome(json::object &fields)
{
    const std::string outcome = textOf(fields, "outcome");
    if (outcome.size() == 1 && outcome[0] >= '0'
        && static_cast<std::size_t>(outcome[0] - '0') < outcomeNames.size())
        fields["outcome"] = outcomeNames.at(static_cast<std::size_t>(outcome[0] - '0'));
}

} // namespace

void RequestStory::addLog(const std::string &source, std::istream &log)
{
    std::string name = source;
    for (std::string text; std::getline(log, text);) {
        if (!text.empty())
            addLine(name, text);
    }
}

void RequestStory::addLine(std::string &source, std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    const auto time = error || !value.is_object() ? std::nullopt
                                                  : parseTime(textOf(value.get_object(), "time"));
    if (!time) {
        ++m_unreadable;
        return;
    }
    json::object fields = std::move(value.get_object());
    StoryLine line{*time, source, textOf(fields, "message"), {}, false};
    if (const json::value *dropped = fields.if_contains("lines"); dropped && dropped->is_number())
        m_dropped += dropped->to_number<std::uint64_t>(error);
    if (line.message == "Started." && fields.contains("router"))
        line.source = source = textOf(fields, "router");
    const std::string request = textOf(fields, "request");
    for (const char *known : {"time", "level", "part", "message", "request"})
        fields.stable_erase(known);
    nameOutcome(fields);
    line.fields = std::move(fields);
    if (request == m_requestId) {
        m_own.push_back(std::move(line));
    } else if (request.empty()) {
        line.isContext = true;
        m_context.push_back(std::move(line));
    }
}

/// @return true for a line that may explain the request's: by the same process, in time, and about
/// no server or about one of the request's
bool RequestStory::isNear(const StoryLine &line) const
{
    const std::string server = textOf(line.fields, "server");
    return std::any_of(m_own.begin(), m_own.end(), [&](const StoryLine &own) {
        const bool isInTime = line.timeMs >= own.timeMs - contextBeforeMs
                              && line.timeMs <= own.timeMs + contextAfterMs;
        const bool isAboutIt = server.empty() || server == textOf(own.fields, "server");
        return isInTime && isAboutIt && own.source == line.source;
    });
}

std::vector<StoryLine> RequestStory::lines() const
{
    std::vector<StoryLine> lines = m_own;
    std::copy_if(m_context.begin(), m_context.end(), std::back_inserter(lines),
                 [this](const StoryLine &line) { return isNear(line); });
    std::stable_sort(lines.begin(), lines.end(), [](const StoryLine &left, const StoryLine &right) {
        return left.timeMs < right.timeMs;
    });
    return lines;
}

std::vector<std::string> RequestStory::gaps() const
{
    std::vector<std::string> gaps;
    if (m_unreadable > 0)
        gaps.push_back(std::to_string(m_unreadable) + " lines are no log lines and were skipped.");
    if (m_dropped > 0)
        gaps.push_back(std::to_string(m_dropped)
                       + " lines were dropped by the processes, also of other requests.");
    if (m_own.empty()) {
        gaps.emplace_back("No line is about this request: it was not received, or its lines are in "
                          "another log.");
        return gaps;
    }
    std::set<std::string> sources;
    std::set<std::string> attempts;
    bool hasEnd = false;
    for (const StoryLine &line : m_own) {
        sources.insert(line.source);
        if (line.message == sentMessage)
            attempts.insert(textOf(line.fields, "try"));
        hasEnd = hasEnd
                 || std::find(lastMessages.begin(), lastMessages.end(), line.message)
                            != lastMessages.end();
    }
    for (std::size_t attempt = 1; attempt < attempts.size() + 1; ++attempt) {
        if (!attempts.contains(std::to_string(attempt)))
            gaps.push_back("Attempt " + std::to_string(attempt) + " is missing.");
    }
    if (!hasEnd)
        gaps.emplace_back("The end is missing: the request was still open, its process ended, or "
                          "the log was cut.");
    if (sources.size() > 1)
        gaps.emplace_back("Several processes tell of this id; their clocks may differ.");
    return gaps;
}

std::string toText(const StoryLine &line, std::int64_t beginMs)
{
    std::string text = std::to_string(line.timeMs - beginMs) + " ms  " + line.source + "  "
                       + (line.isContext ? "(" + line.message + ")" : line.message);
    for (const auto &field : line.fields) {
        const json::value &value = field.value();
        const std::string shown
                = value.is_string() ? std::string(value.get_string()) : json::serialize(value);
        if (!shown.empty())
            text += "  " + std::string(field.key()) + "=" + shown;
    }
    return text;
}

json::object toJson(const StoryLine &line)
{
    return {{"timeMs", line.timeMs},
            {"source", line.source},
            {"message", line.message},
            {"context", line.isContext},
            {"fields", line.fields}};
}

} // namespace bilberry::ctl
