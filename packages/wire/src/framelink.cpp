#include "bilberry/wire/framelink.h"

#include <boost/asio/write.hpp>

#include <array>

namespace bilberry::wire {

namespace asio = boost::asio;

namespace {

/// Both ends send heartbeats well within this time. A dead link is noticed within 4 s, with half a
/// second to spare for a busy machine.
constexpr Duration silenceLimit = std::chrono::milliseconds(3500);
constexpr std::size_t readSize = 64U << 10U;
constexpr std::size_t maxWaitingBytes = 64U << 20U;

} // namespace

bool isControl(const LinkMessage &message)
{
    return !std::holds_alternative<Dispatch>(message)
           && !std::holds_alternative<AnswerHead>(message)
           && !std::holds_alternative<AnswerChunk>(message)
           && !std::holds_alternative<AnswerEnd>(message);
}

FrameLink::FrameLink(asio::ip::tcp::socket socket, FrameLinkHooks hooks)
    : m_socket(std::move(socket)), m_silenceTimer(m_socket.get_executor()),
      m_hooks(std::move(hooks)), m_receivedAt(Clock::now())
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

void FrameLink::start()
{
    waitForBytes();
    watchSilence();
}

void FrameLink::send(const LinkMessage &message)
{
    if (m_closed)
        return;
    const std::string frame = encodeFrame(message);
    if (m_waiting.size() + frame.size() > maxWaitingBytes) {
        fail(std::make_error_code(std::errc::no_buffer_space));
        return;
    }
    m_waiting += frame;
    if (isControl(message))
        m_hooks.onControlSent(frame.size());
    if (m_writing.empty())
        write();
}

void FrameLink::close()
{
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_silenceTimer.cancel();
}

void FrameLink::waitForBytes()
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
    // One buffer for all links of a thread: an idle link holds none.
    thread_local std::array<char, readSize> input;
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(input), error);
    if (error && error != asio::error::would_block) {
        fail(error);
        return;
    }
    if (size > 0) {
        m_receivedAt = Clock::now();
        m_reader.append({input.data(), size});
        takeMessages();
    }
    if (!m_closed)
        waitForBytes();
}

void FrameLink::takeMessages()
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
    // All frames that came up during the last write leave together.
    m_writing.swap(m_waiting);
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                          self->m_writing.clear();
                          if (error)
                              self->fail(error);
                          else if (!self->m_waiting.empty())
                              self->write();
                      });
}

void FrameLink::watchSilence()
{
    m_silenceTimer.expires_at(m_receivedAt + silenceLimit);
    m_silenceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_closed)
            return;
        if (Clock::now() - self->m_receivedAt >= silenceLimit)
            self->fail(std::make_error_code(std::errc::timed_out));
        else
            self->watchSilence();
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
