#include "bilberry/wire/gossipsocket.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::wire;

namespace {

constexpr auto arrival = std::chrono::seconds(2);

/// One router's socket; it notes how many datagrams came.
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

SCENARIO("datagrams follow the list, and the senders that it leaves out")
{
    GIVEN("a new router that knows an old one, which does not know it yet")
    {
        boost::asio::io_context context;
        Node old(context, "old");
        Node fresh(context, "fresh");
        Node replaced(context, "fresh");
        const auto run = [&](const int &received, int wanted) {
            const TimePoint deadline = Clock::now() + arrival;
            while (received < wanted && Clock::now() < deadline)
                context.run_one_until(deadline);
            return received;
        };
        fresh.socket.setPeers({old.peer("old")});
        old.sendTo("fresh");

        WHEN("the new router speaks first")
        {
            fresh.sendTo("old");
            REQUIRE(run(old.received, 1) == 1);
            THEN("the old one can answer")
            {
                old.sendTo("fresh");
                CHECK(run(fresh.received, 1) == 1);
            }
            THEN("a list with another address for its name is followed")
            {
                old.socket.setPeers({replaced.peer("fresh")});
                old.sendTo("fresh");
                CHECK(run(replaced.received, 1) == 1);
                CHECK(fresh.received == 0);
            }
            THEN("a list without routers changes nothing")
            {
                fresh.socket.setPeers({});
                fresh.sendTo("old");
                CHECK(run(old.received, 2) == 2);
            }
        }
    }
}
