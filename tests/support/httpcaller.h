#ifndef BILBERRY_TESTS_HTTPCALLER_H
#define BILBERRY_TESTS_HTTPCALLER_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace bilberry::tests {

/// A request of a caller.
struct Call
{
    std::string method = "GET";
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    Duration limit = std::chrono::seconds(30);
};

/// The answer that a caller received.
struct Answer
{
    int status = 0;                             ///< 0: no complete answer
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    Duration firstByte{}; ///< from the start of the call to the head of the answer
    Duration total{};

    /// @param name in lower case
    /// @return the header's value; empty when absent
    std::string header(const std::string &name) const;
    /// @return value of Bilberry-Outcome, which a refusal has; empty when absent
    std::string outcome() const { return header("bilberry-outcome"); }
};

/// Sends a request on a new connection to loopback and blocks until the answer ends or the
/// request's limit expires.
Answer call(std::uint16_t port, const Call &request);

} // namespace bilberry::tests

#endif
