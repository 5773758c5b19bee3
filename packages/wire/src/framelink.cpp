#include "bilberry/wire/framelink.h"

#include <boost/asio/write.hpp>

namespace bilberry::wire {

namespace asio = boost::asio;

namespace {

/// Both ends send heartbeats well within this time. A dead link is noticed within 4 s, with half a
/// second to spare for a busy machine.
constexpr Duration silenceLimit = std::chrono::milliseconds(3500);
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
}

void FrameLink::start()
{
    read();
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
        m_hooks.controlSent(frame.size());
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

void FrameLink::read()
{
    m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (error)
                    self->fail(error);
                else
                    self->received(size);
            });
}

void FrameLink::received(std::size_t size)
{
    m_receivedAt = Clock::now();
    m_reader.append({m_input.data(), size});
    while (!m_closed) {
        auto next = m_reader.next();
        if (!next) {
            fail(next.error());
            return;
        }
        auto message = std::move(next).value();
        if (!message)
            break;
        m_hooks.received(std::move(*message));
    }
    if (!m_closed)
        read();
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
    m_hooks.closed(error);
}

} // namespace bilberry::wire
