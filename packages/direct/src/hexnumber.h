#ifndef BILBERRY_DIRECT_HEXNUMBER_H
#define BILBERRY_DIRECT_HEXNUMBER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry::direct {

/// @return the number in lower-case hexadecimal, without leading zeros
std::string toHex(std::uint64_t number);

/// @return the number; absent when the text is not one hexadecimal number of at most 64 bits
std::optional<std::uint64_t> parseHex(std::string_view text);

} // namespace bilberry::direct

#endif
