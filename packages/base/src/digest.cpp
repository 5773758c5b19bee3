#include "bilberry/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <system_error>

namespace bilberry {

namespace {

std::string toHex(const unsigned char *bytes, std::size_t count)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t i = 0; i < count; ++i) {
        text.push_back(digits[bytes[i] >> 4]);
        text.push_back(digits[bytes[i] & 0x0f]);
    }
    return text;
}

template <std::size_t Size>
std::array<unsigned char, Size> randomBytes()
{
    std::array<unsigned char, Size> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(Size)) != 1)
        throw std::system_error(std::make_error_code(std::errc::io_error));
    return bytes;
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return toHex(digest.data(), digest.size());
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t randomId()
{
    std::uint64_t id = 0;
    for (const unsigned char byte : randomBytes<sizeof id>())
        id = id << 8 | byte;
    return id;
}

std::string randomToken()
{
    const auto bytes = randomBytes<16>();
    return toHex(bytes.data(), bytes.size());
}

} // namespace bilberry
