#include "support/fleet.h"
#include "support/rawcaller.h"

#include "bilberry/base/digest.h"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::tests;

namespace {

constexpr std::size_t connectionLimit = 8;

std::string releaseNote()
{
    return "added:\n"
           "  zones: { a: {} }\n"
           "  pools:\n"
           "    models: { zones: [a], coldLimit: 2, fullLimit: 2 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

FleetPlan smallPlan()
{
    FleetPlan plan;
    plan.binaries = BILBERRY_BIN;
    plan.routers = {"a"};
    plan.servers = {{"model-a", "models", "a"}};
    plan.releaseNote = releaseNote();
    plan.routerSettings = {{"callers.headBytes", "2048"},
                           {"callers.bodyBytes", "4096"},
                           {"callers.headLimitMs", "500"},
                           {"callers.bodyLimitMs", "500"},
                           {"callers.connections", std::to_string(connectionLimit)}};
    return plan;
}

const std::string keyField = "X-Api-Key: kitchen-key\r\n";
const std::string hostField = "Host: router\r\n";
const std::string connectionClose = "Connection: close\r\n";

/// Builds a request.
/// @param line request line without its line end
/// @param fields further header fields, each with its line end
std::string request(const std::string &line, const std::string &fields = "",
                    const std::string &body = "")
{
    return line + "\r\n" + hostField + keyField + fields + "\r\n" + body;
}

std::string taggedRequest(const std::string &tag, const std::string &fields = "")
{
    return request("GET /v1/a HTTP/1.1", "X-Tag: " + tag + "\r\n" + fields);
}

struct BadInput
{
    const char *name;
    std::string bytes;
    int status;
    const char *problem;
};

std::vector<BadInput> badInputs()
{
    const std::string get = "GET /v1/a HTTP/1.1";
    const std::string post = "POST /v1/a HTTP/1.1";
    const char *malformed = "malformed-request";
    return {
            {"no key", get + "\r\n" + hostField + connectionClose + "\r\n", 401, "missing-key"},
            {"wrong key", get + "\r\n" + hostField + connectionClose + "X-Api-Key: other\r\n\r\n",
             401, "unknown-key"},
            {"unknown route", request("GET /v2 HTTP/1.1", connectionClose), 404, "unknown-route"},
            {"path that only starts with the text of a route",
             request("GET /v1evil HTTP/1.1", connectionClose), 404, "unknown-route"},
            {"target in asterisk form", request("OPTIONS * HTTP/1.1", connectionClose), 404,
             "unknown-route"},
            {"oversized head", request(get, "X-Big: " + std::string(4096, 'x') + "\r\n"), 431,
             "head-too-large"},
            {"oversized body", request(post, "Content-Length: 9000\r\n", std::string(9000, 'x')),
             413, "body-too-large"},
            {"oversized chunked body",
             request(post, "Transfer-Encoding: chunked\r\n",
                     "2000\r\n" + std::string(0x2000, 'x') + "\r\n0\r\n\r\n"),
             413, "body-too-large"},
            {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, malformed},
            {"carriage return in the target", request("GET /v1/a\rb HTTP/1.1"), 400, malformed},
            {"line feed in the target", request("GET /v1/a\nb HTTP/1.1"), 400, malformed},
            {"space in the target", request("GET /v1/a b HTTP/1.1"), 400, malformed},
            {"field without a colon", request(get, "nonsense\r\n"), 400, malformed},
            {"space before the colon", request(get, "X-A : 1\r\n"), 400, malformed},
            {"no host", get + "\r\n" + keyField + connectionClose + "\r\n", 400, malformed},
            {"two hosts", request(get, hostField + connectionClose), 400, malformed},
            {"length and chunks",
             request(post, "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400,
             malformed},
            {"chunked encoding and Content-Length",
             request(post, "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), 400,
             malformed},
            {"two Content-Length fields",
             request(post, "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400, malformed},
            {"negative Content-Length", request(post, "Content-Length: -1\r\n"), 400, malformed},
            {"unsupported transfer encoding",
             request(post, connectionClose + "Transfer-Encoding: gzip\r\n"), 400, malformed},
            {"two transfer encodings",
             request(post, connectionClose + "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
             400, malformed},
            {"chunked encoding in HTTP/1.0",
             request("POST /v1/a HTTP/1.0", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400,
             malformed},
            {"dot segments that leave the route",
             request("GET /v1/../admin HTTP/1.1", connectionClose), 400, malformed},
            {"percent-encoded dot segments",
             request("GET /v1/%2e%2E%2fadmin HTTP/1.1", connectionClose), 400, malformed},
            {"two idempotency keys",
             request(post, connectionClose + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400,
             malformed},
            {"slow head", get + "\r\n" + hostField, 408, "slow-sender"},
            {"slow body", request(post, "Content-Length: 100\r\n", "abc"), 408, "slow-sender"},
    };
}

bool servesRequests(const Fleet &fleet)
{
    Call call;
    call.target = "/v1/after";
    call.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", "after"}};
    return eventually([&] { return fleet.call(0, call).status == 200; });
}

} // namespace

SCENARIO("malformed and disallowed requests are refused and nothing runs")
{
    Fleet fleet(smallPlan());
    REQUIRE(fleet.start());
    for (const BadInput &row : badInputs()) {
        INFO(row.name);
        RawCaller caller(fleet.callerPort(0));
        caller.send(row.bytes);
        const RawAnswer answer = caller.readAll();
        CHECK(answer.status() == row.status);
        CHECK(answer.contains(std::string("urn:bilberrystile:problem:") + row.problem));
        CHECK(answer.contains("Content-Type: application/problem+json"));
        CHECK(answer.contains("Bilberry-Outcome: not-run"));
        CHECK(answer.answers() == 1);
        CHECK(answer.closed);
    }
    CHECK(fleet.backend("model-a").journal().empty());
    CHECK(servesRequests(fleet));
}

SCENARIO("a caller connection supports pipelining, keep-alive, HTTP/1.0 and early close")
{
    GIVEN("a small fleet and one connection")
    {
        Fleet fleet(smallPlan());
        REQUIRE(fleet.start());
        RawCaller caller(fleet.callerPort(0));
        BackendStandin &server = fleet.backend("model-a");

        WHEN("requests are pipelined")
        {
            caller.send(taggedRequest("first", "X-Ms: 100\r\n") + taggedRequest("second")
                        + taggedRequest("third", connectionClose));
            const RawAnswer answer = caller.readAll();

            THEN("all of them are answered in order")
            {
                CHECK(answer.answers() == 3);
                CHECK(answer.text.find("first") < answer.text.find("second"));
                CHECK(answer.text.find("second") < answer.text.find("third"));
                CHECK(answer.closed);
            }
        }
        WHEN("refused, HEAD and GET requests follow each other")
        {
            caller.send("HEAD /v1/a HTTP/1.1\r\n" + hostField + "\r\n");
            CHECK(caller.readAnswer(false).status() == 401);
            caller.send(request("HEAD /v1/a HTTP/1.1", "X-Tag: head\r\n"));
            CHECK(caller.readAnswer(false).status() == 200);
            caller.send(taggedRequest("get"));
            CHECK(caller.readAnswer().status() == 200);
            caller.send(taggedRequest("last", connectionClose));
            const RawAnswer last = caller.readAll();

            THEN("the connection is reused each time")
            {
                CHECK(last.status() == 200);
                CHECK(last.contains("\nlast"));
                CHECK(fleet.runs("head") == 1);
            }
        }
        WHEN("the request is HTTP/1.0 and the answer is streamed")
        {
            caller.send(request("GET /v1/a HTTP/1.0", "X-Tag: old\r\nX-Chunks: 3\r\nX-Ms: 60\r\n"));
            const RawAnswer answer = caller.readAll();

            THEN("it is sent without chunked encoding and ends with the connection")
            {
                CHECK(answer.status() == 200);
                CHECK_FALSE(answer.contains("Transfer-Encoding"));
                CHECK(answer.contains("data: old 2\n\n"));
                CHECK(answer.closed);
            }
        }
        WHEN("a streamed answer to HTTP/1.0 breaks off")
        {
            caller.send(request("GET /v1/a HTTP/1.0",
                                "X-Tag: old\r\nX-Chunks: 6\r\nX-Ms: 300\r\nX-Truncate: 1\r\n"));
            const RawAnswer answer = caller.readAll();

            THEN("the connection is reset instead of closed, so that the answer does not look "
                 "complete")
            {
                CHECK_FALSE(answer.closed);
                CHECK(answer.reset);
            }
        }
        WHEN("a header field is listed in Connection")
        {
            caller.send(taggedRequest("hidden", "Connection: close, X-Tag\r\n"));
            const RawAnswer answer = caller.readAll();

            THEN("it is not forwarded")
            {
                CHECK(answer.status() == 200);
                CHECK(fleet.runs("hidden") == 0);
                CHECK(fleet.runs("") == 1);
            }
        }
        WHEN("the caller disconnects during a streamed answer, with another request pipelined")
        {
            caller.send(taggedRequest("long", "X-Chunks: 600\r\nX-Ms: 60000\r\n")
                        + taggedRequest("next"));
            caller.readUntil("data: long 0");
            caller.close();

            THEN("the backend server is released and nothing else runs")
            {
                CHECK(eventually([&] { return server.running() == 0; }));
                CHECK(servesRequests(fleet));
                CHECK(fleet.runs("next") == 0);
            }
        }
        WHEN("the caller disconnects while its request is queued, with another request pipelined")
        {
            RawCaller one(fleet.callerPort(0));
            RawCaller two(fleet.callerPort(0));
            one.send(taggedRequest("one", "X-Ms: 3000\r\n"));
            two.send(taggedRequest("two", "X-Ms: 3000\r\n"));
            REQUIRE(eventually([&] { return server.running() == 2; }));
            caller.send(taggedRequest("queued") + taggedRequest("next"));
            // The agent may keep one request beyond its window; a further one waits at the router.
            const auto requestWaits = [&] {
                const std::string router = fleet.admin(fleet.routerAdminPort(0), "/metrics");
                const std::string agent = fleet.admin(fleet.agentAdminPort("model-a"), "/metrics");
                return router.find("bilberry_requests_waiting{pool=\"models\"} 1")
                               != std::string::npos
                       || agent.find("bilberry_agent_held 1") != std::string::npos;
            };
            REQUIRE(eventually(requestWaits));
            CHECK(fleet.runs("queued") == 0);
            caller.close();

            THEN("it never runs")
            {
                CHECK(one.readAnswer().status() == 200);
                CHECK(two.readAnswer().status() == 200);
                CHECK(servesRequests(fleet));
                CHECK(fleet.runs("queued") == 0);
                CHECK(fleet.runs("next") == 0);
            }
        }
        WHEN("more connections are opened than the router accepts")
        {
            std::vector<std::unique_ptr<RawCaller>> openConnections;
            for (std::size_t i = 1; i < connectionLimit; ++i) {
                openConnections.push_back(std::make_unique<RawCaller>(fleet.callerPort(0)));
                openConnections.back()->send(taggedRequest("held"));
                REQUIRE(openConnections.back()->readAnswer().status() == 200);
            }
            caller.send(taggedRequest("held"));
            REQUIRE(caller.readAnswer().status() == 200);
            const RawAnswer refused = RawCaller(fleet.callerPort(0)).readAll();
            openConnections.clear();

            THEN("the excess one is refused, and new ones are accepted after others have closed")
            {
                CHECK(refused.status() == 503);
                CHECK(refused.contains("Bilberry-Outcome: not-run"));
                CHECK(servesRequests(fleet));
            }
        }
    }
}

SCENARIO("bytes that are not a valid message close only their own link")
{
    GIVEN("a fleet with a stream in progress")
    {
        Fleet fleet(smallPlan());
        REQUIRE(fleet.start());
        RawCaller caller(fleet.callerPort(0));
        caller.send(taggedRequest("stream", "X-Chunks: 20\r\nX-Ms: 1500\r\nConnection: close\r\n"));
        caller.readUntil("data: stream 0");
        const std::string hugeString
                = std::string("\0\0\0\x0f\x01\x09\x01", 7) + std::string("\0\0\0\0\0\1\0\0", 8);
        const std::string garbage[] = {std::string(64, '\0'),
                                       std::string(64, '\xff'),
                                       "GET / HTTP/1.1\r\n\r\n",
                                       hugeString,
                                       std::string("\0\0\0\x06\x02\x01", 6),
                                       std::string("\0\0\0\x06\x01\xf0", 6)};

        WHEN("such bytes arrive at the ports of the agent and the router")
        {
            boost::asio::io_context context;
            boost::asio::ip::udp::socket udp(context, boost::asio::ip::udp::v4());
            const boost::asio::ip::udp::endpoint gossip(boost::asio::ip::address_v4::loopback(),
                                                        fleet.gossipPort(0));
            for (const std::string &bytes : garbage) {
                udp.send_to(boost::asio::buffer(bytes), gossip);
                RawCaller link(fleet.agentPort("model-a"));
                link.send(bytes);
                const RawAnswer end = link.readAll();
                CHECK((end.closed || end.reset));
            }

            THEN("the stream is complete and the fleet still serves requests")
            {
                const RawAnswer answer = caller.readAll();
                CHECK(answer.contains("data: stream 19"));
                CHECK(answer.contains("\r\n0\r\n\r\n"));
                CHECK(servesRequests(fleet));
            }
        }
    }
}
