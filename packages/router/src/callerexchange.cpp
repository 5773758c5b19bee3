#include "callerexchange.h"

#include <boost/asio/post.hpp>

namespace bilberry::router {

namespace asio = boost::asio;

namespace {

/// Memory of a connection besides its buffers, such as its coroutines.
constexpr std::size_t connectionBytes = 8U << 10U;

} // namespace

CallerLink::CallerLink(asio::ip::tcp::socket socket, std::shared_ptr<MemoryAccount> account,
                       const void *group)
    : stream(std::make_shared<Stream>(std::move(socket))),
      memory(std::move(account), group, [this](MemoryUse asked, ReleaseCause cause) {
          asio::post(stream->get_executor(), [weak = weak_from_this(), asked, cause] {
              if (const auto self = weak.lock())
                  self->release(asked, cause);
          });
      })
{
}

void CallerLink::report(MemoryUse newUse, std::size_t bytes, std::size_t movedBytes)
{
    use = newUse;
    memory.update(use, connectionBytes + buffer.capacity() + bytes, movedBytes);
}

void CallerLink::release(MemoryUse asked, ReleaseCause cause)
{
    if (asked != use)
        return;
    // A request that has arrived meanwhile must not be lost with its connection.
    boost::system::error_code ignored;
    if (use == MemoryUse::Idle && !isLingering && stream->socket().available(ignored) > 0)
        return;
    isReleased = true;
    if (use == MemoryUse::Receiving && cause == ReleaseCause::Memory) {
        stream->cancel();
        return;
    }
    if (use == MemoryUse::Sending)
        stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    closeRequest();
    stream->close();
}

void CallerLink::closeRequest()
{
    const auto running = exchange.lock();
    if (!running)
        return;
    running->disconnect();
    stream->close();
}

void CallerExchange::disconnect()
{
    callerDisconnected = true;
    replies.clear();
    wakeTimer.cancel();
}

void CallerExchange::holdRequest(std::shared_ptr<MemoryAccount> account, SubmittedRequest &request,
                                 std::size_t bytes) const
{
    // The hook may run on the core's thread, which must not become the link's last owner.
    const ReleaseHook close = [executor = link->stream->get_executor(),
                               weak = std::weak_ptr(link)](MemoryUse, ReleaseCause) {
        asio::post(executor, [weak] {
            if (const auto open = weak.lock())
                open->closeRequest();
        });
    };
    request.memory = std::make_shared<MemoryHolder>(std::move(account), nullptr, close);
    request.memory->update(MemoryUse::Serving, bytes);
}

void CallerExchange::report(std::size_t movedBytes) const
{
    link->report(answerBytes > 0 ? MemoryUse::Sending : MemoryUse::Serving, answerBytes,
                 movedBytes);
}

} // namespace bilberry::router
