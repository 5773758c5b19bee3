#ifndef BILBERRY_ROUTER_READTIMEOUT_H
#define BILBERRY_ROUTER_READTIMEOUT_H

#include "bilberry/base/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace bilberry::router {

using Stream = boost::beast::tcp_stream;

/// Cancels the pending read of a stream after a timeout, until it is destroyed. The stream's own
/// timeout would close the connection, so that no refusal could be sent.
class ReadTimeout
{
public:
    ReadTimeout(std::shared_ptr<Stream> stream, Duration timeout)
        : m_timer(std::make_shared<boost::asio::steady_timer>(stream->get_executor(), timeout))
    {
        m_timer->async_wait([timer = std::weak_ptr(m_timer),
                             stream = std::move(stream)](boost::system::error_code cancelled) {
            if (!cancelled && !timer.expired())
                stream->cancel();
        });
    }

private:
    std::shared_ptr<boost::asio::steady_timer> m_timer; ///< its destruction cancels the timeout
};

} // namespace bilberry::router

#endif
