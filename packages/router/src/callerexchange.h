#ifndef BILBERRY_ROUTER_CALLEREXCHANGE_H
#define BILBERRY_ROUTER_CALLEREXCHANGE_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/router/callerevents.h"

#include "readtimeout.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <deque>
#include <memory>

namespace bilberry::router {

struct CallerExchange;

/// One caller's connection and what it holds.
struct CallerLink : std::enable_shared_from_this<CallerLink>
{
    /// @param account of the process
    /// @param group as for MemoryHolder
    CallerLink(boost::asio::ip::tcp::socket socket, std::shared_ptr<MemoryAccount> account,
               const void *group);

    /// Reports what the connection holds.
    /// @param bytes besides the connection's own and its buffer's
    /// @param movedBytes bytes received or written since the last report
    void report(MemoryUse newUse, std::size_t bytes, std::size_t movedBytes = 0);
    /// Lets the request that is being read be refused, or closes the connection where no answer is
    /// possible or none would be read. A close before the whole request tells the caller that it
    /// did not run.
    /// @param asked use of the memory when the account asked for it
    void release(MemoryUse asked, ReleaseCause cause);
    /// Ends the request in progress without an answer. Does nothing when there is none.
    void closeRequest();

    std::shared_ptr<Stream> stream;
    boost::beast::flat_buffer buffer;
    MemoryUse use = MemoryUse::Idle;
    std::weak_ptr<CallerExchange> exchange; ///< of the request in progress
    bool isReleased = false;                ///< others need the memory of its request
    bool isLingering = false;               ///< the last answer was written; input is discarded
    MemoryHolder memory;
};

/// A request in progress, and the replies to be written to its caller.
struct CallerExchange
{
    CallerExchange(boost::asio::io_context &context, std::shared_ptr<CallerLink> link)
        : wakeTimer(context), link(std::move(link))
    {
    }

    /// Drops what waits for a caller that has disconnected.
    void disconnect();

    /// Accounts for a request as long as the core keeps it. Closing the caller's connection ends
    /// it.
    /// @param bytes that the request takes
    void holdRequest(std::shared_ptr<MemoryAccount> account, SubmittedRequest &request,
                     std::size_t bytes) const;

    /// Reports the parts of the answer that wait for the caller.
    void report(std::size_t movedBytes = 0) const;

    boost::asio::steady_timer wakeTimer;
    std::shared_ptr<CallerLink> link;
    std::deque<CallerReply> replies;
    std::size_t answerBytes = 0; ///< received and not written yet
    bool callerDisconnected = false;
};

} // namespace bilberry::router

#endif
