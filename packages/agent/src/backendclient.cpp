#include "bilberry/agent/backendclient.h"

#include "bilberry/base/freestring.h"
#include "bilberry/http/boundedparser.h"
#include "bilberry/http/eventboundary.h"
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
#include <boost/json.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace bilberry::agent {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// Maximum number of answer bytes of one attempt in transit to the caller.
constexpr std::int64_t creditWindow = 256 << 10;
constexpr std::size_t readBufferSize = 32U << 10U;
/// Receive buffer in the kernel, which takes twice as much for it and holds what a caller is too
/// slow for. The kernel would let it grow to megabytes.
constexpr int receiveBufferBytes = 32 << 10;
/// Memory of an answer that is received: buffers, and what the kernel holds.
constexpr std::size_t answerBytes = readBufferSize + bilberry::http::maxReadBytes
                                    + 2 * static_cast<std::size_t>(receiveBufferBytes);
constexpr std::size_t maxIdleConnections = 256;
constexpr auto connectTimeout = std::chrono::seconds(1);
constexpr auto healthCheckTimeout = std::chrono::milliseconds(500);
constexpr std::size_t maxHealthBytes = 64U << 10U;
/// Consecutive failed health checks after which the server counts as unreachable.
constexpr int failuresToUnreachable = 2;

bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::te:
    case http::field::trailer:
    case http::field::proxy_connection:
        return true;
    default:
        return false;
    }
}

using Stream = beast::tcp_stream;
using AnswerParser = bilberry::http::BoundedParser<false, http::buffer_body>;

/// State of one request on the server.
struct RunningRequest
{
    RunningRequest(asio::io_context &context) : creditTimer(context) {}

    std::unique_ptr<Stream> stream;
    asio::steady_timer creditTimer;
    std::int64_t credit = creditWindow;
    boost::system::error_code uploadError; ///< of the write of the request
    bool stopped = false;
};

BackendHealth parseHealth(const std::string &body)
{
    BackendHealth health;
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    health.reachable = true;
    if (error || !document.is_object())
        return health;
    const json::object &object = document.as_object();
    const auto flag = [&](const char *name) {
        const json::value *value = object.if_contains(name);
        return value && value->is_bool() && value->as_bool();
    };
    const auto number = [&](const char *name) -> std::uint64_t {
        const json::value *value = object.if_contains(name);
        boost::system::error_code invalid;
        const auto result = value ? value->to_number<std::uint64_t>(invalid) : 0;
        return invalid ? 0 : result;
    };
    health.cold = flag("cold");
    health.leaving = flag("leaving");
    health.running = static_cast<std::uint32_t>(number("running"));
    health.serverIncarnation = number("incarnation");
    return health;
}

} // namespace

struct BackendClient::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, const AgentSettings &settings, EventHook onEvent,
          std::shared_ptr<MemoryAccount> account)
        : context(context), settings(settings),
          memory(account ? std::move(account) : std::make_shared<MemoryAccount>()),
          endpoint(asio::ip::make_address(settings.backendAddress), settings.backendPort),
          onEvent(std::move(onEvent))
    {
    }

    void execute(RunCommand &request)
    {
        const auto running = std::make_shared<RunningRequest>(context);
        attempts[request.attempt] = running;
        asio::co_spawn(context, run(shared_from_this(), std::move(request), running),
                       asio::detached);
    }

    void execute(StopCommand &request)
    {
        const auto found = attempts.find(request.attempt);
        if (found == attempts.end())
            return;
        found->second->stopped = true;
        found->second->creditTimer.cancel();
        if (found->second->stream)
            found->second->stream->close();
    }

    void execute(CreditCommand &request)
    {
        const auto found = attempts.find(request.attempt);
        if (found == attempts.end())
            return;
        found->second->credit += request.bytes; // 64 bits, so that unlimitedCredit doesn't overflow
        found->second->creditTimer.cancel();
    }

    /// An idle connection has nothing to read; a byte or an end of stream makes it unusable.
    /// @return true when the connection is open and has no unread data
    static bool isReusable(Stream &stream)
    {
        boost::system::error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    asio::awaitable<std::unique_ptr<Stream>> connect()
    {
        while (!idleStreams.empty()) {
            std::unique_ptr<Stream> stream = std::move(idleStreams.back());
            idleStreams.pop_back();
            if (isReusable(*stream))
                co_return stream;
        }
        auto stream = std::make_unique<Stream>(context);
        stream->expires_after(connectTimeout);
        boost::system::error_code error;
        // Takes effect only before the connect.
        stream->socket().open(endpoint.protocol(), error);
        stream->socket().set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes),
                                    error);
        co_await stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return nullptr;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return stream;
    }

    static asio::awaitable<void> run(std::shared_ptr<State> self, RunCommand request,
                                     std::shared_ptr<RunningRequest> running)
    {
        const AttemptId attempt = request.attempt;
        const BackendOutcome outcome = co_await self->exchange(std::move(request), *running);
        if (outcome != BackendOutcome::Complete)
            running->stream.reset();
        // Reports a crash to the core before the end of the attempt, so that the request is already
        // suspected when a router retries it on another server.
        if (outcome == BackendOutcome::Broken && !running->stopped) {
            std::unique_ptr<Stream> probe;
            const BackendHealth health = co_await self->checkHealth(probe);
            const bool restarted
                    = health.reachable && health.serverIncarnation != self->lastIncarnation;
            if (health.connectionRefused || restarted)
                self->onEvent(health);
        }
        if (running->stream && self->idleStreams.size() < maxIdleConnections)
            self->idleStreams.push_back(std::move(running->stream));
        self->attempts.erase(attempt);
        self->onEvent(
                BackendAnswerEnd{attempt, running->stopped && outcome != BackendOutcome::Complete
                                                  ? BackendOutcome::Stopped
                                                  : outcome});
    }

    asio::awaitable<BackendOutcome> exchange(RunCommand request, RunningRequest &running)
    {
        running.stream = co_await connect();
        if (!running.stream || running.stopped)
            co_return BackendOutcome::NotSent;
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        for (const wire::HeaderField &field : request.headers)
            message.insert(field.name, field.value);
        message.set(http::field::host, settings.backendAddress);
        message.body() = std::move(request.body);
        message.prepare_payload();
        boost::system::error_code error;
        running.stream->expires_after(settings.answerSilenceLimit);
        co_await http::async_write(*running.stream, message,
                                   asio::redirect_error(asio::use_awaitable, error));
        running.uploadError = error;
        freeString(message.body());
        request.memory.reset();
        // A server may answer and close the connection before it has read the whole request.
        const bool mayHaveAnswer
                = error == asio::error::broken_pipe || error == asio::error::connection_reset;
        if (error && !mayHaveAnswer)
            co_return BackendOutcome::Broken;
        MemoryHolder memoryOfAnswer(memory, nullptr, nullptr);
        memoryOfAnswer.update(MemoryUse::Serving, answerBytes);
        co_return co_await receiveAnswer(request.attempt, running, message.method());
    }

    asio::awaitable<BackendOutcome> receiveAnswer(AttemptId attempt, RunningRequest &running,
                                                  http::verb method)
    {
        Stream &stream = *running.stream;
        beast::flat_buffer buffer(bilberry::http::maxUnparsedBytes + bilberry::http::maxReadBytes);
        std::optional<AnswerParser> finalParser;
        const std::function<void(AnswerParser &)> prepare = [method](AnswerParser &next) {
            next.body_limit(boost::none);
            // The answer to HEAD has the length of a body but no body.
            next.skip(method == http::verb::head);
        };
        boost::system::error_code error
                = co_await bilberry::http::readResponseHeader(stream, buffer, finalParser, prepare);
        if (error)
            co_return BackendOutcome::Broken;
        AnswerParser &parser = *finalParser;
        sendHead(attempt, parser);
        std::optional<bilberry::http::EventBoundary> eventBoundary;
        const bool hasBody
                = method != http::verb::head && parser.get().result() != http::status::no_content;
        if (hasBody && bilberry::http::isEventStream(parser.get()[http::field::content_type]))
            eventBoundary.emplace();
        std::vector<char> chunk(readBufferSize);
        while (!parser.is_done()) {
            while (running.credit <= 0 && !running.stopped)
                co_await waitForCredit(running);
            if (running.stopped)
                co_return BackendOutcome::Stopped;
            parser.get().body() = {chunk.data(), chunk.size(), true};
            stream.expires_after(settings.answerSilenceLimit);
            co_await http::async_read_some(stream, buffer, parser,
                                           asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                co_return BackendOutcome::Broken;
            const std::size_t size = chunk.size() - parser.get().body().size;
            if (size > 0) {
                running.credit -= static_cast<std::int64_t>(size);
                if (eventBoundary)
                    eventBoundary->append({chunk.data(), size});
                onEvent(BackendAnswerChunk{attempt, std::string(chunk.data(), size)});
            }
        }
        const bool endsWithConnection = !parser.chunked() && !parser.content_length();
        if (eventBoundary && eventBoundary->isBrokenOff(endsWithConnection))
            co_return BackendOutcome::Broken;
        // The write has consumed the reset, so that the read found an ordinary end.
        if (endsWithConnection && running.uploadError == asio::error::connection_reset)
            co_return BackendOutcome::Broken;
        // Bytes after the answer belong to no request.
        if (!parser.get().keep_alive() || buffer.size() > 0 || running.uploadError)
            running.stream.reset();
        co_return BackendOutcome::Complete;
    }

    static asio::awaitable<void> waitForCredit(RunningRequest &running)
    {
        boost::system::error_code ignored;
        running.creditTimer.expires_after(std::chrono::hours(1));
        co_await running.creditTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void sendHead(AttemptId attempt, AnswerParser &parser)
    {
        BackendAnswerHead head{attempt, static_cast<std::uint16_t>(parser.get().result_int()), {}};
        for (const auto &field : parser.get().base()) {
            if (!isHopByHop(field.name()))
                head.headers.push_back(
                        {std::string(field.name_string()), std::string(field.value())});
        }
        onEvent(std::move(head));
    }

    static asio::awaitable<void> pollHealth(std::shared_ptr<State> self)
    {
        asio::steady_timer timer(self->context);
        int failures = failuresToUnreachable;
        for (;;) {
            const BackendHealth health = co_await self->checkHealth(self->healthStream);
            failures = health.reachable ? 0 : failures + 1;
            if (health.reachable)
                self->lastIncarnation = health.serverIncarnation;
            if (health.reachable || health.connectionRefused || failures >= failuresToUnreachable)
                self->onEvent(health);
            boost::system::error_code error;
            timer.expires_after(self->settings.healthPeriod);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    /// @param stream connection to use; opened when it isn't usable, and kept for the next check
    asio::awaitable<BackendHealth> checkHealth(std::unique_ptr<Stream> &stream)
    {
        boost::system::error_code error;
        if (!stream || !isReusable(*stream)) {
            stream = std::make_unique<Stream>(context);
            stream->expires_after(healthCheckTimeout);
            co_await stream->async_connect(endpoint,
                                           asio::redirect_error(asio::use_awaitable, error));
        }
        http::request<http::empty_body> request(http::verb::get, "/health", 11);
        request.set(http::field::host, settings.backendAddress);
        stream->expires_after(healthCheckTimeout);
        if (!error)
            co_await http::async_write(*stream, request,
                                       asio::redirect_error(asio::use_awaitable, error));
        beast::flat_buffer buffer;
        std::optional<bilberry::http::BoundedResponseParser> parser;
        if (!error)
            error = co_await bilberry::http::readResponse(*stream, buffer, parser, maxHealthBytes);
        if (error || parser->get().result() != http::status::ok) {
            stream.reset();
            BackendHealth health;
            health.connectionRefused = error == asio::error::connection_refused;
            co_return health;
        }
        co_return parseHealth(parser->get().body());
    }

    asio::io_context &context;
    AgentSettings settings;
    std::shared_ptr<MemoryAccount> memory;
    asio::ip::tcp::endpoint endpoint;
    EventHook onEvent;
    std::unordered_map<AttemptId, std::shared_ptr<RunningRequest>> attempts;
    std::vector<std::unique_ptr<Stream>> idleStreams;
    std::unique_ptr<Stream> healthStream;
    std::uint64_t lastIncarnation
            = 0; ///< of the server, in the last periodic health check that succeeded
};

BackendClient::BackendClient(asio::io_context &context, const AgentSettings &settings,
                             EventHook onEvent, std::shared_ptr<MemoryAccount> memory)
    : m_state(std::make_shared<State>(context, settings, std::move(onEvent), std::move(memory)))
{
}

BackendClient::~BackendClient() = default;

void BackendClient::start()
{
    asio::co_spawn(m_state->context, State::pollHealth(m_state), asio::detached);
}

void BackendClient::execute(BackendCommand &&command)
{
    std::visit([this](auto &alternative) { m_state->execute(alternative); }, command);
}

} // namespace bilberry::agent
