#include "routerfixture.h"

#include "caller/callerconnection.h"

#include "support/damagedmessages.h"
#include "support/fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <malloc.h>

#include <atomic>
#include <list>
#include <stdexcept>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Then = ScriptedAnswer::Then;

/// @return bytes that this process has allocated
std::size_t allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// A declared length was reserved at once, and long trailer fields made the parser throw: either
// ended the process, and with it all requests in hand.
SCENARIO("a server sends a response that no receiver can hold")
{
    const std::string start = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                              "Bilberry-Signature: sig\r\n";
    for (const DamagedMessage &damaged : damagedMessages()) {
        GIVEN("a server that sends " + damaged.name + " and then sound responses")
        {
            std::atomic<int> count = 0;
            ScriptedServer server([&](const ScriptedRequest &) {
                return ++count == 1 ? ScriptedAnswer{damaged.after(start), Then::Close}
                                    : ScriptedAnswer{answer("200 OK", "whole")};
            });
            const RouterFixture router({&server}, acceptOldPlans);
            const RawAnswer first = router.call("/book/x");
            THEN("its caller gets a failure or the whole body, and later requests are served")
            {
                const bool isWhole = first.contains("\r\n\r\nansw") && first.status() == 200;
                CHECK((first.status() == 502 || isWhole));
                const RawAnswer next = router.call("/book/x");
                CHECK(next.status() == 200);
                CHECK(next.contains("whole"));
            }
        }
    }
}

// The same from a caller, who needs no key for it.
SCENARIO("a caller sends a request that no receiver can hold")
{
    const std::string start = "POST /book/x HTTP/1.1\r\nHost: h.example\r\n"
                              "Bilberry-Request-Id: r1\r\nConnection: close\r\n";
    ScriptedServer server(always(answer("200 OK", "whole")));
    const RouterFixture router({&server}, acceptOldPlans);
    for (const DamagedMessage &damaged : damagedMessages()) {
        GIVEN("a caller that sends " + damaged.name)
        {
            RawCaller caller(router.port());
            caller.send(damaged.after(start));
            const int status = caller.readAnswer().status();
            THEN("it is refused, and another caller is served")
            {
                INFO(status);
                CHECK((status == 400 || status == 401 || status == 413 || status == 431));
                CHECK(router.call("/book/x").status() == 200);
                CHECK(server.requests().size() == 1);
            }
        }
        GIVEN("someone who sends " + damaged.name + " to the readiness and metrics ports")
        {
            for (const std::uint16_t port : {router.settings().readinessEndpoint.port,
                                             router.settings().metricsEndpoint.port}) {
                RawCaller caller(port);
                caller.send(damaged.after("POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"));
                caller.readAll();
            }
            THEN("the router is still ready")
            {
                CHECK(router.ready());
            }
        }
    }
    GIVEN("a caller whose trailer or chunk extension has no end")
    {
        const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string begin = GENERATE(as<std::string>(), "4\r\nansw\r\n0\r\nX-T: ", "4;x=");
        RawCaller caller(router.port());
        caller.send(chunked + begin + std::string(1U << 20U, 'x'));
        THEN("it is refused as soon as the limit is reached")
        {
            const TimePoint sentAt = Clock::now();
            CHECK(caller.readAnswer().status() == 431);
            CHECK(Clock::now() - sentAt < 2s);
        }
    }
}

// Memory must grow with the bytes that arrive: callers may declare a body and send nothing of it.
SCENARIO("callers declare bodies that they don't send")
{
    constexpr std::size_t callerCount = 50;
    constexpr std::size_t declaredBytes = 4'000'000;
    GIVEN("many callers that declare the largest body allowed")
    {
        ScriptedServer server(always(answer("200 OK", "whole")));
        const RouterFixture router({&server}, acceptOldPlans);
        const std::size_t before = allocatedBytes();
        std::list<RawCaller> callers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back(router.port());
            callers.back().send(
                    "POST /book/x HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\n"
                    "Content-Length: "
                    + std::to_string(declaredBytes) + "\r\n\r\n");
            CHECK(callers.back().readUntil("\r\n\r\n").contains("100 Continue"));
        }
        THEN("the router allocates a small part of what was declared")
        {
            CHECK(allocatedBytes() < before + callerCount * declaredBytes / 20);
        }
    }
}

// An idle connection kept the limits that were in force when its last response ended.
SCENARIO("the limits on callers' requests change while a connection is idle")
{
    GIVEN("a caller on a kept connection, and a limit of 10 bytes for bodies")
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        CallerBounds bounds;
        bounds.bodyBytes = 10;
        direct::CallerHooks hooks;
        hooks.currentBounds = [&] { return bounds; };
        hooks.onClosed = [](const direct::CallerConnectionPtr &) {};
        const auto respond = [](const direct::CallerConnectionPtr &caller, unsigned status) {
            direct::CallerResponseHeader header;
            header.result(status);
            caller->sendResponse(header, "");
        };
        hooks.onRequest = [&](const direct::CallerConnectionPtr &caller, direct::CallerRequest &&) {
            respond(caller, 200);
        };
        hooks.onRequestError = [&](const direct::CallerConnectionPtr &caller,
                                   direct::RequestError) { respond(caller, 413); };
        RawCaller caller(acceptor.local_endpoint().port());
        std::make_shared<direct::CallerConnection>(acceptor.accept(), hooks,
                                                   std::make_shared<MemoryAccount>())
                ->start();
        const auto statusOf = [&](std::size_t bodyBytes) {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b'));
            context.run_for(30ms);
            return caller.readAnswer().status();
        };
        REQUIRE(statusOf(5) == 200);
        WHEN("the limit is raised")
        {
            bounds.bodyBytes = 100;
            THEN("the next request may use it")
            {
                CHECK(statusOf(50) == 200);
            }
        }
        WHEN("the limit is lowered")
        {
            bounds.bodyBytes = 3;
            THEN("the next request must keep to it")
            {
                CHECK(statusOf(5) == 413);
            }
        }
        context.stop();
    }
}

// An exception in the handling of one connection must end that connection alone.
SCENARIO("the handler of a caller's request throws")
{
    GIVEN("two callers, the first of whose requests makes the handler throw")
    {
        asio::io_context context;
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::string reported;
        direct::CallerHooks hooks;
        hooks.currentBounds = [] { return CallerBounds(); };
        hooks.onClosed = [](const direct::CallerConnectionPtr &) {};
        hooks.onException = [&](const std::string &reason) { reported = reason; };
        hooks.onRequest
                = [](const direct::CallerConnectionPtr &caller, direct::CallerRequest &&request) {
                      if (request.target() == "/faulty")
                          throw std::runtime_error("a fault in the handler");
                      direct::CallerResponseHeader header;
                      header.result(200);
                      caller->sendResponse(header, "served");
                  };
        const auto connect = [&] {
            auto caller = std::make_unique<RawCaller>(acceptor.local_endpoint().port());
            std::make_shared<direct::CallerConnection>(acceptor.accept(), hooks,
                                                       std::make_shared<MemoryAccount>())
                    ->start();
            return caller;
        };
        const auto first = connect();
        const auto second = connect();
        first->send("GET /faulty HTTP/1.1\r\nHost: h\r\n\r\n");
        context.run_for(50ms);
        second->send("GET /sound HTTP/1.1\r\nHost: h\r\n\r\n");
        context.run_for(50ms);
        THEN("its connection is reset, the exception is reported, and the other caller is served")
        {
            CHECK(first->readAll().reset);
            CHECK(reported == "a fault in the handler");
            CHECK(second->readAnswer().contains("served"));
        }
        context.stop();
    }
}
