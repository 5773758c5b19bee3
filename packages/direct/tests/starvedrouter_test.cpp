#include "support/fleet.h"
#include "support/inprocessrouter.h"
#include "support/rawcaller.h"
#include "support/scriptedserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

TrafficPlan publicPlan()
{
    DirectRoute route;
    route.name = "open";
    route.host = "h.example";
    route.prefix = "/open/";
    route.kind = RequestKind::Idempotent;
    route.isPublic = true;
    route.pools = {{PoolId("pool"), 1.0}};
    TrafficPlanParts parts;
    parts.routes = {route};
    parts.pools[PoolId("pool")].id = PoolId("pool");
    return TrafficPlan::create(1, parts).value();
}

/// A backend server that can't take a connection at first: its accept queue is full.
class CongestedServer
{
public:
    CongestedServer() : m_acceptor(m_context)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(0);
        m_filler.connect(m_acceptor.local_endpoint());
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Makes room in the accept queue. The next try of a connect, after a second, succeeds.
    void takeWaiting() { m_acceptor.accept(); }
    /// @return all bytes that arrive on the next connection until it ends
    std::string receive()
    {
        tcp::socket connection = m_acceptor.accept();
        std::string bytes;
        boost::system::error_code ended;
        asio::read(connection, asio::dynamic_buffer(bytes), ended);
        return bytes;
    }

private:
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_filler{m_context};
};

} // namespace

// An overloaded router learned of both at once, and sent the request after its caller had left.
SCENARIO("a caller disconnects while its router is blocked and a connect to a server is under way")
{
    GIVEN("a router that waits for a connection to a congested server")
    {
        CongestedServer server;
        InProcessRouter setting(publicPlan(), {loopbackServer("s0", server.port())},
                                [](direct::DirectSettings &settings) {
                                    settings.connectTimeout = 10s;
                                    settings.shutdownTimeout = 100ms;
                                });
        RawCaller caller(setting.port());
        caller.send(InProcessRouter::request("/open/left", "", "", ""));
        std::this_thread::sleep_for(200ms);
        setting.occupy(2500ms);
        server.takeWaiting();
        WHEN("the connection is established, and then the caller disconnects")
        {
            std::this_thread::sleep_for(2000ms);
            caller.close();
            THEN("the server receives nothing")
            {
                CHECK(server.receive().empty());
            }
        }
    }
}

SCENARIO("a router that was blocked drops the requests of callers that have disconnected")
{
    GIVEN("a router whose event loop is blocked for 300 ms")
    {
        ScriptedServer server([](const ScriptedRequest &) {
            return ScriptedAnswer{"HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                                  "Bilberry-Signature: sig\r\nContent-Length: 5\r\n\r\nwhole"};
        });
        InProcessRouter setting(publicPlan(), {loopbackServer("s0", server.port())});
        // Leaves an idle connection to the server, on which a request would be sent immediately.
        RawCaller keepAliveCaller(setting.port());
        keepAliveCaller.send(InProcessRouter::request("/open/first", "", "", "", true));
        REQUIRE(keepAliveCaller.readAnswer().status() == 200);
        setting.occupy(300ms);

        WHEN("one caller disconnects meanwhile and another one waits")
        {
            RawCaller disconnectingCaller(setting.port());
            disconnectingCaller.send(InProcessRouter::request("/open/left", "", "", ""));
            disconnectingCaller.close();
            const RawAnswer answer = setting.call("/open/waiting", "", "", "");
            THEN("only the waiting caller's request reaches the server")
            {
                CHECK(answer.status() == 200);
                REQUIRE(server.requests().size() == 2);
                CHECK(server.requests().back().head.starts_with("POST /open/waiting "));
            }
        }
        WHEN("a caller disconnects after a second request on its connection")
        {
            keepAliveCaller.send(InProcessRouter::request("/open/second", "", "", "", true));
            keepAliveCaller.close();
            std::this_thread::sleep_for(500ms);
            THEN("its second request is dropped")
            {
                CHECK(server.requests().size() == 1);
            }
        }
    }
}
