#include "bilberry/wire/gossipsocket.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::wire;

namespace {

constexpr auto receiveTimeout = std::chrono::seconds(2);

/// Socket of one router that counts the datagrams received.
struct Node
{
    Node(boost::asio::io_context &context, const std::string &name)
        : name(name), port(tests::freePort()),
          socket(
                  context, "127.0.0.1", port, [this](wire::GossipMessage &&) { ++received; },
                  [](std::size_t) {})
    {
        socket.start();
    }

    void sendTo(const std::string &peer)
    {
        wire::Probe probe;
        probe.sender.router = RouterId(name);
        socket.send(RouterId(peer), probe);
    }

    GossipPeer peer(const std::string &as) const { return {RouterId(as), "127.0.0.1", port}; }

    std::string name;
    std::uint16_t port;
    int received = 0;
    GossipSocket socket;
};

} // namespace

SCENARIO("few unlisted routers are listened to at a time")
{
    GIVEN("a router that lists another one, and a sender that invents names")
    {
        boost::asio::io_context context;
        Node router(context, "router");
        Node listed(context, "listed");
        Node inventor(context, "");
        router.socket.setPeers({listed.peer("listed")});
        listed.socket.setPeers({router.peer("router")});
        inventor.socket.setPeers({router.peer("router")});

        WHEN("it sends under many names, and the listed one sends afterwards")
        {
            constexpr int names = 1000;
            constexpr int maxHeard = 300;
            for (int i = 0; i < names; ++i) {
                inventor.name = "unknown-" + std::to_string(i);
                inventor.sendTo("router");
                context.poll();
            }
            context.run_for(std::chrono::milliseconds(100));
            const int heard = router.received;
            listed.sendTo("router");
            context.run_for(std::chrono::milliseconds(100));
            THEN("some of the names are heard, and the listed one is")
            {
                CHECK(heard > 0);
                CHECK(heard < maxHeard);
                CHECK(router.received == heard + 1);
            }
        }
    }
}

SCENARIO("datagrams are sent to listed routers and to senders not listed yet")
{
    GIVEN("a joining router that lists an existing one, which does not list it yet")
    {
        boost::asio::io_context context;
        Node existing(context, "existing");
        Node joining(context, "joining");
        Node moved(context, "joining");
        const auto runUntilReceived = [&](const int &received, int wanted) {
            const TimePoint deadline = Clock::now() + receiveTimeout;
            while (received < wanted && Clock::now() < deadline)
                context.run_one_until(deadline);
            return received;
        };
        joining.socket.setPeers({existing.peer("existing")});
        existing.sendTo("joining");

        WHEN("the joining router sends first")
        {
            joining.sendTo("existing");
            REQUIRE(runUntilReceived(existing.received, 1) == 1);
            THEN("the existing router can answer")
            {
                existing.sendTo("joining");
                CHECK(runUntilReceived(joining.received, 1) == 1);
            }
            THEN("a list with another address for its name replaces the address")
            {
                existing.socket.setPeers({moved.peer("joining")});
                existing.sendTo("joining");
                CHECK(runUntilReceived(moved.received, 1) == 1);
                CHECK(joining.received == 0);
            }
            // An empty list is a list: whoever doesn't know the peers doesn't set them.
            THEN("an empty list removes the listed routers")
            {
                joining.socket.setPeers({});
                joining.sendTo("existing");
                existing.sendTo("joining");
                CHECK(runUntilReceived(joining.received, 1) == 1);
                CHECK(existing.received == 1);
            }
            THEN("a router that it heard from afterwards can be answered")
            {
                joining.socket.setPeers({});
                existing.sendTo("joining");
                CHECK(runUntilReceived(joining.received, 1) == 1);
                joining.sendTo("existing");
                CHECK(runUntilReceived(existing.received, 2) == 2);
            }
        }
    }
}
