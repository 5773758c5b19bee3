#include "caller/callerconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A caller's socket and the router's side of its connection.
struct ConnectedCaller
{
    ConnectedCaller(asio::io_context &context, const direct::CallerHooks &hooks) : client(context)
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        client.connect(acceptor.local_endpoint());
        connection = std::make_shared<direct::CallerConnection>(acceptor.accept(), hooks,
                                                                std::make_shared<MemoryAccount>());
    }

    void send(const std::string &bytes) { asio::write(client, asio::buffer(bytes)); }

    tcp::socket client;
    direct::CallerConnectionPtr connection;
};

} // namespace

// On an overloaded router hundreds of milliseconds lie between the read of a request and its
// handler, in which other callers' requests are read.
SCENARIO("a caller disconnects between the read of its request and the request's handler")
{
    GIVEN("two callers whose requests arrive together")
    {
        asio::io_context context;
        std::size_t requests = 0;
        std::vector<ConnectedCaller> callers;
        std::size_t begun = 0;
        direct::CallerHooks hooks;
        hooks.onRequest = [&](const direct::CallerConnectionPtr &caller, direct::CallerRequest &&) {
            requests += caller->isClosed() ? 0 : 1;
        };
        hooks.onRequestError = [](const direct::CallerConnectionPtr &, direct::RequestError) {};
        hooks.onClosed = [](const direct::CallerConnectionPtr &) {};
        bool isReading = false;
        hooks.currentBounds = [&] {
            // The read of the second request takes long, and the callers leave meanwhile.
            if (isReading && ++begun == callers.size()) {
                for (ConnectedCaller &caller : callers)
                    caller.client.close();
                std::this_thread::sleep_for(100ms);
            }
            return CallerBounds();
        };
        callers.emplace_back(context, hooks);
        callers.emplace_back(context, hooks);
        for (ConnectedCaller &caller : callers)
            caller.connection->start();
        isReading = true;
        for (ConnectedCaller &caller : callers)
            caller.send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        WHEN("both disconnect while the second request is read")
        {
            context.run_for(300ms);
            THEN("neither request is handled")
            {
                CHECK(requests == 0);
            }
        }
    }
}

// Nothing ended such a connection, nor gave back the memory of its response. A slow reader must get
// the rest of it.
SCENARIO("a caller reads nothing of a large response")
{
    asio::io_context context;
    direct::CallerHooks hooks;
    const std::string body(32U << 20U, 'b');
    hooks.onRequest = [&](const direct::CallerConnectionPtr &caller, direct::CallerRequest &&) {
        caller->sendResponse({}, body);
    };
    hooks.onRequestError = [](const direct::CallerConnectionPtr &, direct::RequestError) {};
    hooks.onClosed = [](const direct::CallerConnectionPtr &) {};
    hooks.currentBounds = [] {
        CallerBounds bounds;
        bounds.idleLimit = 500ms;
        return bounds;
    };
    for (const std::string fields : {"", "Connection: close\r\n"}) {
        GIVEN(std::string(fields.empty() ? "a kept connection" : "one that is to be closed"))
        {
            ConnectedCaller caller(context, hooks);
            caller.connection->start();
            caller.send("GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
            context.run_for(100ms);
            CHECK_FALSE(caller.connection->isClosed());
            CHECK(caller.connection->unsentBytes() > 0);
            THEN("it is closed when its time for that is over")
            {
                context.run_for(1s);
                CHECK(caller.connection->isClosed());
            }
            THEN("it is not closed while the caller reads on slowly")
            {
                std::vector<char> bytes(1U << 20U);
                std::size_t received = 0;
                boost::system::error_code error;
                for (int i = 0; i < 60 && received < body.size() && !error; ++i) {
                    context.run_for(50ms);
                    caller.client.non_blocking(true);
                    received += asio::read(caller.client, asio::buffer(bytes), error);
                    error = error == asio::error::would_block ? boost::system::error_code() : error;
                }
                CHECK(received >= body.size());
            }
        }
    }
}
