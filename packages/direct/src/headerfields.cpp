#include "headerfields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bilberry::direct {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

std::string_view trimmed(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

} // namespace

std::uint64_t parseNumber(std::string_view text, std::uint64_t fallback, int base)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
    return parsed.ec == std::errc() ? number : fallback;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        parts.push_back(trimmed(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string toMillisecondsText(Duration duration)
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<std::int64_t>(whole, 0));
}

std::string bearerToken(const CallerRequest &request)
{
    constexpr std::string_view scheme = "bearer ";
    const std::string_view value = request[http::field::authorization];
    if (value.size() <= scheme.size() || !beast::iequals(value.substr(0, scheme.size()), scheme))
        return {};
    return std::string(trimmed(value.substr(scheme.size())));
}

std::vector<decision::PromptPart> promptParts(std::string_view text)
{
    std::vector<decision::PromptPart> parts;
    for (const std::string_view part : split(text, ',')) {
        const std::size_t colon = part.find(':');
        if (colon == std::string_view::npos)
            continue;
        constexpr int hexadecimal = 16;
        parts.push_back({parseNumber(part.substr(0, colon), 0, hexadecimal),
                         static_cast<std::uint32_t>(parseNumber(part.substr(colon + 1), 0))});
    }
    return parts;
}

std::optional<double> parseDecimalField(const ResponseHeader &header, const std::string &name)
{
    if (header.count(name) != 1)
        return std::nullopt;
    const std::string_view text = trimmed(header[name]);
    double number = 0.0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number) || number < 0.0)
        return std::nullopt;
    return number;
}

BodyFraming bodyFraming(const ResponseHeader &header)
{
    if (header.count(http::field::transfer_encoding) > 0)
        return BodyFraming::Chunked;
    return header.count(http::field::content_length) > 0 ? BodyFraming::Length : BodyFraming::Close;
}

const char *toText(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Close:
        break;
    }
    return "close";
}

} // namespace bilberry::direct
