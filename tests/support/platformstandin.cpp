#include "support/platformstandin.h"

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

#include <map>
#include <mutex>

namespace bilberry::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::size_t maxValueSize = 1U << 20U;
constexpr auto watchPoll = std::chrono::milliseconds(10);

std::string decodePath(const std::string &path)
{
    std::string text;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] == '%' && i + 2 < path.size()) {
            text.push_back(static_cast<char>(std::stoi(path.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            text.push_back(path[i]);
        }
    }
    return text;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    const std::size_t start = query.find(name + "=");
    if (start == std::string::npos)
        return "";
    const std::size_t begin = start + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

Response emptyResponse(http::status status)
{
    return {status, 11};
}

} // namespace

struct PlatformStandin::State : std::enable_shared_from_this<State>
{
    struct StoredObject
    {
        store::ObjectVersion version = 0;
        std::string value;
    };

    State(asio::io_context &context, std::uint16_t port)
        : context(context),
          acceptor(context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port))
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
            asio::co_spawn(self->context, serve(self, beast::tcp_stream(std::move(socket))),
                           asio::detached);
        }
    }

    static asio::awaitable<void> serve(std::shared_ptr<State> self, beast::tcp_stream stream)
    {
        beast::flat_buffer buffer;
        boost::system::error_code error;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(2 * maxValueSize);
            co_await http::async_read(stream, buffer, parser,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            const Request request = parser.release();
            ++self->calls;
            if (self->faults.delayMs > 0)
                co_await self->pause(std::chrono::milliseconds(self->faults.delayMs.load()));
            if (self->faults.down)
                co_return;
            const bool isWrite = request.method() != http::verb::get;
            if (isWrite && consume(self->faults.lostWrites))
                co_return;
            Response response = co_await self->answer(request);
            if (self->faults.down || (isWrite && consume(self->faults.lostWriteAnswers)))
                co_return;
            response.keep_alive(true);
            response.prepare_payload();
            co_await http::async_write(stream, response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
        }
    }

    static bool consume(std::atomic<int> &count)
    {
        if (count <= 0)
            return false;
        --count;
        return true;
    }

    asio::awaitable<void> pause(std::chrono::milliseconds duration)
    {
        boost::system::error_code ignored;
        asio::steady_timer timer(context, duration);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    bool exceedsRate()
    {
        const TimePoint now = Clock::now();
        if (now - secondStart >= std::chrono::seconds(1)) {
            secondStart = now;
            callsInSecond = 0;
        }
        return ++callsInSecond > faults.callsPerSecond;
    }

    asio::awaitable<Response> answer(const Request &request)
    {
        if (exceedsRate())
            co_return emptyResponse(http::status::too_many_requests);
        const std::string target(request.target());
        const std::string path = target.substr(0, target.find('?'));
        const std::string query
                = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        if (path == "/vms")
            co_return vmList();
        if (path == "/objects")
            co_return list(decodePath(queryValue(query, "prefix")));
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix))
            co_return emptyResponse(http::status::not_found);
        const std::string name = decodePath(path.substr(prefix.size()));
        const std::string knownVersion = queryValue(query, "watch");
        if (!knownVersion.empty())
            co_return co_await watch(
                    name, std::stoull(knownVersion),
                    std::chrono::milliseconds(std::stol(queryValue(query, "wait"))));
        if (request.method() == http::verb::get)
            co_return get(name);
        if (request.method() == http::verb::put)
            co_return put(name, request);
        co_return remove(name, request);
    }

    Response get(const std::string &name)
    {
        const std::lock_guard lock(mutex);
        const auto found = objects.find(name);
        if (found == objects.end())
            return emptyResponse(http::status::not_found);
        return objectResponse(found->second, true);
    }

    static Response objectResponse(const StoredObject &object, bool withValue)
    {
        Response response = emptyResponse(http::status::ok);
        response.set(http::field::etag, '"' + std::to_string(object.version) + '"');
        if (withValue)
            response.body() = object.value;
        return response;
    }

    asio::awaitable<Response> watch(std::string name, store::ObjectVersion knownVersion,
                                    std::chrono::milliseconds limit)
    {
        const TimePoint deadline = Clock::now() + limit;
        for (;;) {
            {
                const std::lock_guard lock(mutex);
                const auto found = objects.find(name);
                const store::ObjectVersion version
                        = found == objects.end() ? 0 : found->second.version;
                if (version != knownVersion && version != 0)
                    co_return objectResponse(found->second, true);
                if (version != knownVersion)
                    co_return emptyResponse(http::status::not_found);
            }
            if (Clock::now() >= deadline || faults.down)
                co_return emptyResponse(http::status::not_modified);
            co_await pause(watchPoll);
        }
    }

    Response put(const std::string &name, const Request &request)
    {
        if (request.body().size() > maxValueSize)
            return emptyResponse(http::status::payload_too_large);
        const std::lock_guard lock(mutex);
        const auto found = objects.find(name);
        const bool create = request[http::field::if_none_match] == "*";
        if (create && found != objects.end())
            return emptyResponse(http::status::precondition_failed);
        if (!create && (found == objects.end() || !matches(found->second, request)))
            return emptyResponse(http::status::precondition_failed);
        StoredObject &object = objects[name];
        object.version = ++lastVersion;
        object.value = request.body();
        return objectResponse(object, false);
    }

    Response remove(const std::string &name, const Request &request)
    {
        const std::lock_guard lock(mutex);
        const auto found = objects.find(name);
        if (found == objects.end())
            return emptyResponse(http::status::not_found);
        if (!matches(found->second, request))
            return emptyResponse(http::status::precondition_failed);
        objects.erase(found);
        return emptyResponse(http::status::no_content);
    }

    static bool matches(const StoredObject &object, const Request &request)
    {
        return request[http::field::if_match] == '"' + std::to_string(object.version) + '"';
    }

    Response list(const std::string &prefix)
    {
        json::array rows;
        const std::lock_guard lock(mutex);
        for (auto object = objects.lower_bound(prefix);
             object != objects.end() && object->first.starts_with(prefix); ++object)
            rows.push_back(json::object{{"name", object->first},
                                        {"version", object->second.version},
                                        {"value", object->second.value}});
        Response response = emptyResponse(http::status::ok);
        response.body() = json::serialize(rows);
        return response;
    }

    Response vmList()
    {
        json::array rows;
        const std::lock_guard lock(mutex);
        for (const store::Vm &vm : vms)
            rows.push_back(
                    json::object{{"name", vm.name},
                                 {"role", vm.role == store::VmRole::Agent ? "agent" : "router"},
                                 {"zone", vm.zone.text()},
                                 {"address", vm.address},
                                 {"port", vm.port},
                                 {"adminPort", vm.adminPort},
                                 {"leaving", vm.leaving}});
        Response response = emptyResponse(http::status::ok);
        response.body() = json::serialize(rows);
        return response;
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    PlatformFaults faults;
    std::atomic<std::uint64_t> calls = 0;
    TimePoint secondStart{};
    int callsInSecond = 0;
    mutable std::mutex mutex;
    std::map<std::string, StoredObject> objects;
    std::vector<store::Vm> vms;
    store::ObjectVersion lastVersion = 0;
};

PlatformStandin::PlatformStandin(std::uint16_t port) : m_eventLoop("platform")
{
    m_state = std::make_shared<State>(m_eventLoop.context(), port);
    asio::co_spawn(m_eventLoop.context(), State::accept(m_state), asio::detached);
    m_eventLoop.start();
}

PlatformStandin::~PlatformStandin()
{
    m_eventLoop.stop();
}

std::uint16_t PlatformStandin::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

PlatformFaults &PlatformStandin::faults()
{
    return m_state->faults;
}

void PlatformStandin::setVms(std::vector<store::Vm> vms)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->vms = std::move(vms);
}

std::uint64_t PlatformStandin::calls() const
{
    return m_state->calls;
}

std::string PlatformStandin::value(const std::string &name) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->objects.find(name);
    return found == m_state->objects.end() ? "" : found->second.value;
}

std::vector<std::string> PlatformStandin::names(const std::string &prefix) const
{
    const std::lock_guard lock(m_state->mutex);
    std::vector<std::string> result;
    for (const auto &[name, object] : m_state->objects) {
        if (name.starts_with(prefix))
            result.push_back(name);
    }
    return result;
}

} // namespace bilberry::tests
