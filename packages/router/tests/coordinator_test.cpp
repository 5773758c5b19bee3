#include "bilberry/router/coordinator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <random>

using namespace bilberry;
using namespace bilberry::router;
using namespace std::chrono_literals;

namespace {

constexpr Duration tickPeriod = 50ms;
constexpr Duration convergenceLimit = 5s; ///< until all routers apply a revision
constexpr std::uint32_t noProof = 0xffffffffU;

/// Several coordinators with a simulated network, clock and platform.
class Cluster
{
public:
    explicit Cluster(std::size_t routers, std::uint64_t seed = 1) : m_random(seed)
    {
        for (std::size_t i = 0; i < routers; ++i)
            m_nodes.push_back(std::make_unique<Node>());
        for (std::size_t i = 0; i < routers; ++i)
            startRouter(i);
        acceptChange();
    }

    void startRouter(std::size_t index)
    {
        RouterSettings settings;
        settings.router = routerName(index);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            store::Vm vm;
            vm.name = routerName(i).text();
            settings.peers.push_back(vm);
        }
        settings.configurationWatchers = 1;
        CoordinatorHooks hooks;
        hooks.send = [this, index](const RouterId &to, const wire::GossipMessage &message) {
            send(index, indexOf(to), message);
        };
        hooks.publishStamp = [](const wire::ConfigurationStamp &, TimePoint) {};
        hooks.fetchConfiguration
                = [this, index](const RouterId &from, bool) { fetch(index, indexOf(from)); };
        hooks.setWatchEnabled = [this, index](bool watch) { m_nodes[index]->watches = watch; };
        Node &node = *m_nodes[index];
        node.revision = 0;
        node.watches = true;
        node.coordinator = std::make_unique<Coordinator>(settings, m_random(), hooks);
    }

    /// The platform accepts a change, which creates a revision.
    void acceptChange() { m_acceptedAt.push_back(m_now); }
    Revision newestRevision() const { return m_acceptedAt.size(); }

    void runFor(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now += tickPeriod;
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                tickNode(i);
        }
    }

    void repairAll()
    {
        lossPercent = 0;
        for (const auto &node : m_nodes)
            node->platformCut = node->peersCut = node->paused = false;
    }

    wire::ConfigurationStamp stamp(std::size_t index) const
    {
        return m_nodes[index]->coordinator->stamp(m_now);
    }

    /// @return true when all routers apply the newest revision and have a recent proof for it
    bool converged() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const wire::ConfigurationStamp current = stamp(i);
            if (current.revision != newestRevision() || current.proofAgeMs > 3000)
                return false;
        }
        return true;
    }

    /// @return true when a proof is dated after the acceptance of the next revision
    bool hasUnderstatedProof() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const wire::ConfigurationStamp current = stamp(i);
            if (current.proofAgeMs == noProof || current.revision >= newestRevision())
                continue;
            const TimePoint provenAt = m_now - std::chrono::milliseconds(current.proofAgeMs);
            if (provenAt > m_acceptedAt[current.revision])
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
    Duration maxDelay{};
    std::size_t copiesPerDatagram = 1;

private:
    struct Datagram
    {
        TimePoint arrivesAt;
        std::size_t to = 0;
        wire::GossipMessage message;
    };

    static RouterId routerName(std::size_t index)
    {
        return RouterId("router-" + std::to_string(index));
    }
    static std::size_t indexOf(const RouterId &router)
    {
        return std::stoul(router.text().substr(sizeof "router-" - 1));
    }

    bool canExchange(std::size_t from, std::size_t to) const
    {
        return !m_nodes[from]->peersCut && !m_nodes[to]->peersCut;
    }

    void send(std::size_t from, std::size_t to, const wire::GossipMessage &message)
    {
        for (std::size_t copy = 0; copy < copiesPerDatagram; ++copy) {
            if (canExchange(from, to) && m_random() % 100 >= lossPercent)
                m_inFlight.push_back({m_now + maxDelay * static_cast<long>(m_random() % 100) / 100,
                                      to, message});
        }
    }

    void fetch(std::size_t index, std::size_t from)
    {
        if (canExchange(index, from) && !m_nodes[from]->paused)
            activate(index, m_nodes[from]->revision, std::nullopt);
    }

    void activate(std::size_t index, Revision revision, std::optional<TimePoint> provenAt)
    {
        Node &node = *m_nodes[index];
        if (revision <= node.revision)
            return;
        node.revision = revision;
        const Revision previous = node.coordinator->stamp(m_now).revision;
        node.coordinator->setActiveRevision(revision, provenAt, m_now);
        node.reverted = node.reverted || node.coordinator->stamp(m_now).revision < previous;
    }

    void tickNode(std::size_t index)
    {
        Node &node = *m_nodes[index];
        if (node.paused)
            return;
        std::deque<Datagram> undelivered;
        std::deque<Datagram> pending = std::exchange(m_inFlight, {});
        for (Datagram &datagram : pending) {
            if (datagram.to == index && datagram.arrivesAt <= m_now)
                node.coordinator->receive(datagram.message, m_now);
            else
                undelivered.push_back(std::move(datagram));
        }
        m_inFlight.insert(m_inFlight.begin(), undelivered.begin(), undelivered.end());
        if (node.watches && node.platformCut)
            node.coordinator->recordPlatformFailure();
        if (node.watches && !node.platformCut) {
            activate(index, newestRevision(), m_now);
            node.coordinator->recordProof(newestRevision(), m_now, m_now);
        }
        node.coordinator->tick(m_now);
    }

    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::deque<Datagram> m_inFlight;
    std::vector<TimePoint> m_acceptedAt; ///< indexed by revision - 1
    TimePoint m_now{std::chrono::hours(1)};
};

struct Fault
{
    const char *name;
    std::function<void(Cluster &)> inject;
};

} // namespace

SCENARIO("an accepted revision reaches all routers, and no proof age is understated")
{
    const auto fault = GENERATE(values<Fault>({
            {"no fault", [](Cluster &) {}},
            {"a third of the datagrams is lost",
             [](Cluster &cluster) { cluster.lossPercent = 33; }},
            {"datagrams are delayed and reordered",
             [](Cluster &cluster) { cluster.maxDelay = 400ms; }},
            {"datagrams are duplicated", [](Cluster &cluster) { cluster.copiesPerDatagram = 2; }},
            {"the watcher can't reach the platform",
             [](Cluster &cluster) {
                 for (std::size_t i = 0; i < cluster.size(); ++i)
                     cluster.node(i).platformCut = cluster.node(i).watches;
             }},
            {"only one router reaches the platform",
             [](Cluster &cluster) {
                 for (std::size_t i = 1; i < cluster.size(); ++i)
                     cluster.node(i).platformCut = true;
             }},
            {"a router restarts without a configuration and can't reach the platform",
             [](Cluster &cluster) {
                 cluster.node(3).platformCut = true;
                 cluster.startRouter(3);
             }},
    }));
    GIVEN("five routers, and " << fault.name)
    {
        Cluster cluster(5);
        cluster.runFor(2s);
        REQUIRE(cluster.converged());
        fault.inject(cluster);
        WHEN("an operator's change is accepted")
        {
            cluster.runFor(1s);
            cluster.acceptChange();
            THEN("all routers apply it in time, and it stays proved")
            {
                cluster.runFor(convergenceLimit);
                CHECK(cluster.converged());
                cluster.runFor(convergenceLimit);
                CHECK(cluster.converged());
                CHECK_FALSE(cluster.hasUnderstatedProof());
                CHECK_FALSE(cluster.reverted());
            }
        }
    }
}

SCENARIO("a router that was paused during a change derives no proof from buffered datagrams")
{
    GIVEN("three routers, one of them paused and cut off from the platform")
    {
        Cluster cluster(3);
        cluster.runFor(2s);
        const std::size_t paused = cluster.node(0).watches ? 1 : 0;
        cluster.node(paused).platformCut = true;
        cluster.node(paused).paused = true;
        cluster.runFor(3s);
        cluster.acceptChange();
        cluster.runFor(10s);
        WHEN("it resumes")
        {
            cluster.node(paused).peersCut = true;
            cluster.node(paused).paused = false;
            cluster.runFor(tickPeriod);
            THEN("the datagrams from its pause prove nothing")
            {
                CHECK_FALSE(cluster.hasUnderstatedProof());
            }
        }
    }
}

TEST_CASE("proof ages are never understated and revisions never decrease under random faults")
{
    REQUIRE(rc::check("proof ages are never understated", [] {
        Cluster cluster(4, *rc::gen::arbitrary<std::uint64_t>());
        cluster.lossPercent = *rc::gen::inRange<std::size_t>(0, 50);
        cluster.maxDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        cluster.copiesPerDatagram = *rc::gen::inRange<std::size_t>(1, 3);
        const auto actions = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
                rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange<std::size_t>(0, 4)));
        for (const auto &[action, index] : actions) {
            Cluster::Node &node = cluster.node(index);
            if (action == 0)
                cluster.acceptChange();
            else if (action == 1)
                node.platformCut = !node.platformCut;
            else if (action == 2)
                node.peersCut = !node.peersCut;
            else if (action == 3)
                node.paused = !node.paused;
            else if (action == 4)
                cluster.startRouter(index);
            for (int i = 0; i < 10; ++i) {
                cluster.runFor(tickPeriod);
                RC_ASSERT(!cluster.hasUnderstatedProof());
            }
        }
        RC_ASSERT(!cluster.reverted());
        cluster.repairAll();
        cluster.maxDelay = {};
        cluster.runFor(convergenceLimit);
        RC_ASSERT(cluster.converged());
    }));
}

// A router that reaches nobody any more must not count as one that has nothing to report.
SCENARIO("a router reports that it reaches no other process")
{
    GIVEN("a router cut off from the platform, and a peer that has reported a majority of servers")
    {
        RouterSettings settings;
        settings.router = RouterId("self");
        CoordinatorHooks hooks;
        hooks.send = [](const RouterId &, const wire::GossipMessage &) {};
        hooks.publishStamp = [](const wire::ConfigurationStamp &, TimePoint) {};
        hooks.fetchConfiguration = [](const RouterId &, bool) {};
        hooks.setWatchEnabled = [](bool) {};
        Coordinator coordinator(settings, 1, hooks);
        std::vector<store::Vm> vms;
        for (const char *name : {"self", "peer"})
            vms.push_back({name, store::VmRole::Router, ZoneId("a"), "127.0.0.1", 1, 2, false});
        for (const char *name : {"s1", "s2", "s3"})
            vms.push_back({name, store::VmRole::Agent, ZoneId("a"), "127.0.0.1", 1, 2, false});
        coordinator.setKnownVms(vms);
        coordinator.recordPlatformFailure();
        TimePoint now = Clock::now();
        wire::Probe probe;
        probe.sender = {RouterId("peer"), 7, ZoneId("a")};
        probe.stamp.proofAgeMs = noProof;
        probe.hasLists = true;
        probe.reachableServers = {ServerId("s1"), ServerId("s2"), ServerId("s3")};
        coordinator.receive(probe, now);
        REQUIRE(coordinator.stamp(now).frozen);
        WHEN("the peer reports empty lists")
        {
            probe.reachableServers.clear();
            coordinator.receive(probe, now);
            THEN("the configuration no longer counts as frozen by a majority")
            {
                CHECK_FALSE(coordinator.stamp(now).frozen);
            }
        }
        WHEN("the peer sends a probe without lists")
        {
            probe.reachableServers.clear();
            probe.hasLists = false;
            coordinator.receive(probe, now);
            THEN("its report still holds")
            {
                CHECK(coordinator.stamp(now).frozen);
            }
        }
    }
}
