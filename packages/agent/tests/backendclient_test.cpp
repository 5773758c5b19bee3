#include "bilberry/agent/backendclient.h"

#include "support/damagedmessages.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <optional>
#include <tuple>

using namespace bilberry;
using namespace bilberry::agent;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

/// What an agent passes on of one answer.
struct Passed
{
    std::vector<unsigned> statuses; ///< of the heads
    std::string body;
    std::optional<BackendOutcome> outcome;
};

/// @return what becomes of a request to a server
Passed passedOn(const ScriptedServer &server, const std::string &body = "body")
{
    AgentSettings settings;
    settings.backendAddress = "127.0.0.1";
    settings.backendPort = server.port();
    boost::asio::io_context context;
    Passed passed;
    BackendClient client(context, settings, [&](BackendEvent &&event) {
        if (const auto *head = std::get_if<BackendAnswerHead>(&event))
            passed.statuses.push_back(head->status);
        else if (const auto *chunk = std::get_if<BackendAnswerChunk>(&event))
            passed.body += chunk->data;
        else if (const auto *end = std::get_if<BackendAnswerEnd>(&event))
            passed.outcome = end->outcome;
    });
    client.execute(RunCommand{1, "POST", "/x", {}, body});
    context.run_for(2s);
    return passed;
}

/// @return how an attempt ends whose server sends these bytes and closes the connection
std::optional<BackendOutcome> outcomeOf(const std::string &bytes)
{
    const ScriptedServer server([&](const ScriptedRequest &) {
        return ScriptedAnswer{bytes, ScriptedAnswer::Then::Close};
    });
    return passedOn(server).outcome;
}

} // namespace

// A stream whose server closes the connection inside an event must not be passed on as complete.
SCENARIO("an agent's server ends a stream by closing the connection")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    const std::string event = "id: 1\ndata: a\n\n";
    GIVEN("a stream without a length or chunks")
    {
        THEN("it is complete when the last event is")
        {
            CHECK(outcomeOf(head + event) == BackendOutcome::Complete);
        }
        THEN("it is broken when it ends inside an event or before the first one")
        {
            CHECK(outcomeOf(head + event + "id: 2\nda") == BackendOutcome::Broken);
            CHECK(outcomeOf(head + event + "id: 2\ndata: b\n") == BackendOutcome::Broken);
            CHECK(outcomeOf(head) == BackendOutcome::Broken);
        }
    }
    GIVEN("an answer of another type")
    {
        THEN("the end of the connection is its end")
        {
            CHECK(outcomeOf("HTTP/1.1 200 OK\r\n\r\nwhole") == BackendOutcome::Complete);
        }
    }
}

// Reported by other operators: a server stopped in the middle of its answer's head and closed, and
// callers got a 200 with an empty or short body that looked whole.
SCENARIO("an agent's server closes its connection anywhere in its answer")
{
    for (const std::string &bytes :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")}) {
        GIVEN("a server that answers: " + bytes)
        {
            THEN("the attempt is complete with the last byte, and not before")
            {
                for (std::size_t size = 0; size < bytes.size(); ++size) {
                    INFO(size << " bytes");
                    CHECK(outcomeOf(bytes.substr(0, size)) == BackendOutcome::Broken);
                }
                CHECK(outcomeOf(bytes) == BackendOutcome::Complete);
            }
        }
    }
}

// A declared length or a long trailer field must not end the agent.
SCENARIO("an agent's server sends a response that no receiver can hold")
{
    for (const DamagedMessage &damaged : damagedMessages()) {
        GIVEN("a server that sends " + damaged.name)
        {
            const auto outcome = outcomeOf(damaged.after("HTTP/1.1 200 OK\r\n"));
            THEN("the attempt ends")
            {
                CHECK(outcome.has_value());
            }
        }
    }
}

// The agent took an interim answer for the actual one, which then answered the next request.
SCENARIO("an agent's server sends interim answers")
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const std::string actual = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    GIVEN("two of them before the actual answer")
    {
        const ScriptedServer server([&](const ScriptedRequest &) {
            return ScriptedAnswer{interim + interim + actual};
        });
        const Passed passed = passedOn(server);
        THEN("only the actual one is passed on")
        {
            CHECK(passed.statuses == std::vector<unsigned>{200});
            CHECK(passed.body == "whole");
            CHECK(passed.outcome == BackendOutcome::Complete);
        }
    }
    GIVEN("interim answers without end")
    {
        const ScriptedServer server([&](const ScriptedRequest &) {
            return ScriptedAnswer{interim, ScriptedAnswer::Then::Repeat, interim};
        });
        const Passed passed = passedOn(server);
        THEN("the attempt fails")
        {
            CHECK(passed.statuses.empty());
            CHECK(passed.outcome == BackendOutcome::Broken);
        }
    }
}

// Reported by other operators: the client got an answer whose status was 000.
SCENARIO("an agent's server answers with a status that HTTP doesn't define")
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        GIVEN("the status " + status)
        {
            THEN("the answer is broken")
            {
                CHECK(outcomeOf("HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n")
                      == BackendOutcome::Broken);
            }
        }
    }
}

// Reported by other operators: a part of an early answer looked whole when its server reset the
// connection during the upload. A whole one must not be lost by that.
SCENARIO("an agent's server answers a long upload early and ends the connection")
{
    const auto passedOf = [](const std::string &bytes, ScriptedAnswer::Then then) {
        const ScriptedServer server(
                [&](const ScriptedRequest &) {
                    return ScriptedAnswer{bytes, then};
                },
                {16U << 10U, true});
        return passedOn(server, std::string(3U << 20U, 'b'));
    };
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\npart";
    const std::string framed = "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nwhole";
    GIVEN("an answer without a length, and a reset")
    {
        THEN("it is broken")
        {
            for (int i = 0; i < 10; ++i)
                CHECK(passedOf(unframed, ScriptedAnswer::Then::Reset).outcome
                      == BackendOutcome::Broken);
        }
    }
    GIVEN("an answer without a length, and an end in order")
    {
        THEN("it is whole")
        {
            const Passed passed = passedOf(unframed, ScriptedAnswer::Then::HalfClose);
            CHECK(passed.outcome == BackendOutcome::Complete);
            CHECK(passed.body == "part");
        }
    }
    GIVEN("an answer with a length")
    {
        for (const auto then : {ScriptedAnswer::Then::Close, ScriptedAnswer::Then::HalfClose}) {
            THEN("it is passed on, however the connection ends: " + std::to_string(int(then)))
            {
                const Passed passed = passedOf(framed, then);
                CHECK(passed.statuses == std::vector<unsigned>{503});
                CHECK(passed.body == "whole");
                CHECK(passed.outcome == BackendOutcome::Complete);
            }
        }
    }
}

// Reported by other operators: a machine kept all bytes of such answers and ran out of memory.
SCENARIO("an agent's server sends bytes without end")
{
    const std::string filler(4096, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto passedOf = [](const std::string &start, const std::string &repeated) {
        const ScriptedServer server([&](const ScriptedRequest &) {
            return ScriptedAnswer{start, ScriptedAnswer::Then::Repeat, repeated};
        });
        return passedOn(server);
    };
    const std::vector<std::tuple<std::string, std::string, std::string>> broken{
            {"that are no head", "", filler},
            {"in a status line", "HTTP/1.1 200 ", filler},
            {"in a head", "HTTP/1.1 200 OK\r\n", "X-Field: " + filler + "\r\n"},
            {"in a chunk's extension", head + "5;x=", filler},
            {"in trailer fields", head + "5\r\nwhole\r\n0\r\n", "X-Field: " + filler + "\r\n"}};
    for (const auto &[name, start, repeated] : broken) {
        GIVEN("bytes " + name)
        {
            const Passed passed = passedOf(start, repeated);
            THEN("the answer is broken")
            {
                CHECK(passed.outcome == BackendOutcome::Broken);
                CHECK(passed.body.size() <= 5);
            }
        }
    }
    GIVEN("a body, and a router that gives no credit for more")
    {
        const Passed passed = passedOf("HTTP/1.1 200 OK\r\n\r\n", filler);
        THEN("the agent takes what it has credit for, and waits")
        {
            constexpr std::size_t creditWindow = 256U << 10U;
            constexpr std::size_t readBytes = 32U << 10U;
            CHECK(passed.body.size() >= creditWindow);
            CHECK(passed.body.size() < creditWindow + readBytes);
            CHECK_FALSE(passed.outcome);
        }
    }
}
