#include "bilberry/store/httptransport.h"

#include "support/damagedmessages.h"
#include "support/faultproxy.h"
#include "support/scriptedserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace bilberry;
using namespace bilberry::store;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

asio::awaitable<void> storeResult(HttpTransport &transport, HttpCall call, Duration limit,
                                  std::optional<Result<HttpResponse>> &result)
{
    Result<HttpResponse> response = co_await transport.call(std::move(call), limit);
    result.emplace(std::move(response));
}

/// Sends a call and runs the event loop until its end.
Result<HttpResponse> callBlocking(asio::io_context &context, HttpTransport &transport,
                                  const HttpCall &call, Duration limit)
{
    std::optional<Result<HttpResponse>> result;
    asio::co_spawn(context, storeResult(transport, call, limit, result), asio::detached);
    context.restart();
    context.run();
    return *result;
}

HttpCall read(const std::string &target)
{
    HttpCall call;
    call.target = target;
    return call;
}

const std::string soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

} // namespace

// A declared length or a long trailer field must not end the process that reads it.
SCENARIO("a store sends a response that no receiver can hold")
{
    for (const DamagedMessage &damaged : damagedMessages()) {
        GIVEN("a store that sends " + damaged.name + " and then sound responses")
        {
            int count = 0;
            ScriptedServer store([&](const ScriptedRequest &) {
                return ++count == 1 ? ScriptedAnswer{damaged.after("HTTP/1.1 200 OK\r\n"),
                                                     ScriptedAnswer::Then::Close}
                                    : ScriptedAnswer{soundResponse};
            });
            asio::io_context context;
            HttpTransport transport(context, "127.0.0.1", store.port());
            const auto first = callBlocking(context, transport, read("/first"), 2s);
            THEN("the call fails or returns the whole body, and the next one works")
            {
                CHECK((!first || first.value().body == "answ"));
                const auto second = callBlocking(context, transport, read("/second"), 2s);
                REQUIRE(second);
                CHECK(second.value().body == "sound");
            }
        }
    }
}

// An interim response, or a part of a second one, left bytes that answered the next call.
SCENARIO("a store sends more than one response to a call")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    struct Case
    {
        std::string name;
        std::string bytes;
        std::string late; ///< sent a moment later
    };
    const std::vector<Case> cases{
            {"interim ones before it", interim + interim + soundResponse, ""},
            {"an interim one, and it some time later", interim, soundResponse},
            {"a part of another one behind it", soundResponse + second.substr(0, second.size() - 5),
             "extra"}};
    for (const Case &example : cases) {
        GIVEN("a store that sends " + example.name)
        {
            int count = 0;
            const ScriptedServer store([&](const ScriptedRequest &) {
                if (++count > 1)
                    return ScriptedAnswer{soundResponse};
                return example.late.empty()
                               ? ScriptedAnswer{example.bytes}
                               : ScriptedAnswer{example.bytes, ScriptedAnswer::Then::Repeat,
                                                example.late, 100ms};
            });
            asio::io_context context;
            HttpTransport transport(context, "127.0.0.1", store.port());
            THEN("each call gets the response to it")
            {
                for (int i = 0; i < 2; ++i) {
                    const auto got = callBlocking(context, transport, read("/a"), 2s);
                    REQUIRE(got);
                    CHECK(got.value().status == 200);
                    CHECK(got.value().body == "sound");
                    std::this_thread::sleep_for(200ms);
                }
            }
        }
    }
}

// Each call on a connection that had gone silent waited for its whole limit, and there were
// several.
SCENARIO("idle connections to the store go silent while new ones work")
{
    GIVEN("a transport with three idle connections")
    {
        std::atomic<int> received = 0;
        ScriptedServer store([&](const ScriptedRequest &) {
            ++received;
            std::this_thread::sleep_for(30ms);
            return ScriptedAnswer{soundResponse};
        });
        TcpProxy proxy(store.port());
        asio::io_context context;
        HttpTransport transport(context, "127.0.0.1", proxy.port());
        std::optional<Result<HttpResponse>> results[3];
        for (auto &result : results)
            asio::co_spawn(context, storeResult(transport, read("/a"), 2s, result), asio::detached);
        context.run();
        REQUIRE(received == 3);

        WHEN("they go silent")
        {
            proxy.silenceOpen();
            const TimePoint start = Clock::now();
            const auto first = callBlocking(context, transport, read("/b"), 900ms);
            const Duration firstTook = Clock::now() - start;
            const auto second = callBlocking(context, transport, read("/c"), 900ms);
            THEN("the next call is answered on a new one, and the others are not tried")
            {
                CHECK(first);
                CHECK(firstTook < 600ms);
                CHECK(second);
                CHECK(Clock::now() - start < firstTook + 200ms);
                CHECK(received == 5);
            }
        }
    }
    GIVEN("a store that becomes slow")
    {
        std::atomic<std::chrono::milliseconds> delay = 0ms;
        std::atomic<int> received = 0;
        ScriptedServer store([&](const ScriptedRequest &) {
            ++received;
            std::this_thread::sleep_for(delay.load());
            return ScriptedAnswer{soundResponse};
        });
        asio::io_context context;
        HttpTransport transport(context, "127.0.0.1", store.port());
        REQUIRE(callBlocking(context, transport, read("/a"), 900ms));
        delay = 350ms;
        WHEN("calls are made one after the other")
        {
            constexpr int calls = 10;
            int answered = 0;
            for (int i = 0; i < calls; ++i)
                answered += callBlocking(context, transport, read("/b"), 900ms) ? 1 : 0;
            THEN("all are answered, and only the first ones are repeated")
            {
                CHECK(answered == calls);
                CHECK(received <= calls + 4);
            }
        }
    }
}
