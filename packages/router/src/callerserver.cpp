#include "bilberry/router/callerserver.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/freestring.h"
#include "bilberry/base/log.h"
#include "bilberry/http/boundedparser.h"
#include "bilberry/http/messagereader.h"
#include "bilberry/router/problem.h"

#include "callerexchange.h"
#include "callerrequest.h"
#include "readtimeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <sstream>
#include <unordered_map>

namespace bilberry::router {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using RequestParser = bilberry::http::BoundedRequestParser;

constexpr char outcomeHeader[] = "Bilberry-Outcome";
/// Bytes written to the caller before they are reported as credit.
constexpr std::uint32_t creditThreshold = 64U << 10U;
constexpr auto writeTimeout = std::chrono::seconds(60);
/// Limits on discarding input after the last answer of a connection.
constexpr auto lingerTimeout = std::chrono::seconds(1);
constexpr std::size_t maxLingerBytes = 4U << 20U;
/// Receive buffer in the kernel, which takes twice as much for it. The kernel would let it grow to
/// megabytes.
constexpr int receiveBufferBytes = 16 << 10;
/// Bytes that the kernel may hold for a connection that is read from, ahead of the reads.
constexpr auto kernelBytes = 2 * static_cast<std::size_t>(receiveBufferBytes);
/// Connections that the kernel accepts ahead, each with as much as its buffer holds.
constexpr int acceptBacklog = 512;
/// Capacity that the buffer of an idle connection may keep.
constexpr std::size_t idleBufferBytes = 16U << 10U;
/// Sockets that a router needs besides those of callers: for agents, operators and the platform.
constexpr std::size_t ownSockets = 500;
/// Fraction of the connections from which on callers that have stopped are disconnected, and the
/// time without a byte from which on a caller counts as stopped.
constexpr double stoppedFill = 0.9;
constexpr Duration minStall = std::chrono::seconds(1);
/// Delay before the next accept after an error, most of which are a lack of descriptors.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(20);
/// Delay before an event is offered again after the core's queue was full.
constexpr auto eventRetryDelay = std::chrono::milliseconds(5);

bool endsAnswer(const CallerReply &reply)
{
    return std::holds_alternative<ReplyEnd>(reply) || std::holds_alternative<ReplyRefusal>(reply);
}

RefusalKind refusalFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return RefusalKind::HeadTooLarge;
    if (error == http::error::body_limit)
        return RefusalKind::BodyTooLarge;
    if (error == asio::error::operation_aborted)
        return RefusalKind::SlowSender;
    return RefusalKind::MalformedRequest;
}

} // namespace

struct CallerServer::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, const RouterSettings &settings, EventHook onEvent,
          std::shared_ptr<MemoryAccount> account)
        : context(context), limits(settings.callers), memory(std::move(account)),
          maxConnections(connectionLimit(settings)),
          acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(settings.listenAddress),
                                                    settings.callerPort)),
          onEvent(std::move(onEvent)), lastRequest(randomId()), eventRetryTimer(context)
    {
        boost::system::error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        acceptor.listen(acceptBacklog, ignored);
    }

    static std::size_t connectionLimit(const RouterSettings &settings)
    {
        const std::size_t sockets = settings.limits.maxSockets();
        return std::min(settings.callers.connections,
                        sockets > ownSockets ? sockets - ownSockets : 1);
    }

    // Accepting connections.

    static asio::awaitable<void> accept(std::shared_ptr<State> self)
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(self->context);
            co_await self->acceptor.async_accept(socket,
                                                 asio::redirect_error(asio::use_awaitable, error));
            if (!self->acceptor.is_open())
                co_return;
            if (error) {
                asio::steady_timer delay(self->context, acceptRetryDelay);
                co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            if (!self->makeRoom()) {
                rejectConnection(socket);
                continue;
            }
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            ++self->connections;
            asio::co_spawn(
                    self->context,
                    serveConnection(self, std::make_shared<CallerLink>(std::move(socket),
                                                                       self->memory, self.get())),
                    asio::detached);
        }
    }

    /// Disconnects a caller that has stopped inside a request or an answer when connections are
    /// short, or else the one that has been idle for longest.
    /// @return false when there are too many connections, and none can be closed
    bool makeRoom()
    {
        const auto inRequest = {MemoryUse::Receiving, MemoryUse::Sending};
        const bool isFull = connections >= maxConnections;
        const bool isFilled = static_cast<double>(connections)
                              >= stoppedFill * static_cast<double>(maxConnections);
        if (isFilled && memory->releaseSlowest(this, inRequest, minStall))
            return true;
        return !isFull || memory->releaseSlowest(this, {MemoryUse::Idle}, minStall)
               || memory->releaseSlowest(this, inRequest);
    }

    static asio::awaitable<void> serveConnection(std::shared_ptr<State> self,
                                                 std::shared_ptr<CallerLink> link)
    {
        bool keepAlive = true;
        while (keepAlive) {
            if (link->buffer.size() == 0 && link->buffer.capacity() > idleBufferBytes)
                link->buffer.shrink_to_fit();
            link->report(MemoryUse::Idle, 0);
            keepAlive = co_await self->serveRequest(link);
        }
        link->buffer = beast::flat_buffer();
        link->isLingering = true;
        link->report(MemoryUse::Idle, kernelBytes);
        if (link->stream->socket().is_open())
            co_await lingerAndDiscard(*link->stream);
        link->stream->close();
        --self->connections;
    }

    /// Shuts the sending side down and discards further input for a limited time. Closing a socket
    /// with unread bytes would reset the connection, and the caller could lose the refusal.
    static asio::awaitable<void> lingerAndDiscard(Stream &stream)
    {
        boost::system::error_code error;
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
        std::array<char, 4096> dropped{};
        stream.expires_after(lingerTimeout);
        for (std::size_t total = 0; !error && total < maxLingerBytes;)
            total += co_await stream.async_read_some(
                    asio::buffer(dropped), asio::redirect_error(asio::use_awaitable, error));
    }

    /// Resets the connection, so that a truncated answer without a length can't look complete.
    static void resetConnection(Stream &stream)
    {
        boost::system::error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.close();
    }

    /// Refuses a caller beyond the connection limit, without blocking.
    static void rejectConnection(asio::ip::tcp::socket &socket)
    {
        const Problem problem
                = makeProblem({0, RefusalKind::Overloaded, RequestOutcome::NotRun, 1, ""});
        http::response<http::string_body> response(http::status(problem.status), 11);
        fillProblemResponse(response, problem, RequestOutcome::NotRun, 1);
        response.keep_alive(false);
        response.prepare_payload();
        std::ostringstream text;
        text << response;
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(text.str()), ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    // Handling one request.

    /// @return true when another request may follow on the connection
    asio::awaitable<bool> serveRequest(std::shared_ptr<CallerLink> link)
    {
        const std::shared_ptr<Stream> stream = link->stream;
        if (link->buffer.size() == 0 && !co_await waitForRequest(stream))
            co_return false;
        RequestParser parser;
        const bilberry::http::ReadHook reportMemory = [&](std::size_t size) {
            link->report(MemoryUse::Receiving, kernelBytes + parser.heldBytes(), size);
            return !link->isReleased;
        };
        link->isReleased = false;
        reportMemory(0);
        parser.header_limit(static_cast<std::uint32_t>(limits.headBytes));
        parser.body_limit(limits.bodyBytes);
        const std::size_t maxUnparsed = limits.headBytes + bilberry::http::maxUnparsedBytes;
        boost::system::error_code error;
        stream->expires_never();
        {
            const ReadTimeout timeout(stream, limits.headTimeout);
            error = co_await bilberry::http::readMessage(*stream, link->buffer, parser,
                                                         bilberry::http::MessagePart::Header,
                                                         maxUnparsed, reportMemory);
        }
        if (error == http::error::end_of_stream)
            co_return false;
        if (!error) {
            const ReadTimeout timeout(stream, limits.bodyTimeout);
            error = co_await bilberry::http::readMessage(*stream, link->buffer, parser,
                                                         bilberry::http::MessagePart::Whole,
                                                         maxUnparsed, reportMemory);
        }
        if (error) {
            const bool isReleased = link->isReleased;
            const RefusalKind kind = isReleased ? RefusalKind::MemoryFull : refusalFor(error);
            const ReplyRefusal refusal{0, kind, RequestOutcome::NotRun, isReleased ? 1U : 0U, ""};
            freeString(parser.get().body());
            link->report(MemoryUse::Idle, 0);
            co_await sendRefusal(*stream, refusal, false);
            co_return false;
        }
        const std::size_t requestBytes = parser.heldBytes();
        HttpRequest request = parser.release();
        SubmittedRequest submitted;
        const auto refusal = checkRequest(request, submitted);
        if (refusal) {
            const ReplyRefusal reply{0, *refusal, RequestOutcome::NotRun,
                                     *refusal == RefusalKind::NoConfiguration ? 1U : 0U, ""};
            const bool keepAlive = request.keep_alive() && !draining;
            co_return co_await sendRefusal(*stream, reply, keepAlive, request.method());
        }
        co_return co_await forwardRequest(link, request, std::move(submitted), requestBytes);
    }

    asio::awaitable<bool> waitForRequest(std::shared_ptr<Stream> stream)
    {
        boost::system::error_code error;
        const ReadTimeout timeout(stream, limits.idleTimeout);
        co_await stream->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                             asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    /// @param request its body is moved to the submitted one
    std::optional<RefusalKind> checkRequest(HttpRequest &request, SubmittedRequest &submitted) const
    {
        if (!isWellFormed(request))
            return RefusalKind::MalformedRequest;
        if (draining)
            return RefusalKind::Stopping;
        return authorize(request, configuration.get(), submitted);
    }

    /// @param requestBytes memory that the request takes
    asio::awaitable<bool> forwardRequest(std::shared_ptr<CallerLink> link,
                                         const HttpRequest &request, SubmittedRequest submitted,
                                         std::size_t requestBytes)
    {
        const std::shared_ptr<Stream> stream = link->stream;
        const RequestId id = ++lastRequest;
        submitted.request = id;
        const auto exchange = std::make_shared<CallerExchange>(context, link);
        exchange->holdRequest(memory, submitted, requestBytes);
        exchanges[id] = exchange;
        link->exchange = exchange;
        exchange->report();
        if (!onEvent(std::move(submitted))) {
            exchanges.erase(id);
            const ReplyRefusal refusal{id, RefusalKind::Overloaded, RequestOutcome::NotRun, 1, ""};
            co_return co_await sendRefusal(*stream, refusal, request.keep_alive(),
                                           request.method());
        }
        stream->expires_never();
        asio::co_spawn(context, detectDisconnect(shared_from_this(), id, link, exchange),
                       asio::detached);
        const bool keepAlive = co_await writeAnswer(*stream, request, id, *exchange);
        exchanges.erase(id);
        // Ends detectDisconnect().
        boost::system::error_code ignored;
        stream->socket().cancel(ignored);
        co_return keepAlive;
    }

    /// Detects a caller that closes its connection while it waits. Pipelined requests are read into
    /// the buffer, so that a close behind them is seen; detection ends when the buffer reaches the
    /// size limit of a head.
    static asio::awaitable<void> detectDisconnect(std::shared_ptr<State> self, RequestId id,
                                                  std::shared_ptr<CallerLink> link,
                                                  std::shared_ptr<CallerExchange> exchange)
    {
        const std::shared_ptr<Stream> stream = link->stream;
        beast::flat_buffer &buffer = link->buffer;
        for (;;) {
            boost::system::error_code error;
            co_await stream->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                                 asio::redirect_error(asio::use_awaitable, error));
            if (error || !self->exchanges.contains(id))
                co_return;
            if (buffer.size() >= self->limits.headBytes)
                co_return;
            stream->socket().non_blocking(true, error);
            const std::size_t space = self->limits.headBytes - buffer.size();
            const std::size_t size = stream->socket().read_some(buffer.prepare(space), error);
            if (error == asio::error::would_block)
                continue;
            if (error || size == 0)
                break;
            buffer.commit(size);
            exchange->report();
        }
        exchange->callerDisconnected = true;
        exchange->wakeTimer.cancel();
    }

    asio::awaitable<void> waitForReplies(CallerExchange &exchange)
    {
        while (exchange.replies.empty() && !exchange.callerDisconnected) {
            boost::system::error_code ignored;
            exchange.wakeTimer.expires_after(std::chrono::hours(24));
            co_await exchange.wakeTimer.async_wait(
                    asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    asio::awaitable<bool> writeAnswer(Stream &stream, const HttpRequest &request, RequestId id,
                                      CallerExchange &exchange)
    {
        co_await waitForReplies(exchange);
        if (exchange.replies.empty()) {
            reportDisconnect(id);
            co_return false;
        }
        if (auto *refusal = std::get_if<ReplyRefusal>(&exchange.replies.front())) {
            const ReplyRefusal reply = std::move(*refusal);
            co_return co_await sendRefusal(stream, reply, request.keep_alive(), request.method());
        }
        const ReplyHead head = std::get<ReplyHead>(std::move(exchange.replies.front()));
        exchange.replies.pop_front();
        if (!exchange.replies.empty() && endsAnswer(exchange.replies.back()))
            co_return co_await writeWholeAnswer(stream, request, head, exchange);
        co_return co_await streamAnswer(stream, request, id, head, exchange);
    }

    template <typename Body>
    static http::response<Body> makeResponse(const HttpRequest &request, const ReplyHead &head)
    {
        http::response<Body> response;
        response.version(11);
        response.result(head.status);
        for (const wire::HeaderField &field : head.headers)
            response.insert(field.name, field.value);
        response.keep_alive(request.keep_alive());
        return response;
    }

    /// Writes an answer whose parts have all arrived, in one write and with its length.
    asio::awaitable<bool> writeWholeAnswer(Stream &stream, const HttpRequest &request,
                                           const ReplyHead &head, CallerExchange &exchange)
    {
        const auto *end = std::get_if<ReplyEnd>(&exchange.replies.back());
        if (!end || !end->complete) {
            const ReplyRefusal refusal{head.request, RefusalKind::ServerFailed,
                                       RequestOutcome::Unknown, 0, ""};
            co_return co_await sendRefusal(stream, refusal, request.keep_alive(), request.method());
        }
        auto response = makeResponse<http::string_body>(request, head);
        for (CallerReply &reply : exchange.replies) {
            if (auto *chunk = std::get_if<ReplyChunk>(&reply))
                response.body() += chunk->data;
        }
        if (!hasNoBody(head.status, request.method()))
            response.prepare_payload();
        stream.expires_after(writeTimeout);
        boost::system::error_code error;
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && response.keep_alive();
    }

    asio::awaitable<bool> streamAnswer(Stream &stream, const HttpRequest &request, RequestId id,
                                       const ReplyHead &head, CallerExchange &exchange)
    {
        auto response = makeResponse<http::empty_body>(request, head);
        const bool noBody = hasNoBody(head.status, request.method());
        const bool chunked = request.version() >= 11 && !noBody;
        response.chunked(chunked);
        // Without chunked encoding, the end of the connection marks the end of the answer.
        if (!chunked && !noBody)
            response.keep_alive(false);
        http::response_serializer<http::empty_body> serializer(response);
        boost::system::error_code error;
        stream.expires_after(writeTimeout);
        co_await http::async_write_header(stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        std::uint32_t unreportedBytes = 0;
        while (!error) {
            co_await waitForReplies(exchange);
            if (exchange.replies.empty())
                break;
            const std::string data = takeChunks(exchange);
            if (!data.empty()) {
                stream.expires_after(writeTimeout);
                if (!noBody)
                    co_await writeData(stream, data, chunked, error);
                exchange.answerBytes -= std::min(exchange.answerBytes, data.size());
                exchange.report(data.size());
                unreportedBytes += static_cast<std::uint32_t>(data.size());
                if (!error && unreportedBytes >= creditThreshold)
                    sendToCore(AnswerBytesWritten{id, std::exchange(unreportedBytes, 0)});
                continue;
            }
            const auto *end = std::get_if<ReplyEnd>(&exchange.replies.front());
            // A truncated answer must not look complete.
            if (!end || !end->complete) {
                resetConnection(stream);
                co_return false;
            }
            if (chunked)
                co_await asio::async_write(stream, http::make_chunk_last(),
                                           asio::redirect_error(asio::use_awaitable, error));
            co_return !error && response.keep_alive();
        }
        if (!chunked)
            resetConnection(stream);
        reportDisconnect(id);
        co_return false;
    }

    static asio::awaitable<void> writeData(Stream &stream, const std::string &data, bool chunked,
                                           boost::system::error_code &error)
    {
        if (chunked)
            co_await asio::async_write(stream, http::make_chunk(asio::buffer(data)),
                                       asio::redirect_error(asio::use_awaitable, error));
        else
            co_await asio::async_write(stream, asio::buffer(data),
                                       asio::redirect_error(asio::use_awaitable, error));
    }

    /// Removes the waiting chunks and joins them, for a single write.
    static std::string takeChunks(CallerExchange &exchange)
    {
        std::string data;
        while (!exchange.replies.empty()) {
            auto *chunk = std::get_if<ReplyChunk>(&exchange.replies.front());
            if (!chunk)
                break;
            data += chunk->data;
            exchange.replies.pop_front();
        }
        return data;
    }

    void reportDisconnect(RequestId id) { sendToCore(CallerDisconnected{id}); }

    /// Sends an event that must not be lost. Waiting for space in the queue could deadlock this
    /// thread and the core's, so the event is retried later. Memory stays bounded: both kinds of
    /// event are small, and there is at most one for each part of an answer that the core sent.
    template <typename Event>
    void sendToCore(const Event &event)
    {
        if (pendingEvents.empty() && onEvent(Event(event)))
            return;
        pendingEvents.emplace_back(event);
        if (pendingEvents.size() == 1)
            scheduleEventRetry();
    }

    void scheduleEventRetry()
    {
        eventRetryTimer.expires_after(eventRetryDelay);
        eventRetryTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            while (!self->pendingEvents.empty()
                   && self->onEvent(CallerEvent(self->pendingEvents.front())))
                self->pendingEvents.pop_front();
            if (!self->pendingEvents.empty())
                self->scheduleEventRetry();
        });
    }

    static void fillProblemResponse(http::response<http::string_body> &response,
                                    const Problem &problem, RequestOutcome outcome,
                                    std::uint32_t retryAfterSeconds)
    {
        response.set(http::field::content_type, "application/problem+json");
        response.set(outcomeHeader, toText(outcome));
        if (retryAfterSeconds > 0)
            response.set(http::field::retry_after, std::to_string(retryAfterSeconds));
        response.body() = problem.body;
    }

    asio::awaitable<bool> sendRefusal(Stream &stream, ReplyRefusal refusal, bool keepAlive,
                                      http::verb method = http::verb::unknown)
    {
        const Problem problem = makeProblem(refusal);
        http::response<http::string_body> response(http::status(problem.status), 11);
        fillProblemResponse(response, problem, refusal.outcome, refusal.retryAfterSeconds);
        response.keep_alive(keepAlive);
        response.prepare_payload();
        if (method == http::verb::head)
            response.body().clear();
        boost::system::error_code error;
        stream.expires_after(writeTimeout);
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && keepAlive;
    }

    asio::io_context &context;
    CallerLimits limits;
    std::shared_ptr<MemoryAccount> memory;
    std::size_t maxConnections;
    asio::ip::tcp::acceptor acceptor;
    EventHook onEvent;
    RequestId lastRequest;
    asio::steady_timer eventRetryTimer;
    std::deque<CallerEvent> pendingEvents; ///< to be retried because the core's queue was full
    std::size_t connections = 0;
    bool draining = false;
    ConfigurationPtr configuration;
    std::unordered_map<RequestId, std::shared_ptr<CallerExchange>> exchanges;
};

CallerServer::CallerServer(asio::io_context &context, const RouterSettings &settings,
                           EventHook onEvent, std::shared_ptr<MemoryAccount> memory)
    : m_state(
            std::make_shared<State>(context, settings, std::move(onEvent),
                                    memory ? std::move(memory) : std::make_shared<MemoryAccount>()))
{
}

CallerServer::~CallerServer() = default;

void CallerServer::start()
{
    asio::co_spawn(m_state->context, State::accept(m_state), asio::detached);
}

void CallerServer::reply(CallerReply &&reply)
{
    const RequestId id = std::visit([](const auto &part) { return part.request; }, reply);
    const auto found = m_state->exchanges.find(id);
    if (found == m_state->exchanges.end() || found->second->callerDisconnected)
        return;
    CallerExchange &exchange = *found->second;
    if (const auto *chunk = std::get_if<ReplyChunk>(&reply))
        exchange.answerBytes += chunk->data.size();
    exchange.replies.push_back(std::move(reply));
    exchange.wakeTimer.cancel();
    exchange.report();
}

void CallerServer::disconnect(RequestId request)
{
    const auto found = m_state->exchanges.find(request);
    if (found == m_state->exchanges.end())
        return;
    found->second->disconnect();
}

void CallerServer::setConfiguration(ConfigurationPtr configuration)
{
    m_state->configuration = std::move(configuration);
}

bool CallerServer::isIdle() const
{
    return m_state->exchanges.empty();
}

void CallerServer::startDraining()
{
    m_state->draining = true;
}

} // namespace bilberry::router
