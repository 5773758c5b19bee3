#include "bilberry/store/jsonslices.h"

#include <cstddef>

namespace bilberry::store {

namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view spaces = " \t\r\n";
    const std::size_t first = text.find_first_not_of(spaces);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(spaces) - first + 1);
}

/// @return position behind the string that begins with the quote at `at`; npos when it has no end
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return std::string_view::npos;
}

/// @return the parts between the commas of an object or array; absent when its brackets or quotes
/// don't match
std::optional<std::vector<std::string_view>> sliceParts(std::string_view text, char open,
                                                        char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close)
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    std::size_t depth = 0;
    std::size_t begin = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const char character = text[at];
        if (character == '"') {
            at = endOfString(text, at);
            if (at == std::string_view::npos)
                return std::nullopt;
            continue;
        }
        if (character == '[' || character == '{')
            ++depth;
        if (character == ']' || character == '}') {
            if (depth == 0)
                return std::nullopt;
            --depth;
        }
        if (character == ',' && depth == 0) {
            parts.push_back(trimmed(text.substr(begin, at - begin)));
            begin = at + 1;
        }
        ++at;
    }
    if (depth > 0)
        return std::nullopt;
    const std::string_view last = trimmed(text.substr(begin));
    if (!last.empty() || !parts.empty())
        parts.push_back(last);
    return parts;
}

} // namespace

std::optional<std::string_view> sliceField(std::string_view object, std::string_view name)
{
    const auto fields = sliceParts(object, '{', '}');
    if (!fields)
        return std::nullopt;
    for (const std::string_view field : *fields) {
        if (field.empty() || field.front() != '"')
            continue;
        const std::size_t end = endOfString(field, 0);
        if (end == std::string_view::npos || field.substr(1, end - 2) != name)
            continue;
        const std::string_view rest = trimmed(field.substr(end));
        if (!rest.empty() && rest.front() == ':')
            return trimmed(rest.substr(1));
    }
    return std::nullopt;
}

std::optional<std::vector<std::string_view>> sliceElements(std::string_view array)
{
    return sliceParts(array, '[', ']');
}

} // namespace bilberry::store
