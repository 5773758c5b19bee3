#include "bilberry/router/callerserver.h"

#include "support/damagedmessages.h"
#include "support/fleet.h"
#include "support/rawcaller.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

using namespace bilberry;
using namespace bilberry::router;
using tests::eventually;
using tests::RawAnswer;
using tests::RawCaller;

namespace {

ConfigurationPtr configuration()
{
    ConfigurationParts parts;
    const ZoneId zone("a");
    parts.zones[zone].id = zone;
    const PoolId pool("models");
    parts.pools[pool].id = pool;
    parts.pools[pool].zones = {zone};
    const CustomerId customer("kitchen");
    parts.customers[customer].id = customer;
    parts.customers[customer].keyDigests = {sha256Hex("kitchen-key")};
    parts.routes["/v1"].prefix = "/v1";
    parts.routes["/v1"].pool = pool;
    return std::make_shared<const Configuration>(Configuration::create(1, parts).value());
}

/// Stands in for the core and its queue, which can be set to be full.
struct CoreStandin
{
    bool push(CallerEvent &&event)
    {
        if (full) {
            ++rejected;
            return false;
        }
        const std::lock_guard lock(mutex);
        events.push_back(std::move(event));
        return true;
    }

    template <typename Event>
    std::vector<Event> eventsOf()
    {
        const std::lock_guard lock(mutex);
        std::vector<Event> found;
        for (const CallerEvent &event : events) {
            if (const auto *match = std::get_if<Event>(&event))
                found.push_back(*match);
        }
        return found;
    }

    std::atomic<bool> full = false;
    std::atomic<int> rejected = 0;
    std::mutex mutex;
    std::vector<CallerEvent> events;
};

/// A server for callers on its own thread, in front of a core that the test plays.
class RunningServer
{
public:
    RunningServer()
        : thread("callers"), settings(localSettings()),
          server(thread.context(), settings,
                 [this](CallerEvent &&event) { return core.push(std::move(event)); })
    {
        server.setConfiguration(configuration());
        server.start();
        thread.start();
    }
    // The members are used by the thread until it has stopped.
    ~RunningServer() { thread.stop(); }

    std::uint16_t port() const { return settings.callerPort; }

    CoreStandin core;
    EventLoopThread thread;
    RouterSettings settings;
    CallerServer server;

private:
    static RouterSettings localSettings()
    {
        RouterSettings settings;
        settings.listenAddress = "127.0.0.1";
        settings.callerPort = tests::freePort();
        return settings;
    }
};

/// @return a request of the customer of the configuration
std::string requestTo(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: kitchen-key\r\n\r\n";
}

} // namespace

SCENARIO("events of callers reach the core after its queue was full")
{
    GIVEN("a caller whose request was passed to the core")
    {
        RunningServer running;
        RawCaller caller(running.port());
        caller.send(requestTo("/v1/a"));
        REQUIRE(eventually([&] { return running.core.eventsOf<SubmittedRequest>().size() == 1; }));
        const RequestId id = running.core.eventsOf<SubmittedRequest>().front().request;

        WHEN("the caller disconnects while the queue is full")
        {
            running.core.full = true;
            caller.close();
            REQUIRE(eventually([&] { return running.core.rejected > 0; }));
            CHECK(running.core.eventsOf<CallerDisconnected>().empty());
            running.core.full = false;

            THEN("the core receives the disconnect afterwards, once")
            {
                REQUIRE(eventually(
                        [&] { return !running.core.eventsOf<CallerDisconnected>().empty(); }));
                CHECK(running.core.eventsOf<CallerDisconnected>().size() == 1);
                CHECK(running.core.eventsOf<CallerDisconnected>().front().request == id);
            }
        }
        WHEN("parts of the answer are written while the queue is full")
        {
            constexpr std::size_t partBytes = 100000;
            running.core.full = true;
            boost::asio::post(running.thread.context(), [&] {
                running.server.reply(ReplyHead{id, 200, {}});
                running.server.reply(ReplyChunk{id, std::string(partBytes, 'x')});
            });
            REQUIRE(eventually([&] { return running.core.rejected > 0; }));
            running.core.full = false;

            THEN("the core receives the number of written bytes afterwards")
            {
                REQUIRE(eventually(
                        [&] { return !running.core.eventsOf<AnswerBytesWritten>().empty(); }));
                CHECK(running.core.eventsOf<AnswerBytesWritten>().front().bytes == partBytes);
            }
        }
    }
}

// A request on an idle connection that crosses the start of a planned stop must get an answer.
SCENARIO("a request that arrives on an idle connection during the stop is refused as not run")
{
    GIVEN("callers with idle connections")
    {
        RunningServer running;
        RawCaller first(running.port());
        RawCaller second(running.port());
        for (RawCaller *caller : {&first, &second}) {
            caller->send(requestTo("/nowhere"));
            CHECK(caller->readAnswer().status() == 404);
        }

        WHEN("the server starts to drain, and they send requests")
        {
            std::atomic<bool> draining = false;
            boost::asio::post(running.thread.context(), [&] {
                running.server.startDraining();
                draining = true;
            });
            REQUIRE(eventually([&] { return draining.load(); }));
            first.send(requestTo("/v1/a"));
            const RawAnswer refused = first.readAll();
            second.send(requestTo("/v1/a"));

            THEN("each gets a refusal that says so, and its connection is closed")
            {
                CHECK(refused.status() == 503);
                CHECK(refused.contains("not-run"));
                CHECK(refused.contains("Connection: close"));
                CHECK(refused.closed);
                CHECK(second.readAll().status() == 503);
                CHECK(running.core.eventsOf<SubmittedRequest>().empty());
            }
        }
    }
}

// A declared length or a long trailer field must not end the router.
SCENARIO("a caller of the router sends a request that no receiver can hold")
{
    RunningServer running;
    for (const tests::DamagedMessage &damaged : tests::damagedMessages()) {
        GIVEN("a caller that sends " + damaged.name)
        {
            RawCaller caller(running.port());
            caller.send(damaged.after("POST /nowhere HTTP/1.1\r\nHost: a\r\n"
                                      "X-Api-Key: kitchen-key\r\nConnection: close\r\n"));
            const int status = caller.readAnswer().status();
            THEN("it is refused, and another caller gets its answer")
            {
                INFO(status);
                CHECK((status == 400 || status == 404 || status == 413 || status == 431));
                RawCaller other(running.port());
                other.send(requestTo("/nowhere"));
                CHECK(other.readAnswer().status() == 404);
            }
        }
    }
}
