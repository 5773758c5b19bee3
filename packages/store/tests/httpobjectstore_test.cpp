#include "bilberry/store/httpobjectstore.h"

#include "support/fleet.h"
#include "support/platformstandin.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace bilberry;
using namespace bilberry::store;
using tests::PlatformFaults;
using tests::PlatformStandin;

namespace asio = boost::asio;

namespace {

constexpr Duration callLimit = std::chrono::milliseconds(300);
constexpr Duration watchLimit = std::chrono::milliseconds(50);

/// Sends the same bytes in response to each request and closes the connection.
class FixedResponseServer
{
public:
    explicit FixedResponseServer(std::string response)
        : m_eventLoop("scripted"),
          m_acceptor(m_eventLoop.context(),
                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_response(std::move(response))
    {
        asio::co_spawn(m_eventLoop.context(), serve(), asio::detached);
        m_eventLoop.start();
    }
    ~FixedResponseServer() { m_eventLoop.stop(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    Awaitable<void> serve()
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(m_eventLoop.context());
            co_await m_acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            std::string input;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                            asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(m_response),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }

    EventLoopThread m_eventLoop;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_response;
};

/// An HTTP object store and an event loop that runs until a call returns.
class Client
{
public:
    explicit Client(std::uint16_t port, double callsPerSecond = 1000.0)
        : m_store(makeHttpObjectStore(m_context, {"127.0.0.1", port, callLimit, callsPerSecond},
                                      [this](const char *) { ++m_sentCalls; }))
    {
    }

    ObjectStore &store() { return *m_store; }
    int sentCalls() const { return m_sentCalls; }

    template <typename T>
    Result<T> wait(Awaitable<Result<T>> call)
    {
        std::optional<Result<T>> result;
        asio::co_spawn(m_context, storeResult(std::move(call), result), asio::detached);
        m_context.restart();
        m_context.run();
        return *result;
    }

private:
    template <typename T>
    static Awaitable<void> storeResult(Awaitable<Result<T>> call, std::optional<Result<T>> &result)
    {
        Result<T> value = co_await std::move(call);
        result.emplace(std::move(value));
    }

    asio::io_context m_context;
    int m_sentCalls = 0;
    std::unique_ptr<ObjectStore> m_store;
};

struct CallCase
{
    const char *name;
    bool write;
    std::function<std::error_code(Client &, ObjectVersion)> call;
};

std::vector<CallCase> callCases()
{
    return {{"get", false, [](Client &c, auto) { return c.wait(c.store().get("a")).error(); }},
            {"list", false, [](Client &c, auto) { return c.wait(c.store().list("a")).error(); }},
            {"watch", false,
             [](Client &c, auto) { return c.wait(c.store().watch("a", 99, watchLimit)).error(); }},
            {"vms", false, [](Client &c, auto) { return c.wait(c.store().vms()).error(); }},
            {"create", true,
             [](Client &c, auto) { return c.wait(c.store().create("new", "1")).error(); }},
            {"update", true,
             [](Client &c, ObjectVersion version) {
                 return c.wait(c.store().update("a", version, "2")).error();
             }},
            {"remove", true, [](Client &c, ObjectVersion version) {
                 return c.wait(c.store().remove("a", version)).error();
             }}};
}

struct FaultCase
{
    const char *name;
    std::function<void(PlatformFaults &)> set;
    std::error_code read;
    std::error_code write;
};

struct ResponseCase
{
    const char *name;
    std::string response;
    std::error_code get;
    std::error_code list;
    std::error_code create;
};

const std::string closeHeader = "Connection: close\r\n";

std::string httpResponse(const std::string &status, const std::string &fields,
                         const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
           + fields + "\r\n" + body;
}

} // namespace

SCENARIO("each call reports each fault of the platform as a specific error")
{
    const std::error_code unavailable = StoreErrc::Unavailable;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const FaultCase faults[] = {
            {"no fault", [](PlatformFaults &) {}, {}, {}},
            {"down", [](PlatformFaults &f) { f.down = true; }, unavailable, unknown},
            {"slow", [](PlatformFaults &f) { f.delayMs = 800; }, unavailable, unknown},
            {"lost response", [](PlatformFaults &f) { f.lostWriteAnswers = 1; }, {}, unknown},
            {"lost write", [](PlatformFaults &f) { f.lostWrites = 1; }, {}, unknown},
            {"rate limit", [](PlatformFaults &f) { f.callsPerSecond = 0; }, StoreErrc::RateLimited,
             StoreErrc::RateLimited},
    };
    for (const FaultCase &fault : faults) {
        for (const CallCase &testCase : callCases()) {
            INFO(fault.name << ", " << testCase.name);
            PlatformStandin platform;
            Client client(platform.port());
            const auto version = client.wait(client.store().create("a", "1"));
            REQUIRE(version);
            fault.set(platform.faults());
            CHECK(testCase.call(client, version.value())
                  == (testCase.write ? fault.write : fault.read));
        }
    }
}

SCENARIO("calls report that the platform is unavailable if nothing listens on its port")
{
    Client client(tests::freePort());
    for (const CallCase &testCase : callCases()) {
        INFO(testCase.name);
        CHECK(testCase.call(client, 1) == StoreErrc::Unavailable);
    }
}

SCENARIO("writes are conditional and limited in size")
{
    GIVEN("an object")
    {
        PlatformStandin platform;
        Client client(platform.port());
        ObjectStore &store = client.store();
        const auto version = client.wait(store.create("a", "1"));
        REQUIRE(version);

        THEN("a failed condition is a conflict, and an absent object is not found")
        {
            const ObjectVersion other = version.value() + 1;
            CHECK(client.wait(store.create("a", "2")).error() == StoreErrc::Conflict);
            CHECK(client.wait(store.update("a", other, "2")).error() == StoreErrc::Conflict);
            CHECK(client.wait(store.update("b", other, "2")).error() == StoreErrc::Conflict);
            CHECK(client.wait(store.remove("a", other)).error() == StoreErrc::Conflict);
            CHECK(client.wait(store.remove("b", other)).error() == StoreErrc::NotFound);
            CHECK(client.wait(store.get("b")).error() == StoreErrc::NotFound);
            CHECK(client.wait(store.watch("a", version.value(), watchLimit)).error()
                  == StoreErrc::NotChanged);
            CHECK(platform.value("a") == "1");
        }
        THEN("a value above 1 MiB is rejected without a call")
        {
            const int sentBefore = client.sentCalls();
            const std::string big((1U << 20U) + 1, 'x');
            CHECK(client.wait(store.create("big", big)).error() == StoreErrc::TooLarge);
            CHECK(client.wait(store.update("a", version.value(), big)).error()
                  == StoreErrc::TooLarge);
            CHECK(client.sentCalls() == sentBefore);
        }
        THEN("a read shows that a write took effect whose response was lost")
        {
            platform.faults().lostWriteAnswers = 1;
            CHECK(client.wait(store.update("a", version.value(), "2")).error()
                  == StoreErrc::OutcomeUnknown);
            const auto read = client.wait(store.get("a"));
            REQUIRE(read);
            CHECK(read.value().value == "2");
        }
    }
}

SCENARIO("malformed and missing responses are different errors")
{
    const std::error_code malformed = StoreErrc::Malformed;
    const std::error_code unavailable = StoreErrc::Unavailable;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const std::string tag = closeHeader + "ETag: \"7\"\r\n";
    const ResponseCase testCases[] = {
            {"good object", httpResponse("200 OK", tag, "x"), {}, malformed, {}},
            {"good list", httpResponse("200 OK", tag, "[]"), {}, {}, {}},
            {"no version", httpResponse("200 OK", closeHeader, "{}"), malformed, malformed,
             malformed},
            {"bad version", httpResponse("200 OK", closeHeader + "ETag: \"7x\"\r\n", "[1]"),
             malformed, malformed, malformed},
            {"list of other objects",
             httpResponse("200 OK", tag, "[{\"name\":1}]"),
             {},
             malformed,
             {}},
            {"not HTTP", "hello\r\n\r\n", unavailable, unavailable, unknown},
            {"no response", "", unavailable, unavailable, unknown},
            {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + tag + "\r\nabc",
             unavailable, unavailable, unknown},
            {"server error", httpResponse("500 Error", closeHeader, ""), unavailable, unavailable,
             unknown},
            {"gateway error", httpResponse("503 Unavailable", closeHeader, ""), unavailable,
             unavailable, unknown},
            {"too large", httpResponse("413 Large", closeHeader, ""), StoreErrc::TooLarge,
             StoreErrc::TooLarge, StoreErrc::TooLarge},
    };
    for (const ResponseCase &testCase : testCases) {
        INFO(testCase.name);
        FixedResponseServer server(testCase.response);
        Client client(server.port());
        CHECK(client.wait(client.store().get("a")).error() == testCase.get);
        CHECK(client.wait(client.store().list("a")).error() == testCase.list);
        CHECK(client.wait(client.store().create("a", "1")).error() == testCase.create);
    }
}

SCENARIO("reads succeed when the platform closes idle connections")
{
    FixedResponseServer server(httpResponse("200 OK", "ETag: \"7\"\r\n", "x"));
    Client client(server.port());
    for (int i = 0; i < 200; ++i)
        REQUIRE(client.wait(client.store().get("a")));
}

SCENARIO("calls are limited by the call budget")
{
    GIVEN("a budget of five calls a second")
    {
        PlatformStandin platform;
        constexpr double budget = 5.0;
        const TimePoint start = Clock::now();
        Client client(platform.port(), budget);
        std::error_code error;
        for (int i = 0; i < 1000 && error != StoreErrc::CallBudgetExhausted; ++i)
            error = client.wait(client.store().get("a")).error();

        THEN("calls that exceed it are rejected and not sent")
        {
            const double seconds = toMilliseconds(Clock::now() - start) / 1000.0;
            CHECK(error == StoreErrc::CallBudgetExhausted);
            CHECK(client.sentCalls() >= 5);
            CHECK(client.sentCalls() <= budget + budget * seconds);
            CHECK(platform.calls() == static_cast<std::uint64_t>(client.sentCalls()));
        }
    }
}
