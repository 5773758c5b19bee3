#ifndef BILBERRY_WIRE_FRAMELINK_H
#define BILBERRY_WIRE_FRAMELINK_H

#include "bilberry/base/time.h"
#include "bilberry/wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <system_error>

namespace bilberry::wire {

/// @return false for messages that carry requests and answers
bool isControl(const LinkMessage &message);

/// What a link tells its owner; all calls come on the link's event loop.
struct FrameLinkHooks
{
    std::function<void(LinkMessage &&)> onMessage;
    /// Called once; nothing follows.
    std::function<void(std::error_code)> onClosed;
    /// Told the size of each control frame sent.
    std::function<void(std::size_t)> onControlSent;
};

/// Sends and receives messages over one TCP connection. Closes it on a malformed frame, when the
/// peer is silent for too long, and when too much waits to be sent.
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    FrameLink(boost::asio::ip::tcp::socket socket, FrameLinkHooks hooks);

    /// Starts reading.
    void start();

    /// Sends a message after those before it.
    void send(const LinkMessage &message);

    /// @return true when nothing waits to be sent
    bool idle() const { return m_waiting.empty() && m_writing.empty(); }

    /// Closes without a call of the closed hook.
    void close();

private:
    void waitForBytes();
    void readAvailable();
    void takeMessages();
    void write();
    void watchSilence();
    void fail(std::error_code error);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_silenceTimer;
    FrameLinkHooks m_hooks;
    FrameReader m_reader;
    std::string m_waiting; ///< frames that follow the ones being written
    std::string m_writing;
    TimePoint m_receivedAt;
    bool m_closed = false;
};

} // namespace bilberry::wire

#endif
