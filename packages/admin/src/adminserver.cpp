#include "bilberry/admin/adminserver.h"

#include "bilberry/base/freestring.h"
#include "bilberry/http/boundedparser.h"
#include "bilberry/http/messagereader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace bilberry::admin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto requestTimeout = std::chrono::seconds(30);
constexpr std::size_t maxConnections = 64;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);
/// Receive buffer in the kernel, which takes twice as much for it. The kernel would let it grow to
/// megabytes.
constexpr int receiveBufferBytes = 32 << 10;
/// Memory of a connection besides its buffer, with what the kernel receives ahead of the reads.
constexpr auto connectionBytes = (4U << 10U) + 2 * static_cast<std::size_t>(receiveBufferBytes);

} // namespace

struct AdminServer::State : std::enable_shared_from_this<State>
{
    /// Counts a connection as long as it is served, also when its handler throws.
    class ConnectionCount
    {
    public:
        explicit ConnectionCount(std::shared_ptr<State> state) : m_state(std::move(state))
        {
            ++m_state->connections;
        }
        ~ConnectionCount() { --m_state->connections; }
        ConnectionCount(const ConnectionCount &) = delete;
        ConnectionCount &operator=(const ConnectionCount &) = delete;

    private:
        std::shared_ptr<State> m_state;
    };

    State(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
          std::map<std::string, AdminHandler> handlers, std::size_t maxBodyBytes,
          std::shared_ptr<MemoryAccount> memory)
        : context(context), acceptor(context, endpoint), handlers(std::move(handlers)),
          maxBodyBytes(maxBodyBytes),
          memory(memory ? std::move(memory) : std::make_shared<MemoryAccount>())
    {
        boost::system::error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    }

    AdminResponse dispatch(const bilberry::http::GrowingRequest &request) const
    {
        const std::string target(request.target().substr(0, request.target().find('?')));
        const std::string method(request.method_string());
        if (!handlers.contains(target))
            return {404, "{}"};
        const auto handler = handlers.find(method == "GET" ? target : method + " " + target);
        if (handler == handlers.end())
            return {405, "{}"};
        return handler->second({method, request.body()});
    }

    /// @return the hook that closes a connection whose memory or place others need
    static ReleaseHook closeHook(const std::shared_ptr<beast::tcp_stream> &stream)
    {
        return [executor = stream->get_executor(), weak = std::weak_ptr(stream)](MemoryUse,
                                                                                 ReleaseCause) {
            asio::post(executor, [weak] {
                if (const auto open = weak.lock())
                    open->close();
            });
        };
    }

    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> shared)
    {
        const ConnectionCount count(shared_from_this());
        beast::tcp_stream &stream = *shared;
        MemoryHolder holder(memory, this, closeHook(shared));
        boost::system::error_code error;
        beast::flat_buffer buffer;
        while (!error) {
            stream.expires_after(requestTimeout);
            bilberry::http::BoundedRequestParser parser;
            parser.body_limit(maxBodyBytes);
            const bilberry::http::ReadHook reportMemory = [&](std::size_t size) {
                holder.update(MemoryUse::Receiving,
                              connectionBytes + buffer.capacity() + parser.heldBytes(), size);
                return true;
            };
            reportMemory(0);
            error = co_await bilberry::http::readMessage(
                    stream, buffer, parser, bilberry::http::MessagePart::Whole,
                    bilberry::http::maxUnparsedBytes, reportMemory);
            if (error)
                break;
            auto request = parser.release();
            AdminResponse result = dispatch(request);
            // The client may take long to read the response.
            freeString(request.body());
            holder.update(MemoryUse::Sending,
                          connectionBytes + buffer.capacity() + result.body.capacity());
            http::response<http::string_body> response(http::status(result.status), 11);
            response.set(http::field::content_type, result.contentType);
            response.body() = std::move(result.body);
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            co_await http::async_write(stream, response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (!response.keep_alive())
                break;
        }
    }

    /// Delays the next accept: while the process has no file descriptor left, accept fails
    /// immediately and the loop would spin.
    asio::awaitable<void> waitBeforeRetry()
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(context, acceptRetryDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(context);
            co_await acceptor.async_accept(socket,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (!acceptor.is_open())
                co_return;
            if (error)
                co_await waitBeforeRetry();
            // The connections of clients that have stopped must not keep out a balancer.
            const bool isFull = connections >= maxConnections;
            if (error
                || (isFull
                    && !memory->releaseSlowest(this, {MemoryUse::Receiving, MemoryUse::Sending})))
                continue;
            asio::co_spawn(context, serve(std::make_shared<beast::tcp_stream>(std::move(socket))),
                           asio::detached);
        }
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    std::map<std::string, AdminHandler> handlers;
    std::size_t maxBodyBytes;
    std::shared_ptr<MemoryAccount> memory;
    std::size_t connections = 0;
};

AdminServer::AdminServer(asio::io_context &context, const std::string &address, std::uint16_t port,
                         std::map<std::string, AdminHandler> handlers, std::size_t maxBodyBytes,
                         std::shared_ptr<MemoryAccount> memory)
    : m_state(std::make_shared<State>(
            context, asio::ip::tcp::endpoint(asio::ip::make_address(address), port),
            std::move(handlers), maxBodyBytes, std::move(memory)))
{
    asio::co_spawn(context, m_state->accept(), asio::detached);
}

AdminServer::~AdminServer()
{
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

} // namespace bilberry::admin
