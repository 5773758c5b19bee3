#ifndef BILBERRY_STORE_HTTPTRANSPORT_H
#define BILBERRY_STORE_HTTPTRANSPORT_H

#include "bilberry/base/time.h"
#include "bilberry/store/storeerror.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bilberry::store {

/// Whether a call changes stored data; the outcome of an unanswered Write is unknown.
enum class CallEffect { Read, Write };

/// An HTTP request.
struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    CallEffect effect = CallEffect::Read;
    Duration wait{}; ///< for which the server may hold the response back, as in a watch
    bool operator==(const HttpCall &) const = default;
};

/// An HTTP response of any status.
struct HttpResponse
{
    unsigned status = 0;
    std::string entityTag; ///< value of the ETag field; empty if absent
    std::string body;
    std::map<std::string, std::string> headers{}; ///< by their names in lower case
    bool operator==(const HttpResponse &) const = default;
};

/// Sends HTTP/1.1 requests to one address over persistent connections. An idle connection may have
/// gone silent without a reset: when a Read on one takes much longer than usual, all connections
/// that were idle are closed and the Read is repeated on a new one.
class HttpTransport
{
public:
    /// @param address IP address
    HttpTransport(boost::asio::io_context &context, std::string address, std::uint16_t port);
    ~HttpTransport();

    /// Sends a request. A Read that fails on a reused connection is repeated within the limit.
    /// @param limit maximum duration of the call
    /// @return the response of any status, Unavailable, or OutcomeUnknown for a Write that may have
    /// been sent
    boost::asio::awaitable<Result<HttpResponse>> call(HttpCall call, Duration limit);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// @return the name, percent-encoded except for letters, digits, '-', '_', '.' and '/'
std::string encodePath(const std::string &name);

} // namespace bilberry::store

#endif
