#include "bilberry/router/callerserver.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/log.h"
#include "bilberry/router/problem.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <deque>
#include <unordered_map>

namespace bilberry::router {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Stream = beast::tcp_stream;
using RequestParser = http::request_parser<http::string_body>;
using HttpRequest = http::request<http::string_body>;

constexpr char outcomeHeader[] = "Bilberry-Outcome";
constexpr char costHintHeader[] = "Bilberry-Cost-Hint";
constexpr char idempotencyHeader[] = "Idempotency-Key";
constexpr char apiKeyHeader[] = "X-Api-Key";
constexpr std::size_t maxIdempotencyKey = 256;
/// Bytes taken by the caller that are worth a credit message.
constexpr std::uint32_t creditStep = 64U << 10U;
constexpr auto writeLimit = std::chrono::seconds(60);

/// Replies that wait to be written to one caller.
struct Exchange
{
    explicit Exchange(asio::io_context &context) : wake(context) {}

    asio::steady_timer wake;
    std::deque<CallerReply> replies;
    bool callerGone = false;
};

bool isEnd(const CallerReply &reply)
{
    return std::holds_alternative<ReplyEnd>(reply) || std::holds_alternative<ReplyRefusal>(reply);
}

/// Headers that end at this router or that it sets itself.
bool staysHere(http::field field, beast::string_view name)
{
    switch (field) {
    case http::field::authorization:
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::host:
    case http::field::keep_alive:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        return beast::iequals(name, apiKeyHeader) || beast::iequals(name, costHintHeader);
    }
}

std::string presentedKey(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request[http::field::authorization];
    if (authorization.starts_with(scheme))
        return std::string(authorization.substr(scheme.size()));
    return std::string(request[apiKeyHeader]);
}

std::optional<double> costHint(const HttpRequest &request)
{
    const std::string_view text = request[costHintHeader];
    double hint = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), hint);
    if (text.empty() || parsed.ec != std::errc() || !(hint > 0.0))
        return std::nullopt;
    return hint;
}

bool hasNoBody(std::uint16_t status, http::verb method)
{
    return method == http::verb::head || status == 204 || status == 304;
}

RefusalKind refusalFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return RefusalKind::HeadTooLarge;
    if (error == http::error::body_limit)
        return RefusalKind::BodyTooLarge;
    if (error == beast::error::timeout)
        return RefusalKind::SlowSender;
    return RefusalKind::MalformedRequest;
}

} // namespace

struct CallerServer::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, const RouterSettings &settings, EventHook onEvent)
        : context(context), limits(settings.callers),
          acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(settings.listenAddress),
                                                    settings.callerPort)),
          onEvent(std::move(onEvent)), lastRequest(randomId())
    {
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
            if (error || self->connections >= self->limits.connections)
                continue;
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            ++self->connections;
            asio::co_spawn(self->context, serve(self, std::make_shared<Stream>(std::move(socket))),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<State> self, std::shared_ptr<Stream> stream)
    {
        beast::flat_buffer buffer;
        bool keepAlive = true;
        while (keepAlive)
            keepAlive = co_await self->serveOne(stream, buffer);
        boost::system::error_code ignored;
        stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        stream->close();
        --self->connections;
    }

    // One request.

    /// @return true when another request may follow on the connection
    asio::awaitable<bool> serveOne(std::shared_ptr<Stream> stream, beast::flat_buffer &buffer)
    {
        if (buffer.size() == 0 && !co_await waitForBytes(*stream))
            co_return false;
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.headBytes));
        parser.body_limit(limits.bodyBytes);
        boost::system::error_code error;
        stream->expires_after(limits.headLimit);
        co_await http::async_read_header(*stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::end_of_stream)
            co_return false;
        if (!error) {
            stream->expires_after(limits.bodyLimit);
            co_await http::async_read(*stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            const ReplyRefusal refusal{0, refusalFor(error), RequestOutcome::NotRun, 0, ""};
            co_await refuse(*stream, refusal, false);
            co_return false;
        }
        const HttpRequest request = parser.release();
        Submit submit;
        const auto refusal = check(request, submit);
        if (refusal) {
            const ReplyRefusal reply{0, *refusal, RequestOutcome::NotRun,
                                     *refusal == RefusalKind::NoConfiguration ? 1U : 0U, ""};
            co_return co_await refuse(*stream, reply, request.keep_alive());
        }
        co_return co_await exchange(stream, request, std::move(submit));
    }

    asio::awaitable<bool> waitForBytes(Stream &stream)
    {
        boost::system::error_code error;
        asio::steady_timer timer(context, limits.idleLimit);
        timer.async_wait([&stream](boost::system::error_code cancelled) {
            if (!cancelled)
                stream.close();
        });
        co_await stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                            asio::redirect_error(asio::use_awaitable, error));
        timer.cancel();
        co_return !error && !draining;
    }

    std::optional<RefusalKind> check(const HttpRequest &request, Submit &submit) const
    {
        if (draining)
            return RefusalKind::Stopping;
        const std::string key = presentedKey(request);
        if (key.empty())
            return RefusalKind::MissingKey;
        if (!configuration || configuration->revision() == 0)
            return RefusalKind::NoConfiguration;
        const Customer *customer = configuration->customerByKey(sha256Hex(key));
        if (!customer)
            return RefusalKind::UnknownKey;
        const std::string target(request.target());
        const Route *route = configuration->routeFor(target.substr(0, target.find('?')));
        if (!route)
            return RefusalKind::UnknownRoute;
        if (request[idempotencyHeader].size() > maxIdempotencyKey)
            return RefusalKind::MalformedRequest;
        submit.customer = customer->id;
        submit.pool = route->pool;
        submit.method = std::string(request.method_string());
        submit.mayRepeat = bilberry::mayRepeat(*route, submit.method);
        submit.idempotencyKey = std::string(request[idempotencyHeader]);
        submit.costHint = costHint(request);
        submit.target = target;
        for (const auto &field : request.base()) {
            if (!staysHere(field.name(), field.name_string()))
                submit.headers.push_back(
                        {std::string(field.name_string()), std::string(field.value())});
        }
        submit.body = request.body();
        return std::nullopt;
    }

    asio::awaitable<bool> exchange(std::shared_ptr<Stream> stream, const HttpRequest &request,
                                   Submit submit)
    {
        const RequestId id = ++lastRequest;
        submit.request = id;
        const auto exchange = std::make_shared<Exchange>(context);
        exchanges[id] = exchange;
        if (!onEvent(std::move(submit))) {
            exchanges.erase(id);
            const ReplyRefusal refusal{id, RefusalKind::Overloaded, RequestOutcome::NotRun, 1, ""};
            co_return co_await refuse(*stream, refusal, request.keep_alive());
        }
        stream->expires_never();
        asio::co_spawn(context, watchCaller(shared_from_this(), id, stream, exchange),
                       asio::detached);
        const bool keepAlive = co_await answer(*stream, request, id, *exchange);
        exchanges.erase(id);
        // Ends the watch of the caller.
        boost::system::error_code ignored;
        stream->socket().cancel(ignored);
        co_return keepAlive;
    }

    /// Notices a caller that closes its connection while it waits.
    static asio::awaitable<void> watchCaller(std::shared_ptr<State> self, RequestId id,
                                             std::shared_ptr<Stream> stream,
                                             std::shared_ptr<Exchange> exchange)
    {
        boost::system::error_code error;
        co_await stream->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                             asio::redirect_error(asio::use_awaitable, error));
        if (error || !self->exchanges.contains(id))
            co_return;
        char byte = 0;
        stream->socket().non_blocking(true, error);
        const std::size_t size = stream->socket().receive(
                asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
        // A pipelined request is no goodbye; the caller is then no longer watched.
        if (!error && size > 0)
            co_return;
        exchange->callerGone = true;
        exchange->wake.cancel();
    }

    asio::awaitable<void> waitForReplies(Exchange &exchange)
    {
        while (exchange.replies.empty() && !exchange.callerGone) {
            boost::system::error_code ignored;
            exchange.wake.expires_after(std::chrono::hours(24));
            co_await exchange.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

    asio::awaitable<bool> answer(Stream &stream, const HttpRequest &request, RequestId id,
                                 Exchange &exchange)
    {
        co_await waitForReplies(exchange);
        if (exchange.replies.empty()) {
            tellGone(id);
            co_return false;
        }
        if (auto *refusal = std::get_if<ReplyRefusal>(&exchange.replies.front())) {
            const ReplyRefusal reply = std::move(*refusal);
            co_return co_await refuse(stream, reply, request.keep_alive());
        }
        const ReplyHead head = std::get<ReplyHead>(std::move(exchange.replies.front()));
        exchange.replies.pop_front();
        if (!exchange.replies.empty() && isEnd(exchange.replies.back()))
            co_return co_await answerWhole(stream, request, head, exchange);
        co_return co_await answerStreamed(stream, request, id, head, exchange);
    }

    template <typename Body>
    static http::response<Body> makeHead(const HttpRequest &request, const ReplyHead &head)
    {
        http::response<Body> response;
        response.version(11);
        response.result(head.status);
        for (const wire::HeaderField &field : head.headers)
            response.insert(field.name, field.value);
        response.keep_alive(request.keep_alive());
        return response;
    }

    /// The whole answer is here already: one write with its length.
    asio::awaitable<bool> answerWhole(Stream &stream, const HttpRequest &request,
                                      const ReplyHead &head, Exchange &exchange)
    {
        const auto *end = std::get_if<ReplyEnd>(&exchange.replies.back());
        if (!end || !end->complete)
            co_return false;
        auto response = makeHead<http::string_body>(request, head);
        for (CallerReply &reply : exchange.replies) {
            if (auto *chunk = std::get_if<ReplyChunk>(&reply))
                response.body() += chunk->data;
        }
        if (!hasNoBody(head.status, request.method()))
            response.prepare_payload();
        stream.expires_after(writeLimit);
        boost::system::error_code error;
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && response.keep_alive();
    }

    asio::awaitable<bool> answerStreamed(Stream &stream, const HttpRequest &request, RequestId id,
                                         const ReplyHead &head, Exchange &exchange)
    {
        auto response = makeHead<http::empty_body>(request, head);
        const bool chunked = request.version() >= 11 && !hasNoBody(head.status, request.method());
        response.chunked(chunked);
        if (!chunked)
            response.keep_alive(false);
        http::response_serializer<http::empty_body> serializer(response);
        boost::system::error_code error;
        stream.expires_after(writeLimit);
        co_await http::async_write_header(stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        std::uint32_t undeclared = 0;
        while (!error) {
            co_await waitForReplies(exchange);
            if (exchange.replies.empty())
                break;
            const std::string data = takeChunks(exchange);
            if (!data.empty()) {
                stream.expires_after(writeLimit);
                co_await writeData(stream, data, chunked, error);
                undeclared += static_cast<std::uint32_t>(data.size());
                if (!error && undeclared >= creditStep)
                    static_cast<void>(onEvent(CallerDrained{id, std::exchange(undeclared, 0)}));
                continue;
            }
            const auto *end = std::get_if<ReplyEnd>(&exchange.replies.front());
            if (!end || !end->complete) {
                breakOff(stream, chunked);
                co_return false;
            }
            if (chunked)
                co_await asio::async_write(stream, http::make_chunk_last(),
                                           asio::redirect_error(asio::use_awaitable, error));
            co_return !error && response.keep_alive();
        }
        breakOff(stream, chunked);
        tellGone(id);
        co_return false;
    }

    /// An answer that broke off must not look complete. One in chunks lacks the last of them; one
    /// of HTTP/1.0 ends with its connection, which therefore has to be reset.
    static void breakOff(Stream &stream, bool chunked)
    {
        if (chunked)
            return;
        boost::system::error_code ignored;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        stream.socket().close(ignored);
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

    /// Joins the chunks that are waiting, so that one write carries them.
    static std::string takeChunks(Exchange &exchange)
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

    void tellGone(RequestId id) { static_cast<void>(onEvent(CallerGone{id})); }

    asio::awaitable<bool> refuse(Stream &stream, ReplyRefusal refusal, bool keepAlive)
    {
        const Problem problem = makeProblem(refusal);
        http::response<http::string_body> response(http::status(problem.status), 11);
        response.set(http::field::content_type, "application/problem+json");
        response.set(outcomeHeader, toText(refusal.outcome));
        if (refusal.retryAfterSeconds > 0)
            response.set(http::field::retry_after, std::to_string(refusal.retryAfterSeconds));
        response.body() = problem.body;
        response.keep_alive(keepAlive);
        response.prepare_payload();
        boost::system::error_code error;
        stream.expires_after(writeLimit);
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error && keepAlive;
    }

    asio::io_context &context;
    CallerLimits limits;
    asio::ip::tcp::acceptor acceptor;
    EventHook onEvent;
    RequestId lastRequest;
    std::size_t connections = 0;
    bool draining = false;
    ConfigurationPtr configuration;
    std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges;
};

CallerServer::CallerServer(asio::io_context &context, const RouterSettings &settings,
                           EventHook onEvent)
    : m_state(std::make_shared<State>(context, settings, std::move(onEvent)))
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
    if (found == m_state->exchanges.end() || found->second->callerGone)
        return;
    found->second->replies.push_back(std::move(reply));
    found->second->wake.cancel();
}

void CallerServer::cutOff(RequestId request)
{
    const auto found = m_state->exchanges.find(request);
    if (found == m_state->exchanges.end())
        return;
    found->second->callerGone = true;
    found->second->replies.clear();
    found->second->wake.cancel();
}

void CallerServer::setConfiguration(ConfigurationPtr configuration)
{
    m_state->configuration = std::move(configuration);
}

bool CallerServer::idle() const
{
    return m_state->exchanges.empty();
}

void CallerServer::drain()
{
    m_state->draining = true;
}

} // namespace bilberry::router
