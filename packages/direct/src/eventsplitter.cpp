#include "bilberry/direct/eventsplitter.h"

#include <charconv>

namespace bilberry::direct {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> idOf(std::string_view event)
{
    for (std::size_t at = 0; at < event.size();) {
        const std::size_t end = event.find('\n', at);
        std::string_view line = event.substr(at, end == std::string_view::npos ? end : end - at);
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
        at = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::string EventSplitter::append(std::string_view data)
{
    m_partial += data;
    std::string whole;
    std::size_t begin = 0;
    for (std::size_t end = m_partial.find(eventEnd, begin); end != std::string::npos;
         end = m_partial.find(eventEnd, begin)) {
        const std::size_t size = end + eventEnd.size() - begin;
        const std::string_view event = std::string_view(m_partial).substr(begin, size);
        if (!isDuplicate(event))
            whole += event;
        begin += size;
    }
    m_partial.erase(0, begin);
    return whole;
}

bool EventSplitter::isDuplicate(std::string_view event)
{
    const auto id = idOf(event);
    if (!id)
        return false;
    if (m_lastId && *id <= *m_lastId)
        return true;
    m_lastId = id;
    return false;
}

} // namespace bilberry::direct
