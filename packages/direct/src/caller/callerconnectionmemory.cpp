// CallerConnection: what it holds, and how it releases that for others.

#include "caller/callerconnection.h"

namespace bilberry::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// Bytes that the kernel may hold for a connection.
constexpr auto kernelBytes = 2 * static_cast<std::size_t>(CallerConnection::receiveBufferBytes);
/// Memory of a connection besides its buffers: the object, its timer and socket.
constexpr std::size_t connectionBytes = 2U << 10U;

} // namespace

/// Frees a request that is refused before it is complete.
void CallerConnection::releaseRequest()
{
    m_parser.reset();
    m_buffer = beast::flat_buffer();
    reportMemory();
}

MemoryUse CallerConnection::memoryUse() const
{
    if (m_isReadingRequest)
        return MemoryUse::Receiving;
    if (m_isWriting || m_awaitsReader)
        return MemoryUse::Sending;
    return m_isResponding ? MemoryUse::Serving : MemoryUse::Idle;
}

void CallerConnection::reportMemory(std::size_t movedBytes)
{
    std::size_t bytes = connectionBytes + m_readArea.size() + m_buffer.capacity()
                        + m_writeBuffer.capacity() + m_pendingWrite.capacity();
    if (m_parser)
        bytes += m_parser->heldBytes();
    // The kernel receives ahead of the reads, and on for a caller that is not read from.
    if (m_isReadingRequest || m_isLingering || !m_isReading)
        bytes += kernelBytes;
    m_memory->update(memoryUse(), bytes, movedBytes);
}

/// Refuses the request that is being read, or closes the connection where no answer is possible or
/// none would be read. A close before the whole request tells the caller that it did not run.
void CallerConnection::releaseMemory(MemoryUse use, ReleaseCause cause)
{
    if (m_isClosed || use != memoryUse())
        return;
    if (use == MemoryUse::Receiving && cause == ReleaseCause::Memory) {
        refuseUnread(RequestError::MemoryFull);
        return;
    }
    if (use == MemoryUse::Serving) {
        endRequest();
        return;
    }
    // A request that has arrived meanwhile must not be lost with its connection.
    if (use == MemoryUse::Idle && !m_isLingering && hasUnreadBytes())
        return;
    if (m_hooks.onMemoryReleased)
        m_hooks.onMemoryReleased(use, cause);
    if (use == MemoryUse::Sending) {
        boost::system::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    handleDisconnect();
}

} // namespace bilberry::direct
