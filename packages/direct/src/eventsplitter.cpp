#include "bilberry/direct/eventsplitter.h"

#include <charconv>

namespace bilberry::direct {

namespace {

constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> parseId(std::string_view event)
{
    for (std::size_t position = 0; position < event.size();) {
        const std::size_t end = event.find('\n', position);
        std::string_view line
                = event.substr(position, end == std::string_view::npos ? end : end - position);
        if (line.starts_with(idField)) {
            line.remove_prefix(idField.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
            if (parsed.ec == std::errc())
                return id;
        }
        if (end == std::string_view::npos)
            break;
        position = end + 1;
    }
    return std::nullopt;
}

/// @param begin start of an event
/// @return position behind the blank line that ends the event; npos when it has not arrived
std::size_t findEventEnd(std::string_view stream, std::size_t begin)
{
    for (std::size_t lineEnd = stream.find('\n', begin); lineEnd != std::string_view::npos;
         lineEnd = stream.find('\n', lineEnd + 1)) {
        for (const std::string_view blankLine : {"\n", "\r\n"}) {
            if (stream.substr(lineEnd + 1).starts_with(blankLine))
                return lineEnd + 1 + blankLine.size();
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string EventSplitter::append(std::string_view data)
{
    m_incompleteEvent += data;
    std::string complete;
    std::size_t begin = 0;
    for (std::size_t end = findEventEnd(m_incompleteEvent, begin); end != std::string::npos;
         end = findEventEnd(m_incompleteEvent, begin)) {
        const std::string_view event
                = std::string_view(m_incompleteEvent).substr(begin, end - begin);
        if (!isDuplicate(event))
            complete += event;
        begin = end;
    }
    m_incompleteEvent.erase(0, begin);
    return complete;
}

bool EventSplitter::isDuplicate(std::string_view event)
{
    const auto id = parseId(event);
    if (!id)
        return false;
    if (m_lastId && *id <= *m_lastId)
        return true;
    m_lastId = id;
    return false;
}

} // namespace bilberry::direct
