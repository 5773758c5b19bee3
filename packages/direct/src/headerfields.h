#ifndef BILBERRY_DIRECT_HEADERFIELDS_H
#define BILBERRY_DIRECT_HEADERFIELDS_H

#include "caller/callerconnection.h"
#include "server/serverattempt.h"

#include "bilberry/base/time.h"
#include "bilberry/decision/promptcache.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry::direct {

/// @param fallback result for a text that does not start with a number
std::uint64_t parseNumber(std::string_view text, std::uint64_t fallback, int base = 10);

/// @return the elements of a list, without the spaces around them
std::vector<std::string_view> split(std::string_view text, char separator);

/// @return whole milliseconds, 0 for a negative duration
std::string toMillisecondsText(Duration duration);

/// @return API key in the Authorization field; empty when there is none
std::string bearerToken(const CallerRequest &request);

/// @param text ID:TOKENS entries, comma-separated, with hexadecimal ids; others are skipped
std::vector<decision::PromptPart> promptParts(std::string_view text);

/// @param name of a field that holds a decimal number
/// @return the number; absent when there is not exactly one such field, or its value is not one
///         finite number of at least 0
std::optional<double> parseDecimalField(const ResponseHeader &header, const std::string &name);

/// How the end of a response's body is found.
enum class BodyFraming {
    Length,
    Chunked,
    Close, ///< by the end of its connection
};

BodyFraming bodyFraming(const ResponseHeader &header);

/// @return name for logs
const char *toText(BodyFraming framing);

} // namespace bilberry::direct

#endif
