#include "bilberry/platform/httpobjectstore.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace bilberry::platform {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::size_t maxIdleConnections = 8;
constexpr std::size_t maxAnswerSize = 64U << 20U;
/// Largest value that the platform holds, in bytes.
constexpr std::size_t maxValueSize = 1U << 20U;

/// Whether an unanswered call leaves the outcome open.
enum class CallEffect { Read, Write };

/// Smooths the process's calls; refills continuously up to one second's worth.
class CallBudget
{
public:
    explicit CallBudget(double callsPerSecond)
        : m_rate(callsPerSecond), m_tokens(callsPerSecond), m_refilled(Clock::now())
    {
    }

    bool take()
    {
        const TimePoint now = Clock::now();
        m_tokens = std::min(m_rate, m_tokens + m_rate * toMilliseconds(now - m_refilled) / 1000.0);
        m_refilled = now;
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_tokens;
    TimePoint m_refilled;
};

std::string encodePath(const std::string &name)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string path;
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) || c == '-' || c == '_' || c == '.' || c == '/') {
            path.push_back(c);
        } else {
            path.push_back('%');
            path.push_back(digits[byte >> 4]);
            path.push_back(digits[byte & 0x0f]);
        }
    }
    return path;
}

std::string quoted(ObjectVersion version)
{
    return '"' + std::to_string(version) + '"';
}

Result<ObjectVersion> versionOf(const HttpResponse &response)
{
    const beast::string_view tag = response[http::field::etag];
    ObjectVersion version = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return PlatformErrc::Malformed;
    const char *end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return PlatformErrc::Malformed;
    return version;
}

/// Maps a status that is not a success.
std::error_code errorOf(const HttpResponse &response, CallEffect effect)
{
    switch (response.result()) {
    case http::status::not_modified:
        return PlatformErrc::NotChanged;
    case http::status::not_found:
        return PlatformErrc::NotFound;
    case http::status::conflict:
    case http::status::precondition_failed:
        return PlatformErrc::Conflict;
    case http::status::payload_too_large:
        return PlatformErrc::TooLarge;
    case http::status::too_many_requests:
        return PlatformErrc::RateLimited;
    // A 503 may come from a gateway that lost the answer to a write.
    default:
        return effect == CallEffect::Write ? PlatformErrc::OutcomeUnknown
                                           : PlatformErrc::Unavailable;
    }
}

template <typename F>
auto decode(F &&read) -> Result<decltype(read())>
{
    try {
        return read();
    } catch (const std::exception &) {
        return PlatformErrc::Malformed;
    }
}

Vm decodeVm(const json::value &value)
{
    Vm vm;
    vm.name = json::value_to<std::string>(value.at("name"));
    vm.role = value.at("role").as_string() == "agent" ? VmRole::Agent : VmRole::Router;
    vm.zone = ZoneId(json::value_to<std::string>(value.at("zone")));
    vm.address = json::value_to<std::string>(value.at("address"));
    vm.port = value.at("port").to_number<std::uint16_t>();
    vm.adminPort = value.at("adminPort").to_number<std::uint16_t>();
    vm.leaving = value.at("leaving").as_bool();
    return vm;
}

Object decodeObject(const json::value &value)
{
    return {json::value_to<std::string>(value.at("name")),
            value.at("version").to_number<ObjectVersion>(),
            json::value_to<std::string>(value.at("value"))};
}

class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(asio::io_context &context, const PlatformSettings &settings, CallHook onCall)
        : m_context(context), m_settings(settings), m_onCall(std::move(onCall)),
          m_budget(settings.callsPerSecond)
    {
    }

    Awaitable<Result<Object>> get(std::string name) override
    {
        const auto response = co_await call("get", objectRequest(http::verb::get, name),
                                            m_settings.callLimit, CallEffect::Read);
        co_return toObject(name, response);
    }

    Awaitable<Result<std::vector<Object>>> list(std::string prefix) override
    {
        HttpRequest request(http::verb::get, "/objects?prefix=" + encodePath(prefix), 11);
        const auto response
                = co_await call("list", std::move(request), m_settings.callLimit, CallEffect::Read);
        co_return response.andThen([](const HttpResponse &answer) {
            return decode([&] {
                std::vector<Object> objects;
                const json::value document = json::parse(answer.body());
                for (const json::value &value : document.as_array())
                    objects.push_back(decodeObject(value));
                return objects;
            });
        });
    }

    Awaitable<Result<ObjectVersion>> create(std::string name, std::string value) override
    {
        if (value.size() > maxValueSize)
            co_return PlatformErrc::TooLarge;
        HttpRequest request = objectRequest(http::verb::put, name);
        request.set(http::field::if_none_match, "*");
        request.body() = std::move(value);
        const auto response = co_await call("create", std::move(request), m_settings.callLimit,
                                            CallEffect::Write);
        co_return response.andThen(versionOf);
    }

    Awaitable<Result<ObjectVersion>> update(std::string name, ObjectVersion expected,
                                            std::string value) override
    {
        if (value.size() > maxValueSize)
            co_return PlatformErrc::TooLarge;
        HttpRequest request = objectRequest(http::verb::put, name);
        request.set(http::field::if_match, quoted(expected));
        request.body() = std::move(value);
        const auto response = co_await call("update", std::move(request), m_settings.callLimit,
                                            CallEffect::Write);
        co_return response.andThen(versionOf);
    }

    Awaitable<Status> remove(std::string name, ObjectVersion expected) override
    {
        HttpRequest request = objectRequest(http::verb::delete_, name);
        request.set(http::field::if_match, quoted(expected));
        const auto response = co_await call("delete", std::move(request), m_settings.callLimit,
                                            CallEffect::Write);
        co_return response.map([](const HttpResponse &) { return Unit(); });
    }

    Awaitable<Result<Object>> watch(std::string name, ObjectVersion known, Duration limit) override
    {
        HttpRequest request = objectRequest(http::verb::get, name);
        request.target(std::string(request.target()) + "?watch=" + std::to_string(known)
                       + "&wait=" + std::to_string(static_cast<long>(toMilliseconds(limit))));
        const auto response = co_await call("watch", std::move(request),
                                            limit + m_settings.callLimit, CallEffect::Read);
        co_return toObject(name, response);
    }

    Awaitable<Result<std::vector<Vm>>> vms() override
    {
        const auto response = co_await call("vms", HttpRequest(http::verb::get, "/vms", 11),
                                            m_settings.callLimit, CallEffect::Read);
        co_return response.andThen([](const HttpResponse &answer) {
            return decode([&] {
                std::vector<Vm> vms;
                const json::value document = json::parse(answer.body());
                for (const json::value &value : document.as_array())
                    vms.push_back(decodeVm(value));
                return vms;
            });
        });
    }

private:
    using Stream = beast::tcp_stream;

    static HttpRequest objectRequest(http::verb verb, const std::string &name)
    {
        return {verb, "/objects/" + encodePath(name), 11};
    }

    static Result<Object> toObject(const std::string &name, const Result<HttpResponse> &response)
    {
        return response.andThen([&](const HttpResponse &answer) {
            return versionOf(answer).map([&](ObjectVersion version) {
                return Object{name, version, answer.body()};
            });
        });
    }

    Awaitable<Result<HttpResponse>> call(const char *kind, HttpRequest request, Duration limit,
                                         CallEffect effect)
    {
        if (!m_budget.take())
            co_return PlatformErrc::BudgetSpent;
        m_onCall(kind);
        request.set(http::field::host, m_settings.address);
        request.prepare_payload();
        const TimePoint deadline = Clock::now() + limit;
        bool reused = !m_idle.empty();
        auto response = co_await send(request, deadline, effect);
        // The platform may close an idle connection just as it is used again.
        while (!response && reused && effect == CallEffect::Read && Clock::now() < deadline) {
            reused = !m_idle.empty();
            response = co_await send(request, deadline, effect);
        }
        if (response
            && http::to_status_class(response.value().result()) != http::status_class::successful)
            co_return errorOf(response.value(), effect);
        co_return response;
    }

    Awaitable<Result<HttpResponse>> send(const HttpRequest &request, TimePoint deadline,
                                         CallEffect effect)
    {
        auto stream = co_await connection(deadline);
        if (!stream)
            co_return PlatformErrc::Unavailable;
        stream->expires_at(deadline);
        auto response = co_await exchange(*stream, request, effect);
        if (response && response.value().keep_alive() && m_idle.size() < maxIdleConnections)
            m_idle.push_back(std::move(stream));
        co_return response;
    }

    /// Takes an idle connection that the platform has not closed, or opens one.
    Awaitable<std::unique_ptr<Stream>> connection(TimePoint deadline)
    {
        while (!m_idle.empty()) {
            std::unique_ptr<Stream> stream = std::move(m_idle.back());
            m_idle.pop_back();
            if (isOpen(*stream))
                co_return stream;
        }
        auto stream = std::make_unique<Stream>(m_context);
        stream->expires_at(deadline);
        boost::system::error_code error;
        const auto address = asio::ip::make_address(m_settings.address, error);
        if (error)
            co_return nullptr;
        co_await stream->async_connect(asio::ip::tcp::endpoint(address, m_settings.port),
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return nullptr;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        co_return stream;
    }

    /// An idle connection has nothing to read; a byte or an end means that it can't be used.
    static bool isOpen(Stream &stream)
    {
        boost::system::error_code error;
        char byte = 0;
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    static Awaitable<Result<HttpResponse>> exchange(Stream &stream, const HttpRequest &request,
                                                    CallEffect effect)
    {
        const PlatformErrc lost = effect == CallEffect::Write ? PlatformErrc::OutcomeUnknown
                                                              : PlatformErrc::Unavailable;
        boost::system::error_code error;
        co_await http::async_write(stream, request,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return lost;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxAnswerSize);
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return lost;
        co_return parser.release();
    }

    asio::io_context &m_context;
    PlatformSettings m_settings;
    CallHook m_onCall;
    CallBudget m_budget;
    std::vector<std::unique_ptr<Stream>> m_idle;
};

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &context,
                                                 const PlatformSettings &settings, CallHook onCall)
{
    return std::make_unique<HttpObjectStore>(context, settings, std::move(onCall));
}

} // namespace bilberry::platform
