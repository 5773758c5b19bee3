#include "bilberry/store/httpobjectstore.h"

#include "bilberry/store/httptransport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace bilberry::store {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Maximum size of a value on the platform.
constexpr std::size_t maxValueBytes = 1U << 20U;

/// Token bucket that limits the calls of this process. It refills continuously; its capacity is one
/// second of calls.
class CallBudget
{
public:
    explicit CallBudget(double callsPerSecond)
        : m_rate(callsPerSecond), m_tokens(callsPerSecond), m_refilledAt(Clock::now())
    {
    }

    bool tryAcquire()
    {
        const TimePoint now = Clock::now();
        m_tokens
                = std::min(m_rate, m_tokens + m_rate * toMilliseconds(now - m_refilledAt) / 1000.0);
        m_refilledAt = now;
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_tokens;
    TimePoint m_refilledAt;
};

std::string toEntityTag(ObjectVersion version)
{
    return '"' + std::to_string(version) + '"';
}

Result<ObjectVersion> parseVersion(const HttpResponse &response)
{
    const std::string &tag = response.entityTag;
    ObjectVersion version = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return StoreErrc::Malformed;
    const char *end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return StoreErrc::Malformed;
    return version;
}

/// @return the error of a response whose status is not 2xx
std::error_code toError(const HttpResponse &response, CallEffect effect)
{
    switch (response.status) {
    case 304:
        return StoreErrc::NotChanged;
    case 404:
        return StoreErrc::NotFound;
    case 409:
    case 412:
        return StoreErrc::Conflict;
    case 413:
        return StoreErrc::TooLarge;
    case 429:
        return StoreErrc::RateLimited;
    // A 503 may come from a gateway that lost the response to a write, so a write of any other
    // status has an unknown outcome.
    default:
        return effect == CallEffect::Write ? StoreErrc::OutcomeUnknown : StoreErrc::Unavailable;
    }
}

/// Turns an exception of the decoding function into Malformed.
template <typename F>
auto decode(F &&read) -> Result<decltype(read())>
{
    try {
        return read();
    } catch (const std::exception &) {
        return StoreErrc::Malformed;
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
        : m_settings(settings), m_onCall(std::move(onCall)), m_budget(settings.callsPerSecond),
          m_transport(context, settings.address, settings.port)
    {
    }

    Awaitable<Result<Object>> get(std::string name) override
    {
        const auto result = co_await call("get", makeObjectCall("GET", name), m_settings.callLimit);
        co_return toObject(name, result);
    }

    Awaitable<Result<std::vector<Object>>> list(std::string prefix) override
    {
        HttpCall request;
        request.target = "/objects?prefix=" + encodePath(prefix);
        const auto result = co_await call("list", std::move(request), m_settings.callLimit);
        co_return result.andThen([](const HttpResponse &response) {
            return decode([&] {
                std::vector<Object> objects;
                const json::value document = json::parse(response.body);
                for (const json::value &value : document.as_array())
                    objects.push_back(decodeObject(value));
                return objects;
            });
        });
    }

    Awaitable<Result<ObjectVersion>> create(std::string name, std::string value) override
    {
        if (value.size() > maxValueBytes)
            co_return StoreErrc::TooLarge;
        HttpCall request = makeObjectCall("PUT", name);
        request.headers["If-None-Match"] = "*";
        request.body = std::move(value);
        const auto result = co_await call("create", std::move(request), m_settings.callLimit);
        co_return result.andThen(parseVersion);
    }

    Awaitable<Result<ObjectVersion>> update(std::string name, ObjectVersion expected,
                                            std::string value) override
    {
        if (value.size() > maxValueBytes)
            co_return StoreErrc::TooLarge;
        HttpCall request = makeObjectCall("PUT", name);
        request.headers["If-Match"] = toEntityTag(expected);
        request.body = std::move(value);
        const auto result = co_await call("update", std::move(request), m_settings.callLimit);
        co_return result.andThen(parseVersion);
    }

    Awaitable<Status> remove(std::string name, ObjectVersion expected) override
    {
        HttpCall request = makeObjectCall("DELETE", name);
        request.headers["If-Match"] = toEntityTag(expected);
        const auto result = co_await call("delete", std::move(request), m_settings.callLimit);
        co_return result.map([](const HttpResponse &) { return Unit(); });
    }

    Awaitable<Result<Object>> watch(std::string name, ObjectVersion known, Duration limit) override
    {
        HttpCall request = makeObjectCall("GET", name);
        request.target += "?watch=" + std::to_string(known)
                          + "&wait=" + std::to_string(static_cast<long>(toMilliseconds(limit)));
        request.wait = limit;
        const auto result
                = co_await call("watch", std::move(request), limit + m_settings.callLimit);
        co_return toObject(name, result);
    }

    Awaitable<Result<std::vector<Vm>>> vms() override
    {
        HttpCall request;
        request.target = "/vms";
        const auto result = co_await call("vms", std::move(request), m_settings.callLimit);
        co_return result.andThen([](const HttpResponse &response) {
            return decode([&] {
                std::vector<Vm> vms;
                const json::value document = json::parse(response.body);
                for (const json::value &value : document.as_array())
                    vms.push_back(decodeVm(value));
                return vms;
            });
        });
    }

private:
    static HttpCall makeObjectCall(const char *method, const std::string &name)
    {
        HttpCall call;
        call.method = method;
        call.target = "/objects/" + encodePath(name);
        call.effect = call.method == "GET" ? CallEffect::Read : CallEffect::Write;
        return call;
    }

    static Result<Object> toObject(const std::string &name, const Result<HttpResponse> &result)
    {
        return result.andThen([&](const HttpResponse &response) {
            return parseVersion(response).map([&](ObjectVersion version) {
                return Object{name, version, response.body};
            });
        });
    }

    Awaitable<Result<HttpResponse>> call(const char *kind, HttpCall request, Duration limit)
    {
        if (!m_budget.tryAcquire())
            co_return StoreErrc::CallBudgetExhausted;
        m_onCall(kind);
        const CallEffect effect = request.effect;
        const auto response = co_await m_transport.call(std::move(request), limit);
        if (response && response.value().status / 100 != 2)
            co_return toError(response.value(), effect);
        co_return response;
    }

    PlatformSettings m_settings;
    CallHook m_onCall;
    CallBudget m_budget;
    HttpTransport m_transport;
};

} // namespace

std::unique_ptr<ObjectStore> makeHttpObjectStore(boost::asio::io_context &context,
                                                 const PlatformSettings &settings, CallHook onCall)
{
    return std::make_unique<HttpObjectStore>(context, settings, std::move(onCall));
}

} // namespace bilberry::store
