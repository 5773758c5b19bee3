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

/// Whether an unanswered call leaves the outcome open.
enum class CallEffect { Read, Write };

struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    CallEffect effect = CallEffect::Read;
    bool operator==(const HttpCall &) const = default;
};

struct HttpResponse
{
    unsigned status = 0;
    std::string entityTag; ///< empty when there is none
    std::string body;
    bool operator==(const HttpResponse &) const = default;
};

/// HTTP/1.1 calls to one address, over kept connections.
class HttpTransport
{
public:
    /// @param address IP number
    HttpTransport(boost::asio::io_context &context, std::string address, std::uint16_t port);
    ~HttpTransport();

    /// @param limit longest duration of the call
    /// @return any answer, or Unavailable, or for a write OutcomeUnknown
    boost::asio::awaitable<Result<HttpResponse>> call(HttpCall call, Duration limit);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

/// @return the name with all but letters, digits, '-', '_', '.' and '/' percent-encoded
std::string encodePath(const std::string &name);

} // namespace bilberry::store

#endif
