#include "bilberry/http/eventboundary.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace bilberry::http {

namespace {

constexpr std::size_t maxTailBytes = std::string_view("\r\n\r\n").size();

/// @return true when the text ended with a line ending, which is removed
bool removeLineEnding(std::string_view &text)
{
    for (const std::string_view ending : {"\r\n", "\n", "\r"}) {
        if (text.ends_with(ending)) {
            text.remove_suffix(ending.size());
            return true;
        }
    }
    return false;
}

} // namespace

bool isEventStream(std::string_view contentType)
{
    constexpr std::string_view eventStream = "text/event-stream";
    return boost::beast::iequals(contentType.substr(0, eventStream.size()), eventStream);
}

void EventBoundary::append(std::string_view data)
{
    m_tail += data.substr(data.size() - std::min(data.size(), maxTailBytes));
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), maxTailBytes));
}

bool EventBoundary::isAtEventEnd() const
{
    std::string_view tail = m_tail;
    if (tail.empty())
        return true;
    return removeLineEnding(tail) && (tail.empty() || removeLineEnding(tail));
}

} // namespace bilberry::http
