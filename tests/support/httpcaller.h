#ifndef BILBERRY_TESTS_HTTPCALLER_H
#define BILBERRY_TESTS_HTTPCALLER_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace bilberry::tests {

/// A caller's request.
struct Call
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    Duration limit = std::chrono::seconds(30);
};

/// What the caller got.
struct Answer
{
    int status = 0;                             ///< 0: no whole answer
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    Duration firstByte{}; ///< from the call to the head of the answer
    Duration total{};

    /// @return a header's value, empty when absent; the name in lower case
    std::string header(const std::string &name) const;
    /// @return the refusal's outcome header
    std::string outcome() const { return header("bilberry-outcome"); }
};

/// Makes one call on a connection of its own and blocks until it ends.
Answer call(std::uint16_t port, const Call &request);

} // namespace bilberry::tests

#endif
