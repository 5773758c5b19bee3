#ifndef BILBERRY_WIRE_FRAMELINK_H
#define BILBERRY_WIRE_FRAMELINK_H

#include "bilberry/base/memoryaccount.h"
#include "bilberry/base/time.h"
#include "bilberry/wire/codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <system_error>

namespace bilberry::wire {

/// Receive buffer of a link in the kernel, which takes twice as much for it. The kernel would let
/// it grow to megabytes.
inline constexpr int linkReceiveBufferBytes = 64 << 10;

/// @return false for messages that carry a request or a part of an answer
bool isControlMessage(const LinkMessage &message);

/// Callbacks of a link; all run on the link's event loop.
struct FrameLinkHooks
{
    std::function<void(LinkMessage &&)> onMessage;
    /// Called at most once, when the link fails; no other callback follows.
    std::function<void(std::error_code)> onClosed;
    /// Called with the size in bytes of each control frame queued for sending.
    std::function<void(std::size_t)> onControlSent;
};

/// Sends and receives messages over one TCP connection. Closes it on a malformed frame, when
/// nothing is received for too long (silenceLimit), and when too many bytes are queued
/// (maxQueuedBytes).
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    FrameLink(boost::asio::ip::tcp::socket socket, FrameLinkHooks hooks);

    /// Accounts for what the link holds. To be called before start().
    /// @param memory account of the process
    /// @param group as for MemoryHolder
    /// @param mayClose the link is closed when others need its memory or place
    void accountFor(std::shared_ptr<MemoryAccount> memory, const void *group, bool mayClose);

    /// Marks the link as one that carries requests, so that others make room first.
    void markInUse() { m_isInUse = true; }

    /// Starts reading.
    void start();

    /// Queues a message; messages are sent in the order of the calls.
    void send(const LinkMessage &message);

    /// @return true when no bytes are queued or being written
    bool allSent() const { return m_queued.empty() && m_writing.empty(); }

    /// Closes the connection without calling onClosed.
    void close();

private:
    void waitReadable();
    void readAvailable();
    void processMessages();
    void write();
    void startSilenceTimer();
    void fail(std::error_code error);
    void reportMemory(std::size_t movedBytes);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_silenceTimer;
    FrameLinkHooks m_hooks;
    FrameReader m_reader;
    std::string m_queued; ///< frames to send after m_writing
    std::string m_writing;
    TimePoint m_lastReceivedAt;
    std::optional<MemoryHolder> m_memory;
    bool m_isInUse = false;
    bool m_closed = false;
};

} // namespace bilberry::wire

#endif
