#ifndef BILBERRY_ROUTER_READTIMEOUT_H
#define BILBERRY_ROUTER_READTIMEOUT_H

#include "bilberry/base/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace bilberry::router {

using Stream = boost::beast::tcp_stream;

/// Cancels what is being read when it takes too long. The stream's own limit would close the
/// connection, so that the caller could not be told why.
class ReadTimeout
{
public:
    ReadTimeout(std::shared_ptr<Stream> stream, Duration limit)
        : m_timer(std::make_shared<boost::asio::steady_timer>(stream->get_executor(), limit))
    {
        m_timer->async_wait([timer = std::weak_ptr(m_timer),
                             stream = std::move(stream)](boost::system::error_code cancelled) {
            if (!cancelled && !timer.expired())
                stream->cancel();
        });
    }

private:
    std::shared_ptr<boost::asio::steady_timer> m_timer; ///< its destruction ends the limit
};

} // namespace bilberry::router

#endif
