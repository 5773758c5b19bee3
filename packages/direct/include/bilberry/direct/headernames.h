#ifndef BILBERRY_DIRECT_HEADERNAMES_H
#define BILBERRY_DIRECT_HEADERNAMES_H

#include <string>
#include <vector>

namespace bilberry::direct {

/// Names of the HTTP headers that callers, routers and backend servers exchange. The defaults are
/// the product's own names; an adapter for a platform supplies others.
struct HeaderNames
{
    std::string requestId = "Bilberry-Request-Id";       ///< id of one attempt of a caller
    std::string remainingMs = "Bilberry-Remaining-Ms";   ///< time that the caller still waits
    std::string customer = "Bilberry-Customer";          ///< id of the customer, set by the router
    std::string targetServer = "Bilberry-Target-Server"; ///< any other server responds with 421
    std::string signature = "Bilberry-Signature";    ///< signature of the server for its response
    std::string notRun = "Bilberry-Not-Run";         ///< the server did not run the request
    std::string serverLoad = "Bilberry-Server-Load"; ///< running, waiting, slots
    std::string requestLimit = "Bilberry-Request-Limit"; ///< requests a second, from all routers
    std::string leaving = "Bilberry-Leaving"; ///< 1: the server wants no further requests
    std::string model = "Bilberry-Model";
    std::string promptParts = "Bilberry-Prompt-Parts"; ///< hexadecimal ID:TOKENS, comma-separated
    std::string tokenCounts = "Bilberry-Token-Counts"; ///< prompt tokens, most output tokens
    std::string lastEventId
            = "Last-Event-Id"; ///< id of the last event received, to resume after it
    /// Headers that only the platform may send to a server; those of a caller are removed.
    std::vector<std::string> reserved;
    bool operator==(const HeaderNames &) const = default;
};

} // namespace bilberry::direct

#endif
