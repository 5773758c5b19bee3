#ifndef BILBERRY_BASE_DIGEST_H
#define BILBERRY_BASE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberry {

/// @param data any bytes
/// @return the SHA-256 digest in lower-case hexadecimal, 64 characters
std::string sha256Hex(std::string_view data);

/// Compares in constant time: the duration depends on the lengths only.
/// @return true when both contain the same bytes
bool equalConstantTime(std::string_view left, std::string_view right);

/// @return 64 random bits from the cryptographic generator
/// @throws std::system_error when the generator fails
std::uint64_t randomId();

/// @return 128 random bits in lower-case hexadecimal, 32 characters
/// @throws std::system_error when the generator fails
std::string randomToken();

} // namespace bilberry

#endif
