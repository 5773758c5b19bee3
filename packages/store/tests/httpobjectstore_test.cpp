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

/// Answers each request with the same bytes and closes the connection.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::string answer)
        : m_duty("scripted"),
          m_acceptor(m_duty.context(),
                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          m_answer(std::move(answer))
    {
        asio::co_spawn(m_duty.context(), serve(), asio::detached);
        m_duty.start();
    }
    ~ScriptedServer() { m_duty.stop(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    Awaitable<void> serve()
    {
        for (;;) {
            boost::system::error_code error;
            asio::ip::tcp::socket socket(m_duty.context());
            co_await m_acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            std::string input;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                                            asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(m_answer),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }

    EventLoopThread m_duty;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
};

/// The adapter with an event loop that runs while a call does.
class Client
{
public:
    explicit Client(std::uint16_t port, double callsPerSecond = 1000.0)
        : m_store(makeHttpObjectStore(m_context, {"127.0.0.1", port, callLimit, callsPerSecond},
                                      [this](const char *) { ++m_sent; }))
    {
    }

    ObjectStore &store() { return *m_store; }
    int sent() const { return m_sent; }

    template <typename T>
    Result<T> wait(Awaitable<Result<T>> call)
    {
        std::optional<Result<T>> result;
        asio::co_spawn(m_context, keep(std::move(call), result), asio::detached);
        m_context.restart();
        m_context.run();
        return *result;
    }

private:
    template <typename T>
    static Awaitable<void> keep(Awaitable<Result<T>> call, std::optional<Result<T>> &result)
    {
        Result<T> value = co_await std::move(call);
        result.emplace(std::move(value));
    }

    asio::io_context m_context;
    int m_sent = 0;
    std::unique_ptr<ObjectStore> m_store;
};

struct CallRow
{
    const char *name;
    bool write;
    std::function<std::error_code(Client &, ObjectVersion)> call;
};

std::vector<CallRow> callRows()
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

struct FaultRow
{
    const char *name;
    std::function<void(PlatformFaults &)> set;
    std::error_code read;
    std::error_code write;
};

struct ScriptRow
{
    const char *name;
    std::string answer;
    std::error_code get;
    std::error_code list;
    std::error_code create;
};

const std::string lastAnswer = "Connection: close\r\n";

std::string reply(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
           + fields + "\r\n" + body;
}

} // namespace

SCENARIO("each call tells each fault of the platform by its type")
{
    const std::error_code unavailable = StoreErrc::Unavailable;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const FaultRow faults[] = {
            {"no fault", [](PlatformFaults &) {}, {}, {}},
            {"down", [](PlatformFaults &f) { f.down = true; }, unavailable, unknown},
            {"slow", [](PlatformFaults &f) { f.delayMs = 800; }, unavailable, unknown},
            {"lost answer", [](PlatformFaults &f) { f.lostWriteAnswers = 1; }, {}, unknown},
            {"lost write", [](PlatformFaults &f) { f.lostWrites = 1; }, {}, unknown},
            {"rate limit", [](PlatformFaults &f) { f.callsPerSecond = 0; }, StoreErrc::RateLimited,
             StoreErrc::RateLimited},
    };
    for (const FaultRow &fault : faults) {
        for (const CallRow &row : callRows()) {
            INFO(fault.name << ", " << row.name);
            PlatformStandin platform;
            Client client(platform.port());
            const auto version = client.wait(client.store().create("a", "1"));
            REQUIRE(version);
            fault.set(platform.faults());
            CHECK(row.call(client, version.value()) == (row.write ? fault.write : fault.read));
        }
    }
}

SCENARIO("nothing was sent when nobody listens")
{
    Client client(tests::freePort());
    for (const CallRow &row : callRows()) {
        INFO(row.name);
        CHECK(row.call(client, 1) == StoreErrc::Unavailable);
    }
}

SCENARIO("writes are conditional and bounded")
{
    GIVEN("an object")
    {
        PlatformStandin platform;
        Client client(platform.port());
        ObjectStore &store = client.store();
        const auto version = client.wait(store.create("a", "1"));
        REQUIRE(version);

        THEN("a condition that does not hold is a conflict, an absent object is not found")
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
        THEN("a value beyond a megabyte is refused before it is sent")
        {
            const int sent = client.sent();
            const std::string big((1U << 20U) + 1, 'x');
            CHECK(client.wait(store.create("big", big)).error() == StoreErrc::TooLarge);
            CHECK(client.wait(store.update("a", version.value(), big)).error()
                  == StoreErrc::TooLarge);
            CHECK(client.sent() == sent);
        }
        THEN("a lost answer is settled by reading")
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

SCENARIO("answers that are not understood are told from those that are missing")
{
    const std::error_code malformed = StoreErrc::Malformed;
    const std::error_code unavailable = StoreErrc::Unavailable;
    const std::error_code unknown = StoreErrc::OutcomeUnknown;
    const std::string tag = lastAnswer + "ETag: \"7\"\r\n";
    const ScriptRow rows[] = {
            {"good object", reply("200 OK", tag, "x"), {}, malformed, {}},
            {"good list", reply("200 OK", tag, "[]"), {}, {}, {}},
            {"no version", reply("200 OK", lastAnswer, "{}"), malformed, malformed, malformed},
            {"bad version", reply("200 OK", lastAnswer + "ETag: \"7x\"\r\n", "[1]"), malformed,
             malformed, malformed},
            {"list of other things", reply("200 OK", tag, "[{\"name\":1}]"), {}, malformed, {}},
            {"no HTTP", "hello\r\n\r\n", unavailable, unavailable, unknown},
            {"no answer", "", unavailable, unavailable, unknown},
            {"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + tag + "\r\nabc", unavailable,
             unavailable, unknown},
            {"server error", reply("500 Error", lastAnswer, ""), unavailable, unavailable, unknown},
            {"gateway error", reply("503 Unavailable", lastAnswer, ""), unavailable, unavailable,
             unknown},
            {"too large", reply("413 Large", lastAnswer, ""), StoreErrc::TooLarge,
             StoreErrc::TooLarge, StoreErrc::TooLarge},
    };
    for (const ScriptRow &row : rows) {
        INFO(row.name);
        ScriptedServer server(row.answer);
        Client client(server.port());
        CHECK(client.wait(client.store().get("a")).error() == row.get);
        CHECK(client.wait(client.store().list("a")).error() == row.list);
        CHECK(client.wait(client.store().create("a", "1")).error() == row.create);
    }
}

SCENARIO("reads survive that the platform closes idle connections")
{
    ScriptedServer server(reply("200 OK", "ETag: \"7\"\r\n", "x"));
    Client client(server.port());
    for (int i = 0; i < 200; ++i)
        REQUIRE(client.wait(client.store().get("a")));
}

SCENARIO("the process keeps to its call budget")
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

        THEN("what exceeds it is refused unsent")
        {
            const double seconds = toMilliseconds(Clock::now() - start) / 1000.0;
            CHECK(error == StoreErrc::CallBudgetExhausted);
            CHECK(client.sent() >= 5);
            CHECK(client.sent() <= budget + budget * seconds);
            CHECK(platform.calls() == static_cast<std::uint64_t>(client.sent()));
        }
    }
}
