#include "support/backendstandin.h"

#include "bilberry/base/digest.h"

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

#include <algorithm>
#include <mutex>
#include <set>

namespace bilberry::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

using Request = http::request<http::string_body>;
using Stream = beast::tcp_stream;

constexpr auto crashDowntime = std::chrono::milliseconds(400);

long headerNumber(const Request &request, const char *header, long fallback)
{
    const std::string text(request[header]);
    return text.empty() ? fallback : std::stol(text);
}

} // namespace

struct BackendStandin::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, std::uint16_t port)
        : context(context),
          acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port)),
          endpoint(acceptor.local_endpoint())
    {
    }

    static asio::awaitable<void> accept(std::shared_ptr<State> self)
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(self->context);
            co_await self->acceptor.async_accept(socket,
                                                 asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            asio::co_spawn(self->context, serve(self, std::make_shared<Stream>(std::move(socket))),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<State> self, std::shared_ptr<Stream> stream)
    {
        self->streams.insert(stream);
        beast::flat_buffer buffer;
        bool keepAlive = true;
        while (keepAlive) {
            boost::system::error_code error;
            // Beast's default limit is below the bodies that routers may allow.
            http::request_parser<Request::body_type> parser;
            parser.body_limit(boost::none);
            co_await http::async_read(*stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
            const Request request = parser.release();
            if (request.target() == "/health")
                keepAlive = co_await self->health(*stream);
            else
                keepAlive = co_await self->run(*stream, request);
        }
        self->streams.erase(stream);
    }

    asio::awaitable<bool> health(Stream &stream)
    {
        http::response<http::string_body> response(http::status::ok, 11);
        {
            const std::lock_guard lock(mutex);
            response.body() = json::serialize(json::object{{"cold", cold},
                                                           {"leaving", leaving},
                                                           {"running", running},
                                                           {"incarnation", incarnation}});
        }
        response.prepare_payload();
        boost::system::error_code error;
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    std::size_t recordStart(const Request &request)
    {
        const std::lock_guard lock(mutex);
        accumulateBusyTime();
        ++running;
        maxRunning = std::max(maxRunning, running);
        if (cold)
            maxRunningCold = std::max(maxRunningCold, running);
        journal.push_back({std::string(request["X-Tag"]), std::string(request.method_string()),
                           Clock::now(), false, running, cold});
        return journal.size() - 1;
    }

    void recordEnd(std::size_t entry, bool whole, std::uint64_t startIncarnation)
    {
        const std::lock_guard lock(mutex);
        if (startIncarnation != incarnation)
            return;
        accumulateBusyTime();
        --running;
        journal[entry].completed = whole;
        completed += whole ? 1 : 0;
    }

    /// Adds the busy time since the last change of the number of running requests.
    void accumulateBusyTime()
    {
        const TimePoint now = Clock::now();
        busyMs += running * toMilliseconds(now - accumulatedAt);
        accumulatedAt = now;
    }

    asio::awaitable<bool> run(Stream &stream, const Request &request)
    {
        const std::uint64_t startIncarnation = incarnation;
        const std::size_t entry = recordStart(request);
        if (!request["X-Crash"].empty()) {
            co_await pause(std::chrono::milliseconds(headerNumber(request, "X-Ms", 0)));
            crash(crashDowntime);
            co_return false;
        }
        const bool whole = co_await answer(stream, request);
        recordEnd(entry, whole, startIncarnation);
        co_return whole;
    }

    asio::awaitable<bool> answer(Stream &stream, const Request &request)
    {
        const long chunks = headerNumber(request, "X-Chunks", 0);
        const auto duration = std::chrono::milliseconds(headerNumber(request, "X-Ms", 0));
        if (chunks > 0)
            co_return co_await streamAnswer(stream, request, chunks, duration);
        if (duration.count() > 0)
            co_await pause(duration);
        http::response<http::string_body> response(http::status::ok, 11);
        response.set("X-Tag", request["X-Tag"]);
        response.body()
                = std::string(request["X-Tag"])
                  + std::string(static_cast<std::size_t>(headerNumber(request, "X-Bytes", 0)), 'x');
        response.prepare_payload();
        if (request.method() == http::verb::head)
            response.body().clear();
        boost::system::error_code error;
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    asio::awaitable<bool> streamAnswer(Stream &stream, const Request &request, long chunks,
                                       std::chrono::milliseconds duration)
    {
        http::response<http::empty_body> response(http::status::ok, 11);
        response.set("X-Tag", request["X-Tag"]);
        response.set(http::field::content_type, "text/event-stream");
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        boost::system::error_code error;
        co_await http::async_write_header(stream, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
        const bool truncate = !request["X-Truncate"].empty();
        const std::size_t size = static_cast<std::size_t>(headerNumber(request, "X-Bytes", 0));
        asio::steady_timer timer(context, Clock::now());
        const auto interval = std::chrono::duration_cast<Duration>(duration) / chunks;
        for (long i = 0; i < chunks && !error; ++i) {
            if (truncate && i == chunks / 2)
                co_return false;
            if (interval.count() > 0) {
                boost::system::error_code ignored;
                timer.expires_at(timer.expiry() + interval);
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
            const std::string data = "data: " + std::string(request["X-Tag"]) + ' '
                                     + std::to_string(i) + std::string(size, 'x') + "\n\n";
            co_await asio::async_write(stream, http::make_chunk(asio::buffer(data)),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        if (!error)
            co_await asio::async_write(stream, http::make_chunk_last(),
                                       asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    asio::awaitable<void> pause(std::chrono::milliseconds duration)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(context, duration);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Call only on the stand-in's thread.
    void crash(Duration downtime)
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto &stream : streams)
            stream->socket().close(ignored);
        {
            const std::lock_guard lock(mutex);
            accumulateBusyTime();
            running = 0;
            incarnation = randomId() >> 12U;
            cold = coldAfterCrash;
        }
        const auto timer = std::make_shared<asio::steady_timer>(context, downtime);
        timer->async_wait([self = shared_from_this(), timer](boost::system::error_code error) {
            if (!error)
                self->reopen();
        });
    }

    void reopen()
    {
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        asio::co_spawn(context, accept(shared_from_this()), asio::detached);
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint endpoint;
    std::set<std::shared_ptr<Stream>> streams;
    mutable std::mutex mutex;
    bool cold = false;
    bool coldAfterCrash = false;
    bool leaving = false;
    std::uint32_t running = 0;
    std::uint32_t maxRunning = 0;
    std::uint32_t maxRunningCold = 0;
    std::uint64_t completed = 0;
    std::uint64_t incarnation = randomId() >> 12U;
    double busyMs = 0.0;
    TimePoint accumulatedAt = Clock::now();
    std::vector<JournalEntry> journal;
};

BackendStandin::BackendStandin(std::uint16_t port) : m_eventLoop("backend")
{
    m_state = std::make_shared<State>(m_eventLoop.context(), port);
    asio::co_spawn(m_eventLoop.context(), State::accept(m_state), asio::detached);
    m_eventLoop.start();
}

BackendStandin::~BackendStandin()
{
    m_eventLoop.stop();
}

std::uint16_t BackendStandin::port() const
{
    return m_state->endpoint.port();
}

void BackendStandin::setCold(bool cold)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->cold = cold;
}

void BackendStandin::setLeaving(bool leaving)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->leaving = leaving;
}

void BackendStandin::crash(Duration downtime)
{
    asio::post(m_eventLoop.context(), [state = m_state, downtime] { state->crash(downtime); });
}

std::vector<JournalEntry> BackendStandin::journal() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->journal;
}

std::size_t BackendStandin::runs(const std::string &tag) const
{
    const std::lock_guard lock(m_state->mutex);
    return static_cast<std::size_t>(
            std::count_if(m_state->journal.begin(), m_state->journal.end(),
                          [&](const JournalEntry &entry) { return entry.tag == tag; }));
}

std::uint32_t BackendStandin::running() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->running;
}

std::uint32_t BackendStandin::maxRunning() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->maxRunning;
}

std::uint32_t BackendStandin::maxRunningCold() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->maxRunningCold;
}

std::uint64_t BackendStandin::completed() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->completed;
}

double BackendStandin::busyMs() const
{
    const std::lock_guard lock(m_state->mutex);
    m_state->accumulateBusyTime();
    return m_state->busyMs;
}

} // namespace bilberry::tests
