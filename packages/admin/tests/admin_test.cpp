#include "bilberry/admin/adminclient.h"
#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"

#include "support/damagedmessages.h"

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

constexpr Duration callTimeout = std::chrono::seconds(10);
constexpr Duration shortTimeout = std::chrono::milliseconds(200);

asio::awaitable<void> storeResult(AdminEndpoint endpoint, std::string path, AdminRequest request,
                                  Duration timeout, std::optional<Result<AdminResponse>> &result)
{
    result.emplace(co_await callAdmin(endpoint, path, request, timeout));
}

Result<AdminResponse> callBlocking(const AdminEndpoint &endpoint, const std::string &path,
                                   const AdminRequest &request, Duration timeout = callTimeout)
{
    asio::io_context context;
    std::optional<Result<AdminResponse>> result;
    asio::co_spawn(context, storeResult(endpoint, path, request, timeout, result), asio::detached);
    context.run();
    return *result;
}

tcp::endpoint loopback(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

/// Runs an admin server on a thread of its own.
struct AdminServerThread
{
    AdminServerThread() : duty("admin"), endpoint{"127.0.0.1", 0}
    {
        // Ports below the ephemeral range; retries when another process uses the port.
        constexpr std::uint16_t firstPort = 21000;
        constexpr std::uint16_t portCount = 9000;
        while (!server) {
            endpoint.port = static_cast<std::uint16_t>(firstPort + randomId() % portCount);
            try {
                server.emplace(duty.context(), endpoint.address, endpoint.port, handlers());
            } catch (const std::system_error &taken) {
                INFO(taken.what());
            }
        }
        duty.start();
    }
    ~AdminServerThread() { duty.stop(); }

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

/// A faulty response of a daemon.
struct FaultyResponseCase
{
    const char *title;
    std::string bytes;
};

const std::vector<FaultyResponseCase> faultyResponses = {
        {"an empty response", ""},
        {"malformed HTTP", "hello\r\n\r\n"},
        {"an incomplete header", "HTTP/1.1 200 OK\r\nContent-"},
        {"an incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"},
};

} // namespace

SCENARIO("an admin server selects the handler by path and method")
{
    const AdminServerThread served;
    for (const MethodCase &row : methodCases) {
        INFO(row.method << ' ' << row.path);
        const auto answer = callBlocking(served.endpoint, row.path, {row.method, "body"});
        REQUIRE(answer.ok());
        CHECK(answer.value().status == row.status);
        if (row.status == 200)
            CHECK(answer.value().body == std::string(row.method) + " body");
    }
    WHEN("a caller sends malformed HTTP or a body that is too large")
    {
        const std::string tooLarge
                = "PUT /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";
        for (const std::string &bytes : {std::string("\r\n\x01\x02"), std::string("GET"), tooLarge})
            CHECK(exchangeRaw(served.endpoint.port, bytes).find("200") == std::string::npos);
        THEN("the server still answers valid requests")
        {
            CHECK(callBlocking(served.endpoint, "/echo", {"GET", ""}).value().status == 200);
        }
    }
}

// A declared length or a long trailer field must not end the process that reads it.
SCENARIO("admin servers and clients receive messages that they can't hold")
{
    const AdminServerThread served;
    for (const tests::DamagedMessage &damaged : tests::damagedMessages()) {
        GIVEN("an operator's client that sends " + damaged.name)
        {
            exchangeRaw(served.endpoint.port,
                        damaged.after("PUT /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"));
            THEN("the server still answers valid requests")
            {
                CHECK(callBlocking(served.endpoint, "/echo", {"GET", ""}).value().status == 200);
            }
        }
        GIVEN("a daemon that sends " + damaged.name)
        {
            asio::io_context context;
            tcp::acceptor acceptor(context, loopback(0));
            std::thread daemon([&] {
                tcp::socket socket = acceptor.accept();
                std::string request(1, ' ');
                socket.read_some(asio::buffer(request));
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(damaged.after("HTTP/1.1 200 OK\r\n")), ignored);
            });
            const auto answer = callBlocking({"127.0.0.1", acceptor.local_endpoint().port()},
                                             "/v1/status", {"GET", ""});
            daemon.join();
            THEN("the call returns an error or the whole body")
            {
                CHECK((answer.error() || answer.value().body == "answ"));
            }
        }
    }
}

SCENARIO("an admin client returns an error for a faulty daemon")
{
    for (const FaultyResponseCase &row : faultyResponses) {
        GIVEN(std::string("a daemon that sends ") + row.title)
        {
            asio::io_context context;
            tcp::acceptor acceptor(context, loopback(0));
            std::thread daemon([&] {
                tcp::socket socket(context);
                acceptor.accept(socket);
                // Reads first: closing a socket with unread bytes would reset the connection.
                std::string request(1, ' ');
                socket.read_some(asio::buffer(request));
                boost::system::error_code ignored;
                asio::write(socket, asio::buffer(row.bytes), ignored);
            });
            const auto answer = callBlocking({"127.0.0.1", acceptor.local_endpoint().port()},
                                             "/v1/status", {"GET", ""});
            daemon.join();
            THEN("the call returns an error")
            {
                CHECK(answer.error());
            }
        }
    }
    GIVEN("a daemon that does not answer")
    {
        asio::io_context context;
        const tcp::acceptor acceptor(context, loopback(0));
        const auto answer = callBlocking({"127.0.0.1", acceptor.local_endpoint().port()},
                                         "/v1/status", {"GET", ""}, shortTimeout);
        THEN("the call ends with an error at its timeout")
        {
            CHECK(answer.error());
        }
    }
    GIVEN("a port without a listener")
    {
        // Bound but not listening, so that no other process can use the port.
        asio::io_context context;
        tcp::socket socket(context);
        socket.open(tcp::v4());
        socket.bind(loopback(0));
        CHECK(callBlocking({"127.0.0.1", socket.local_endpoint().port()}, "/", {"GET", ""})
                      .error());
    }
    GIVEN("a host name in place of an IP address")
    {
        CHECK(callBlocking({"localhost", 1}, "/", {"GET", ""}).error());
    }
}
