#ifndef BILBERRY_TESTS_PARTITION_H
#define BILBERRY_TESTS_PARTITION_H

#include "support/faultproxy.h"
#include "support/fleet.h"

#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// A fleet whose connections all pass proxies, so that a test can cut each process off from the
/// platform, from its peers and from operators.
class PartitionedFleet
{
public:
    /// @param plan without the platform port
    explicit PartitionedFleet(FleetPlan plan);
    ~PartitionedFleet();

    bool start() { return fleet().start(); }
    Fleet &fleet() { return *m_fleet; }

    ProxyFaults &platformOf(std::size_t router) { return m_platform.at(router)->faults(); }
    /// Datagrams towards the router; what it sends passes the proxies of its peers.
    ProxyFaults &gossipTo(std::size_t router) { return m_gossip.at(router)->faults(); }
    ProxyFaults &agentLinks(const std::string &server) { return m_agents.at(server)->faults(); }
    /// The HTTP port for operators and for fetches of the configuration.
    ProxyFaults &adminOf(const std::string &name) { return m_admin.at(name)->faults(); }

private:
    std::unique_ptr<Fleet> m_fleet;
    std::map<std::size_t, std::unique_ptr<TcpProxy>> m_platform;
    std::vector<std::unique_ptr<UdpProxy>> m_gossip;
    std::map<std::string, std::unique_ptr<TcpProxy>> m_agents;
    std::map<std::string, std::unique_ptr<TcpProxy>> m_admin;
};

/// Calls through all routers of a fleet until it goes; each router has one caller that sends its
/// next request after the last one's answer.
class SteadyLoad
{
public:
    SteadyLoad(const Fleet &fleet, Call request);
    ~SteadyLoad();

private:
    std::atomic<bool> m_ended = false;
    std::vector<std::thread> m_callers;
};

/// @return revision of a daemon's status page; 0 when it does not answer
std::uint64_t revisionAt(const Fleet &fleet, std::uint16_t adminPort);

} // namespace bilberry::tests

#endif
