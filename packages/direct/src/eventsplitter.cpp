#include "bilberry/direct/eventsplitter.h"

#include <charconv>

namespace bilberry::direct {

namespace {

constexpr std::string_view eventSeparator = "\n\n";
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

} // namespace

std::string EventSplitter::append(std::string_view data)
{
    m_incompleteEvent += data;
    std::string complete;
    std::size_t begin = 0;
    for (std::size_t end = m_incompleteEvent.find(eventSeparator, begin); end != std::string::npos;
         end = m_incompleteEvent.find(eventSeparator, begin)) {
        const std::size_t size = end + eventSeparator.size() - begin;
        const std::string_view event = std::string_view(m_incompleteEvent).substr(begin, size);
        if (!isDuplicate(event))
            complete += event;
        begin += size;
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
