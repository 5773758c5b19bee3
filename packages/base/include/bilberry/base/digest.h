#ifndef BILBERRY_BASE_DIGEST_H
#define BILBERRY_BASE_DIGEST_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberry {

/// @param data any bytes
/// @return the SHA-256 digest in lower-case hexadecimal, 64 characters
std::string sha256Hex(std::string_view data);

/// Compares without a data-dependent duration.
/// @return true when both have the same bytes
bool equalConstantTime(std::string_view left, std::string_view right);

/// @return 64 random bits from the system's generator
std::uint64_t randomId();

/// @return 128 random bits in hexadecimal, 32 characters
std::string randomToken();

} // namespace bilberry

#endif
