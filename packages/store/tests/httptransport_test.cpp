#include "bilberry/store/httptransport.h"

#include "support/damagedmessages.h"
#include "support/scriptedserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <optional>

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
