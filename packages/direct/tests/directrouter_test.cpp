#include "bilberry/direct/directrouter.h"

#include "bilberry/base/digest.h"

#include "support/directsetting.h"
#include "support/fleet.h"
#include "support/rawcaller.h"
#include "support/scriptedserver.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bilberry;
using namespace bilberry::direct;
using namespace bilberry::tests;
using namespace std::chrono_literals;

namespace {

DirectRoute route(const std::string &prefix, RequestKind kind, std::uint32_t attempts)
{
    DirectRoute made;
    made.name = prefix;
    made.host = "h.example";
    made.prefix = prefix;
    made.kind = kind;
    made.maxAttempts = attempts;
    made.pools = {{PoolId("pool"), 1.0}};
    made.timeLimit = 2s;
    made.latencyObjective = 100ms;
    return made;
}

TrafficPlan thePlan()
{
    TrafficPlanParts parts;
    parts.routes = {route("/read/", RequestKind::Idempotent, 2),
                    route("/book/", RequestKind::NonIdempotent, 1),
                    route("/resume/", RequestKind::Stream, 2),
                    route("/stream/", RequestKind::Stream, 1),
                    route("/open/", RequestKind::Idempotent, 1),
                    route("/open-resume/", RequestKind::Stream, 2)};
    parts.routes[2].resumable = true;
    parts.routes[4].isPublic = true;
    parts.routes[5].isPublic = true;
    parts.routes[5].resumable = true;
    parts.pools[PoolId("pool")].id = PoolId("pool");
    parts.customers = {{CustomerId("kitchen"), {sha256Hex("key")}}};
    return TrafficPlan::create(1, parts).value();
}

/// A router in this process, before scripted servers.
class Setting : public DirectSetting
{
public:
    explicit Setting(const std::vector<ScriptedServer *> &servers)
        : DirectSetting(thePlan(), entriesOf(servers))
    {
    }

private:
    static std::vector<DirectServer> entriesOf(const std::vector<ScriptedServer *> &servers)
    {
        std::vector<DirectServer> entries;
        for (std::size_t i = 0; i < servers.size(); ++i)
            entries.push_back(loopbackServer("s" + std::to_string(i), servers[i]->port()));
        return entries;
    }
};

std::string answer(const std::string &status, const std::string &body,
                   const std::string &fields = "Bilberry-Signature: sig\r\n")
{
    return "HTTP/1.1 " + status + "\r\nBilberry-Request-Id: r1\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedServer::Script always(const std::string &bytes,
                              ScriptedAnswer::Then then = ScriptedAnswer::Then::KeepOpen)
{
    return [=](const ScriptedRequest &) { return ScriptedAnswer{bytes, then}; };
}

/// Gives the first request of all servers one answer and each later one another.
class FirstThenRest
{
public:
    FirstThenRest(ScriptedAnswer first, ScriptedAnswer rest)
        : m_first(std::move(first)), m_rest(std::move(rest))
    {
    }

    ScriptedServer::Script script()
    {
        return [this](const ScriptedRequest &) { return m_count++ == 0 ? m_first : m_rest; };
    }
    int count() const { return m_count; }

private:
    ScriptedAnswer m_first;
    ScriptedAnswer m_rest;
    std::atomic<int> m_count = 0;
};

const std::string streamHead = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
                               "Bilberry-Signature: sig\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

} // namespace

SCENARIO("a request goes straight to a server and its answer comes back unchanged")
{
    GIVEN("a router before one server")
    {
        ScriptedServer server(always(answer("200 OK", "whole")));
        Setting setting({&server});

        WHEN("a caller with a key sends a request")
        {
            const RawAnswer got = setting.call(
                    "/book/x?y=1",
                    "Bilberry-Customer: forged\r\nBilberry-Secret: 1\r\nX-Own: 2\r\n", "body");
            THEN("status, signature and body are the server's")
            {
                CHECK(got.status() == 200);
                CHECK(got.contains("Bilberry-Signature: sig"));
                CHECK(got.contains("\r\n\r\nwhole"));
            }
            THEN("the server gets the request, the customer and its own name, but no key")
            {
                REQUIRE(server.requests().size() == 1);
                const ScriptedRequest request = server.requests().front();
                CHECK(request.head.starts_with("POST /book/x?y=1 HTTP/1.1\r\n"));
                CHECK(request.body == "body");
                CHECK(request.field("Bilberry-Customer") == "kitchen");
                CHECK(request.field("Bilberry-Target-Server") == "s0");
                CHECK(request.field("Bilberry-Request-Id") == "r1");
                CHECK(request.field("X-Own") == "2");
                CHECK(request.field("Authorization").empty());
                CHECK(request.field("Bilberry-Secret").empty());
                const int left = std::stoi(request.field("Bilberry-Remaining-Ms"));
                CHECK(left <= 1500);
                CHECK(left > 1000);
            }
        }
        WHEN("the body comes in chunks")
        {
            RawCaller caller(setting.port());
            caller.send("POST /book/x HTTP/1.1\r\nHost: h.example\r\nBilberry-Request-Id: r1\r\n"
                        "Authorization: Bearer key\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
            CHECK(caller.readAnswer().status() == 200);
            THEN("the server gets it whole")
            {
                CHECK(server.requests().front().body == "body");
            }
        }
        WHEN("the request is not allowed")
        {
            THEN("it reaches no server, and the status says why")
            {
                CHECK(setting.call("/book/x", "", "", "").status() == 401);
                CHECK(setting.call("/book/x", "", "", "wrong").status() == 401);
                CHECK(setting.call("/nowhere/x").status() == 404);
                CHECK(setting.call("/book/x", "Transfer-Encoding: chunked\r\n").status() == 400);
                CHECK(server.requests().empty());
            }
        }
        WHEN("one connection carries several requests")
        {
            RawCaller caller(setting.port());
            caller.send(DirectSetting::request("/open/x", "", "", "", true)
                        + DirectSetting::request("/open/y", "", "", ""));
            const RawAnswer all = caller.readAll();
            THEN("each gets its whole answer, in order")
            {
                CHECK(all.status() == 200);
                CHECK(all.answers() == 2);
                const std::size_t first = all.text.find("\r\n\r\nwhole");
                REQUIRE(first != std::string::npos);
                CHECK(all.text.find("\r\n\r\nwhole", first + 1) != std::string::npos);
                REQUIRE(server.requests().size() == 2);
                CHECK(server.requests()[0].head.starts_with("POST /open/x "));
                CHECK(server.requests()[1].head.starts_with("POST /open/y "));
            }
        }
        WHEN("the store falls silent")
        {
            setting.setStoreDown(true);
            REQUIRE(eventually([&] { return !setting.ready(); }));
            THEN("keyed requests are refused as not run, public ones go on")
            {
                const RawAnswer refused = setting.call("/book/x");
                CHECK(refused.status() == 503);
                CHECK(refused.contains("Retry-After"));
                CHECK(server.requests().empty());
                CHECK(setting.call("/open/x").status() == 200);
            }
            AND_WHEN("it is back")
            {
                setting.setStoreDown(false);
                REQUIRE(eventually([&] { return setting.ready(); }));
                THEN("keyed requests are served")
                {
                    CHECK(setting.call("/book/x").status() == 200);
                }
            }
        }
    }
}

SCENARIO("what may have run is sent again only where that is allowed")
{
    const ScriptedAnswer broken{"", ScriptedAnswer::Then::Reset};
    const ScriptedAnswer good{answer("200 OK", "whole")};
    GIVEN("servers of which the first to be asked resets the connection")
    {
        FirstThenRest answers(broken, good);
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});

        THEN("an idempotent request is answered by the other")
        {
            CHECK(setting.call("/read/x").status() == 200);
            CHECK(answers.count() == 2);
        }
        THEN("a booking ends with an unknown outcome")
        {
            CHECK(setting.call("/book/x").status() == 502);
            CHECK(answers.count() == 1);
        }
    }
    GIVEN("servers of which the first to be asked says that it did not run the request")
    {
        FirstThenRest answers({answer("503 Busy", "", "Bilberry-Not-Run: 1\r\n")}, good);
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});
        THEN("a booking is answered by the other")
        {
            CHECK(setting.call("/book/x").status() == 200);
            CHECK(answers.count() == 2);
        }
    }
    GIVEN("servers that all refuse")
    {
        ScriptedServer one(always(answer("503 Busy", "", "Bilberry-Not-Run: 1\r\n")));
        Setting setting({&one});
        THEN("the caller is told that the request did not run, and when to return")
        {
            const RawAnswer refused = setting.call("/book/x");
            CHECK(refused.status() == 503);
            CHECK(refused.contains("Retry-After"));
        }
    }
    GIVEN("an address that another server has taken over")
    {
        FirstThenRest answers({answer("421 Misdirected", "", "")}, good);
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});
        THEN("the request goes to another server")
        {
            CHECK(setting.call("/book/x").status() == 200);
            CHECK(answers.count() == 2);
        }
    }
    GIVEN("a server that fails an idempotent request, and one that does not")
    {
        FirstThenRest answers({answer("500 Error", "oh")}, good);
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});
        THEN("the other one's answer is given")
        {
            CHECK(setting.call("/read/x").status() == 200);
        }
        THEN("a booking's failure is passed on with its signature")
        {
            const RawAnswer got = setting.call("/book/x");
            CHECK(got.status() == 500);
            CHECK(got.contains("Bilberry-Signature: sig"));
        }
    }
}

SCENARIO("answers that are not the request's own are not passed on")
{
    const auto statusFor = [](const std::string &bytes, ScriptedAnswer::Then then) {
        ScriptedServer server(always(bytes, then));
        Setting setting({&server});
        return setting.call("/book/x").status();
    };
    using Then = ScriptedAnswer::Then;
    GIVEN("servers with one fault each")
    {
        THEN("the caller hears of an unknown outcome")
        {
            CHECK(statusFor(answer("200 OK", "x", ""), Then::KeepOpen) == 502);
            CHECK(statusFor(answer("200 OK", "x",
                                   "Bilberry-Signature: s\r\nContent-Encoding: gzip\r\n"),
                            Then::KeepOpen)
                  == 502);
            CHECK(statusFor("no answer at all\r\n\r\n", Then::Close) == 502);
            CHECK(statusFor(
                          "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\nBilberry-Signature: s\r\n"
                          "Content-Length: 10\r\n\r\nshort",
                          Then::Close)
                  == 502);
            CHECK(statusFor(
                          "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\nBilberry-Signature: s\r\n"
                          "\r\nno length",
                          Then::Reset)
                  == 502);
        }
        THEN("an answer that ends with its connection is whole")
        {
            CHECK(statusFor(
                          "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\nBilberry-Signature: s\r\n"
                          "\r\nno length",
                          Then::Close)
                  == 200);
        }
    }
    GIVEN("a late answer to another request in front of the right one")
    {
        ScriptedServer server(always("HTTP/1.1 200 OK\r\nBilberry-Request-Id: old\r\n"
                                     "Bilberry-Signature: s\r\nContent-Length: 3\r\n\r\nold"
                                     + answer("200 OK", "right")));
        Setting setting({&server});
        THEN("the right one is given")
        {
            const RawAnswer got = setting.call("/book/x");
            CHECK(got.status() == 200);
            CHECK(got.contains("right"));
            CHECK_FALSE(got.contains("\r\n\r\nold"));
        }
    }
}

SCENARIO("streams are passed on as they come")
{
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    GIVEN("a server that stops after the first event")
    {
        ScriptedServer server(always(streamHead + chunk(first), ScriptedAnswer::Then::StaySilent));
        Setting setting({&server});
        WHEN("a caller waits for it and leaves")
        {
            RawCaller caller(setting.port());
            caller.send(DirectSetting::request("/stream/x", "", "", "key"));
            CHECK(caller.readUntil("data: a").contains("Transfer-Encoding: chunked"));
            caller.close();
            THEN("the server's connection is closed at once")
            {
                CHECK(eventually([&] { return server.abandoned() == 1; }, 1s));
            }
        }
        WHEN("the route's time is over")
        {
            const RawAnswer got = setting.call("/stream/x");
            THEN("the answer does not look complete")
            {
                CHECK(got.contains("data: a"));
                CHECK_FALSE(got.contains("\r\n0\r\n\r\n"));
            }
        }
    }
    GIVEN("a server that breaks off in the middle of the second event")
    {
        FirstThenRest answers(
                {streamHead + chunk(first) + chunk("id: 2\nda"), ScriptedAnswer::Then::Reset},
                {streamHead + chunk(second) + "0\r\n\r\n"});
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});
        THEN("a resumable stream goes on behind its last whole event")
        {
            const RawAnswer got = setting.call("/resume/x");
            CHECK(got.status() == 200);
            CHECK(got.answers() == 1);
            CHECK(got.contains(first));
            CHECK(got.contains(second));
            CHECK(got.contains("\r\n0\r\n\r\n"));
            std::string resumedAfter;
            for (const ScriptedServer *server : {&one, &two}) {
                for (const ScriptedRequest &request : server->requests())
                    resumedAfter += request.field("Last-Event-Id");
            }
            CHECK(resumedAfter == "1");
        }
        THEN("a public one goes on too")
        {
            const RawAnswer got = setting.call("/open-resume/x", "", "", "");
            CHECK(got.contains(first));
            CHECK(got.contains(second));
            CHECK(got.contains("\r\n0\r\n\r\n"));
        }
        THEN("another stream is cut")
        {
            const RawAnswer got = setting.call("/stream/x");
            CHECK(got.contains("data: a"));
            CHECK_FALSE(got.contains("\r\n0\r\n\r\n"));
            CHECK(answers.count() == 1);
        }
    }
}

SCENARIO("a stream that can't go on does not end as if it were whole")
{
    const std::string first = "id: 1\ndata: a\n\n";
    GIVEN("a server that breaks off, and one that fails the rest")
    {
        FirstThenRest answers({streamHead + chunk(first), ScriptedAnswer::Then::Reset},
                              {answer("500 Error", "oh no")});
        ScriptedServer one(answers.script());
        ScriptedServer two(answers.script());
        Setting setting({&one, &two});
        THEN("the stream is cut, and the failure is no part of it")
        {
            const RawAnswer got = setting.call("/resume/x");
            CHECK(answers.count() == 2);
            CHECK(got.contains("data: a"));
            CHECK_FALSE(got.contains("oh no"));
            CHECK_FALSE(got.contains("\r\n0\r\n\r\n"));
        }
    }
    GIVEN("a server that does not sign its stream")
    {
        std::string head = streamHead;
        head.replace(head.find("Bilberry-Signature: sig\r\n"), 25, "");
        ScriptedServer server(always(head + chunk(first) + "0\r\n\r\n"));
        Setting setting({&server});
        THEN("nothing of it is passed on")
        {
            const RawAnswer got = setting.call("/stream/x");
            CHECK(got.status() == 502);
            CHECK_FALSE(got.contains("data: a"));
        }
    }
}

SCENARIO("a planned stop cuts off no request")
{
    GIVEN("a router with a request on its way")
    {
        ScriptedServer server([](const ScriptedRequest &) {
            std::this_thread::sleep_for(500ms);
            return ScriptedAnswer{answer("200 OK", "whole")};
        });
        Setting setting({&server});
        RawCaller caller(setting.port());
        RawCaller idle(setting.port());
        caller.send(DirectSetting::request("/open/x", "", "", "", true));
        REQUIRE(eventually([&] { return server.requests().size() == 1; }));
        setting.stop();
        THEN("it is answered, the next connection too until the balancer knows, and all are closed")
        {
            CHECK(eventually([&] { return !setting.ready(); }));
            CHECK(setting.call("/open/x").status() == 200);
            const RawAnswer got = caller.readAll();
            CHECK(got.status() == 200);
            CHECK(got.contains("Connection: close"));
            CHECK(got.closed);
            CHECK(idle.readAll().closed);
        }
    }
}
