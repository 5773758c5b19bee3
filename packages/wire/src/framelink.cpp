#include "bilberry/wire/framelink.h"

#include "bilberry/base/freestring.h"

#include <boost/asio/write.hpp>

#include <array>

namespace bilberry::wire {

namespace asio = boost::asio;

namespace {

/// Maximum time without received bytes; both ends send heartbeats well within it. Dead links must
/// be detected within 4 s; the remaining half second allows for a busy host.
constexpr Duration silenceLimit = std::chrono::milliseconds(3500);
constexpr std::size_t readBufferSize = 64U << 10U;
constexpr std::size_t maxQueuedBytes = 64U << 20U;
/// Bytes that the kernel may hold for a link.
constexpr auto kernelBytes = 2 * static_cast<std::size_t>(linkReceiveBufferBytes);
/// Memory of a link besides its buffers.
constexpr std::size_t linkBytes = 2U << 10U;
/// Capacity that an empty buffer may keep.
constexpr std::size_t maxIdleBytes = 256U << 10U;

} // namespace

bool isControlMessage(const LinkMessage &message)
{
    return !std::holds_alternative<Dispatch>(message)
           && !std::holds_alternative<AnswerHead>(message)
           && !std::holds_alternative<AnswerChunk>(message)
           && !std::holds_alternative<AnswerEnd>(message);
}

FrameLink::FrameLink(asio::ip::tcp::socket socket, FrameLinkHooks hooks)
    : m_socket(std::move(socket)), m_silenceTimer(m_socket.get_executor()),
      m_hooks(std::move(hooks)), m_lastReceivedAt(Clock::now())
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

void FrameLink::accountFor(std::shared_ptr<MemoryAccount> memory, const void *group, bool mayClose)
{
    const ReleaseHook close = [this](MemoryUse, ReleaseCause) {
        asio::post(m_socket.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->fail(std::make_error_code(std::errc::no_buffer_space));
        });
    };
    m_memory.emplace(std::move(memory), group, mayClose ? close : ReleaseHook());
    reportMemory(0);
}

void FrameLink::reportMemory(std::size_t movedBytes)
{
    if (!m_memory)
        return;
    MemoryUse use = m_writing.empty() ? MemoryUse::Receiving : MemoryUse::Sending;
    if (m_isInUse)
        use = MemoryUse::Serving;
    // The kernel receives ahead of the reads of a frame.
    const std::size_t unread = m_reader.bufferedSize() > 0 ? kernelBytes : 0;
    m_memory->update(use,
                     linkBytes + unread + m_reader.capacity() + m_queued.capacity()
                             + m_writing.capacity(),
                     movedBytes);
}

void FrameLink::start()
{
    waitReadable();
    startSilenceTimer();
}

void FrameLink::send(const LinkMessage &message)
{
    if (m_closed)
        return;
    const std::string frame = encodeFrame(message);
    if (m_queued.size() + frame.size() > maxQueuedBytes) {
        fail(std::make_error_code(std::errc::no_buffer_space));
        return;
    }
    m_queued += frame;
    if (isControlMessage(message))
        m_hooks.onControlSent(frame.size());
    if (m_writing.empty())
        write();
    reportMemory(0);
}

void FrameLink::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_silenceTimer.cancel();
}

void FrameLink::waitReadable()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](boost::system::error_code error) {
                            if (error)
                                self->fail(error);
                            else
                                self->readAvailable();
                        });
}

void FrameLink::readAvailable()
{
    // All links of a thread share one buffer, so that an idle link needs none.
    thread_local std::array<char, readBufferSize> input;
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(input), error);
    if (error && error != asio::error::would_block) {
        fail(error);
        return;
    }
    if (size > 0) {
        m_lastReceivedAt = Clock::now();
        m_reader.append({input.data(), size});
        processMessages();
        reportMemory(size);
    }
    if (!m_closed)
        waitReadable();
}

void FrameLink::processMessages()
{
    while (!m_closed) {
        auto next = m_reader.next();
        if (!next) {
            fail(next.error());
            return;
        }
        auto message = std::move(next).value();
        if (!message)
            return;
        m_hooks.onMessage(std::move(*message));
    }
}

void FrameLink::write()
{
    // Sends all frames that were queued during the last write together.
    m_writing.swap(m_queued);
    asio::async_write(
            m_socket, asio::buffer(m_writing),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->m_writing.clear();
                if (self->m_writing.capacity() > maxIdleBytes)
                    freeString(self->m_writing);
                self->reportMemory(size);
                if (error)
                    self->fail(error);
                else if (!self->m_queued.empty())
                    self->write();
            });
}

void FrameLink::startSilenceTimer()
{
    m_silenceTimer.expires_at(m_lastReceivedAt + silenceLimit);
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_closed)
            return;
        if (Clock::now() - self->m_lastReceivedAt >= silenceLimit)
            self->fail(std::make_error_code(std::errc::timed_out));
        else
            self->startSilenceTimer();
    });
}

void FrameLink::fail(std::error_code error)
{
    if (m_closed)
        return;
    close();
    m_hooks.onClosed(error);
}

} // namespace bilberry::wire
