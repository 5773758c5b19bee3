#include "bilberry/router/coordinator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <random>

using namespace bilberry;
using namespace bilberry::router;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 50ms;
constexpr Duration settleTime = 5s; ///< within it a revision is in force everywhere
constexpr std::uint32_t noProof = 0xffffffffU;

/// Several coordinators over a network, a clock and a platform that the test controls.
class Bench
{
public:
    explicit Bench(std::size_t routers, std::uint64_t seed = 1) : m_random(seed)
    {
        for (std::size_t i = 0; i < routers; ++i)
            m_nodes.push_back(std::make_unique<Node>());
        for (std::size_t i = 0; i < routers; ++i)
            start(i);
        accept();
    }

    void start(std::size_t index)
    {
        RouterSettings settings;
        settings.router = nameOf(index);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            store::Vm vm;
            vm.name = nameOf(i).text();
            settings.peers.push_back(vm);
        }
        settings.watchers = 1;
        CoordinatorHooks hooks;
        hooks.send = [this, index](const RouterId &to, const wire::GossipMessage &message) {
            send(index, indexOf(to), message);
        };
        hooks.stamp = [](const wire::ConfigurationStamp &, TimePoint) {};
        hooks.fetchConfiguration
                = [this, index](const RouterId &from, bool) { fetch(index, indexOf(from)); };
        hooks.watch = [this, index](bool watch) { m_nodes[index]->watches = watch; };
        Node &node = *m_nodes[index];
        node.revision = 0;
        node.watches = true;
        node.coordinator = std::make_unique<Coordinator>(settings, m_random(), hooks);
    }

    /// An operator's change is accepted.
    void accept() { m_acceptedAt.push_back(m_now); }
    Revision head() const { return m_acceptedAt.size(); }

    void run(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += step;
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                advance(i);
        }
    }

    void healAll()
    {
        lossPercent = 0;
        for (const auto &node : m_nodes)
            node->platformCut = node->peersCut = node->paused = false;
    }

    wire::ConfigurationStamp stamp(std::size_t index) const
    {
        return m_nodes[index]->coordinator->stamp(m_now);
    }

    /// @return whether the newest revision is in force and recently proved everywhere
    bool settled() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const wire::ConfigurationStamp present = stamp(i);
            if (present.revision != head() || present.proofAgeMs > 3000)
                return false;
        }
        return true;
    }

    /// @return whether some proof claims a time at which the next revision was accepted already
    bool understated() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const wire::ConfigurationStamp present = stamp(i);
            if (present.proofAgeMs == noProof || present.revision >= head())
                continue;
            const TimePoint claimed = m_now - std::chrono::milliseconds(present.proofAgeMs);
            if (claimed > m_acceptedAt[present.revision])
                return true;
        }
        return false;
    }

    struct Node
    {
        std::unique_ptr<Coordinator> coordinator;
        Revision revision = 0;
        bool watches = true;
        bool platformCut = false;
        bool peersCut = false;
        bool paused = false;
        bool reverted = false;
    };

    Node &node(std::size_t index) { return *m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    bool reverted() const
    {
        return std::any_of(m_nodes.begin(), m_nodes.end(),
                           [](const auto &node) { return node->reverted; });
    }

    std::size_t lossPercent = 0;
    Duration longestDelay{};
    std::size_t copies = 1;

private:
    struct Datagram
    {
        TimePoint arrivesAt;
        std::size_t to = 0;
        wire::GossipMessage message;
    };

    static RouterId nameOf(std::size_t index)
    {
        return RouterId("router-" + std::to_string(index));
    }
    static std::size_t indexOf(const RouterId &router)
    {
        return std::stoul(router.text().substr(sizeof "router-" - 1));
    }

    bool connected(std::size_t from, std::size_t to) const
    {
        return !m_nodes[from]->peersCut && !m_nodes[to]->peersCut;
    }

    void send(std::size_t from, std::size_t to, const wire::GossipMessage &message)
    {
        for (std::size_t copy = 0; copy < copies; ++copy) {
            if (connected(from, to) && m_random() % 100 >= lossPercent)
                m_wire.push_back({m_now + longestDelay * static_cast<long>(m_random() % 100) / 100,
                                  to, message});
        }
    }

    void fetch(std::size_t index, std::size_t from)
    {
        if (connected(index, from) && !m_nodes[from]->paused)
            putInForce(index, m_nodes[from]->revision, std::nullopt);
    }

    void putInForce(std::size_t index, Revision revision, std::optional<TimePoint> provenAt)
    {
        Node &node = *m_nodes[index];
        if (revision <= node.revision)
            return;
        node.revision = revision;
        const Revision before = node.coordinator->stamp(m_now).revision;
        node.coordinator->inForce(revision, provenAt, m_now);
        node.reverted = node.reverted || node.coordinator->stamp(m_now).revision < before;
    }

    void advance(std::size_t index)
    {
        Node &node = *m_nodes[index];
        if (node.paused)
            return;
        std::deque<Datagram> rest;
        std::deque<Datagram> present = std::exchange(m_wire, {});
        for (Datagram &datagram : present) {
            if (datagram.to == index && datagram.arrivesAt <= m_now)
                node.coordinator->received(datagram.message, m_now);
            else
                rest.push_back(std::move(datagram));
        }
        m_wire.insert(m_wire.begin(), rest.begin(), rest.end());
        if (node.watches && node.platformCut)
            node.coordinator->platformFailed();
        if (node.watches && !node.platformCut) {
            putInForce(index, head(), m_now);
            node.coordinator->proof(head(), m_now, m_now);
        }
        node.coordinator->tick(m_now);
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<Datagram> m_wire;
    std::vector<TimePoint> m_acceptedAt; ///< of revision index + 1
    TimePoint m_now{std::chrono::hours(1)};
};

struct Trouble
{
    const char *name;
    std::function<void(Bench &)> start;
};

} // namespace

SCENARIO("an accepted revision reaches all routers, and a proof is never younger than its cause")
{
    const auto trouble = GENERATE(values<Trouble>({
            {"nothing", [](Bench &) {}},
            {"a third of the datagrams is lost", [](Bench &bench) { bench.lossPercent = 33; }},
            {"datagrams are late and cross", [](Bench &bench) { bench.longestDelay = 400ms; }},
            {"datagrams come twice", [](Bench &bench) { bench.copies = 2; }},
            {"the watcher is cut from the platform",
             [](Bench &bench) {
                 for (std::size_t i = 0; i < bench.size(); ++i)
                     bench.node(i).platformCut = bench.node(i).watches;
             }},
            {"only one router reaches the platform",
             [](Bench &bench) {
                 for (std::size_t i = 1; i < bench.size(); ++i)
                     bench.node(i).platformCut = true;
             }},
            {"a router restarts empty without the platform",
             [](Bench &bench) {
                 bench.node(3).platformCut = true;
                 bench.start(3);
             }},
    }));
    GIVEN("five routers, and " << trouble.name)
    {
        Bench bench(5);
        bench.run(2s);
        REQUIRE(bench.settled());
        trouble.start(bench);
        WHEN("an operator's change is accepted")
        {
            bench.run(1s);
            bench.accept();
            THEN("it is in force everywhere in time and stays proved")
            {
                bench.run(settleTime);
                CHECK(bench.settled());
                bench.run(settleTime);
                CHECK(bench.settled());
                CHECK_FALSE(bench.understated());
                CHECK_FALSE(bench.reverted());
            }
        }
    }
}

SCENARIO("a router that was paused over a change claims no proof from old datagrams")
{
    GIVEN("three routers, one of them paused without the platform")
    {
        Bench bench(3);
        bench.run(2s);
        const std::size_t paused = bench.node(0).watches ? 1 : 0;
        bench.node(paused).platformCut = true;
        bench.node(paused).paused = true;
        bench.run(3s);
        bench.accept();
        bench.run(10s);
        WHEN("it goes on")
        {
            bench.node(paused).peersCut = true;
            bench.node(paused).paused = false;
            bench.run(step);
            THEN("the datagrams of its pause prove nothing")
            {
                CHECK_FALSE(bench.understated());
            }
        }
    }
}

TEST_CASE("proofs stay true and revisions rise under random faults")
{
    REQUIRE(rc::check("proof ages are never understated", [] {
        Bench bench(4, *rc::gen::arbitrary<std::uint64_t>());
        bench.lossPercent = *rc::gen::inRange<std::size_t>(0, 50);
        bench.longestDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        bench.copies = *rc::gen::inRange<std::size_t>(1, 3);
        const auto actions = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
                rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, 4)));
        for (const auto &[action, index] : actions) {
            Bench::Node &node = bench.node(index);
            if (action == 0)
                bench.accept();
            else if (action == 1)
                node.platformCut = !node.platformCut;
            else if (action == 2)
                node.peersCut = !node.peersCut;
            else if (action == 3)
                node.paused = !node.paused;
            else if (action == 4)
                bench.start(index);
            for (int i = 0; i < 10; ++i) {
                bench.run(step);
                RC_ASSERT(!bench.understated());
            }
        }
        RC_ASSERT(!bench.reverted());
        bench.healAll();
        bench.longestDelay = {};
        bench.run(settleTime);
        RC_ASSERT(bench.settled());
    }));
}
