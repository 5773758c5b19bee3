#include "routerfixture.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// A request whose id and path tell it from the others; its body is as long as the test wants.
std::string numbered(int number, std::size_t bodyBytes)
{
    const std::string id = std::to_string(number);
    return "POST /book/" + id + " HTTP/1.1\r\nHost: h.example\r\nBilberry-Request-Id: r" + id
           + "\r\nBilberry-Remaining-Ms: 1500\r\nAuthorization: Bearer key\r\nContent-Length: "
           + std::to_string(bodyBytes) + "\r\n\r\n"
           + std::string(bodyBytes, static_cast<char>('a' + number));
}

/// Answers each request with its own path.
ScriptedServer::Script echoingPaths(std::chrono::milliseconds delay)
{
    return [delay](const ScriptedRequest &request) {
        std::this_thread::sleep_for(delay);
        const std::string path = request.head.substr(0, request.head.find(" HTTP"));
        const std::string body = path.substr(path.find('/'));
        return ScriptedAnswer{
                "HTTP/1.1 200 OK\r\nBilberry-Request-Id: " + request.field("Bilberry-Request-Id")
                + "\r\nBilberry-Signature: sig\r\nContent-Length: " + std::to_string(body.size())
                + "\r\n\r\n" + body};
    };
}

/// @return the paths that the server has run, in order
std::vector<std::string> pathsOf(const ScriptedServer &server)
{
    std::vector<std::string> paths;
    for (const ScriptedRequest &request : server.requests()) {
        const std::string line = request.head.substr(0, request.head.find(" HTTP"));
        paths.push_back(line.substr(line.find('/')));
    }
    return paths;
}

} // namespace

// A read was in progress into the buffer that the next request was parsed from: a booking that a
// caller had pipelined was parsed again in place of its next request, and ran twice.
SCENARIO("a caller sends a request before the last answer is complete")
{
    GIVEN("a router and a server that takes some time")
    {
        ScriptedServer server(echoingPaths(20ms));
        const RouterFixture router({&server}, acceptOldPlans);
        WHEN("it pipelines a booking, waits for both answers, and sends a longer request")
        {
            constexpr int rounds = 10;
            std::vector<std::string> expected;
            for (int round = 0; round < rounds; ++round) {
                RawCaller caller(router.port());
                caller.send(numbered(1, 0));
                std::this_thread::sleep_for(5ms);
                caller.send(numbered(2, 20));
                CHECK(caller.readUntil("/book/2").contains("/book/1"));
                caller.send(numbered(3, 2000));
                CHECK(caller.readUntil("/book/").contains("/book/3"));
                for (const char *path : {"/book/1", "/book/2", "/book/3"})
                    expected.emplace_back(path);
            }
            THEN("each request has run once, and each answer is its own")
            {
                CHECK(pathsOf(server) == expected);
            }
        }
    }
}

SCENARIO("requests on one connection arrive split anywhere")
{
    GIVEN("a router and a server that answers at once")
    {
        ScriptedServer server(echoingPaths(0ms));
        const RouterFixture router({&server}, acceptOldPlans);
        const int count = GENERATE(2, 3);
        std::string bytes;
        std::vector<std::string> paths;
        for (int number = 1; number <= count; ++number) {
            bytes += numbered(number, static_cast<std::size_t>(10 * number));
            paths.push_back("/book/" + std::to_string(number));
        }
        const bool waits = GENERATE(false, true);
        WHEN(std::string("they arrive in two parts") + (waits ? ", with a pause" : ""))
        {
            const std::size_t step = waits ? 7 : 1;
            std::size_t splits = 0;
            for (std::size_t split = 1; split < bytes.size(); split += step, ++splits) {
                RawCaller caller(router.port());
                caller.send(bytes.substr(0, split));
                if (waits)
                    std::this_thread::sleep_for(3ms);
                caller.send(bytes.substr(split));
                const RawAnswer given = caller.readUntil(paths.back());
                INFO("split at " << split << ": " << given.text);
                std::size_t at = 0;
                for (const std::string &path : paths) {
                    at = given.text.find(path, at);
                    CHECK(at != std::string::npos);
                }
                CHECK(given.answers() == paths.size());
            }
            THEN("each has run once")
            {
                std::vector<std::string> expected;
                for (std::size_t i = 0; i < splits; ++i)
                    expected.insert(expected.end(), paths.begin(), paths.end());
                CHECK(pathsOf(server) == expected);
            }
        }
    }
}
