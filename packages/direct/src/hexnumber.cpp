#include "hexnumber.h"

#include <array>
#include <charconv>

namespace bilberry::direct {

namespace {

constexpr int hexadecimal = 16;

} // namespace

std::string toHex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto written
            = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return {digits.data(), written.ptr};
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, hexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace bilberry::direct
