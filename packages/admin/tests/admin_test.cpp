#include "bilberry/admin/adminclient.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

using namespace bilberry;
using namespace bilberry::admin;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration callLimit = std::chrono::seconds(10);
constexpr Duration shortLimit = std::chrono::milliseconds(200);

asio::awaitable<void> store(AdminEndpoint endpoint, std::string path, AdminRequest request,
                            Duration limit, std::optional<Result<AdminResponse>> &result)
{
    result.emplace(co_await callAdmin(endpoint, path, request, limit));
}

Result<AdminResponse> callBlocking(const AdminEndpoint &endpoint, const std::string &path,
                                   const AdminRequest &request, Duration limit = callLimit)
{
    asio::io_context context;
    std::optional<Result<AdminResponse>> result;
    asio::co_spawn(context, store(endpoint, path, request, limit, result), asio::detached);
    context.run();
    return *result;
}

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// An admin server on a thread of its own.
struct ServedAdmin
{
    ServedAdmin() : duty("admin"), endpoint{"127.0.0.1", 0}
    {
        // Ports below the range for outgoing connections; another process may hold one.
        constexpr std::uint16_t low = 21000;
        constexpr std::uint16_t span = 9000;
        while (!server) {
            endpoint.port = static_cast<std::uint16_t>(low + randomId() % span);
            try {
                server.emplace(duty.context(), endpoint.address, endpoint.port, handlers());
            } catch (const std::system_error &taken) {
                INFO(taken.what());
            }
        }
        duty.start();
    }
    ~ServedAdmin() { duty.stop(); }

    static std::map<std::string, AdminHandler> handlers()
    {
        const auto echo = [](const AdminRequest &request) {
            return AdminResponse{200, request.method + " " + request.body, "text/plain"};
        };
        return {{"/echo", echo}, {"PUT /echo", echo}, {"/read", echo}};
    }

    EventLoopThread duty;
    AdminEndpoint endpoint;
    std::optional<AdminServer> server;
};

/// Sends bytes and reads until the server closes the connection.
std::string exchangeRaw(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(loopback(port));
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

struct MethodCase
{
    const char *path;
    const char *method;
    unsigned status;
};

const std::vector<MethodCase> methodCases = {
        {"/echo", "GET", 200},      {"/echo", "PUT", 200}, {"/echo?verbose=1", "GET", 200},
        {"/echo", "POST", 405},     {"/read", "PUT", 405}, {"/read", "DELETE", 405},
        {"/echo/more", "GET", 404}, {"/", "GET", 404},     {"/nothing", "DELETE", 404},
};

/// What a daemon that is not well sends back.
struct SickCase
{
    const char *title;
    std::string bytes;
};

const std::vector<SickCase> sickCases = {
        {"nothing", ""},
        {"no HTTP", "hello\r\n\r\n"},
        {"half a head", "HTTP/1.1 200 OK\r\nContent-"},
        {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
};

} // namespace

SCENARIO("an admin server answers by path and method")
{
    const ServedAdmin served;
    for (const MethodCase &row : methodCases) {
        INFO(row.method << ' ' << row.path);
        const auto answer = callBlocking(served.endpoint, row.path, {row.method, "body"});
        REQUIRE(answer.ok());
        CHECK(answer.value().status == row.status);
        if (row.status == 200)
            CHECK(answer.value().body == std::string(row.method) + " body");
    }
    WHEN("a caller sends what is no HTTP, or a body that is too large")
    {
        const std::string tooLarge
                = "PUT /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
        for (const std::string &bytes : {std::string("\r\n\x01\x02"), std::string("GET"), tooLarge})
            CHECK(exchangeRaw(served.endpoint.port, bytes).find("200") == std::string::npos);
        THEN("the server goes on")
        {
            CHECK(callBlocking(served.endpoint, "/echo", {"GET", ""}).value().status == 200);
        }
    }
}

SCENARIO("an admin client reports a daemon that is not well")
{
    for (const SickCase &row : sickCases) {
        GIVEN(std::string("a daemon that answers ") + row.title)
        {
            asio::io_context context;
            tcp::acceptor acceptor(context, loopback(0));
            std::thread daemon([&] {
                tcp::socket socket(context);
                acceptor.accept(socket);
                // The request is read first: closing with unread bytes would reset the connection.
                std::string request(1, ' ');
                socket.read_some(asio::buffer(request));
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(row.bytes), ignored);
            });
            const auto answer = callBlocking({"127.0.0.1", acceptor.local_endpoint().port()},
                                             "/v1/status", {"GET", ""});
            daemon.join();
            THEN("the call fails with a typed error")
            {
                CHECK(answer.error());
            }
        }
    }
    GIVEN("a daemon that is silent")
    {
        asio::io_context context;
        const tcp::acceptor acceptor(context, loopback(0));
        const auto answer = callBlocking({"127.0.0.1", acceptor.local_endpoint().port()},
                                         "/v1/status", {"GET", ""}, shortLimit);
        THEN("the call ends at its limit")
        {
            CHECK(answer.error());
        }
    }
    GIVEN("no daemon")
    {
        // Bound, but not listening: nobody else can take the port meanwhile.
        asio::io_context context;
        tcp::socket socket(context);
        socket.open(tcp::v4());
        socket.bind(loopback(0));
        CHECK(callBlocking({"127.0.0.1", socket.local_endpoint().port()}, "/", {"GET", ""})
                      .error());
    }
    GIVEN("a host name")
    {
        CHECK(callBlocking({"localhost", 1}, "/", {"GET", ""}).error());
    }
}
