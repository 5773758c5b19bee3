#ifndef BILBERRY_TESTS_PARTITION_H
#define BILBERRY_TESTS_PARTITION_H

#include "support/faultproxy.h"
#include "support/fleet.h"

#include <map>
#include <memory>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// A fleet whose connections all go through proxies, so that a test can disconnect each process
/// from the platform, from its peers and from operators.
class PartitionedFleet
{
public:
    /// @param plan its platformPort is replaced
    explicit PartitionedFleet(FleetPlan plan);
    ~PartitionedFleet();

    bool start() { return fleet().start(); }
    Fleet &fleet() { return *m_fleet; }

    ProxyFaults &platformOf(std::size_t router) { return m_platform.at(router)->faults(); }
    /// Faults of datagrams to the router; those that it sends go through the proxies of its peers.
    ProxyFaults &gossipTo(std::size_t router) { return m_gossip.at(router)->faults(); }
    /// Ports of the proxies, for use in settings.
    std::uint16_t gossipProxy(std::size_t router) const { return m_gossip.at(router)->port(); }
    std::uint16_t agentProxy(const std::string &server) const
    {
        return m_agents.at(server)->port();
    }
    std::uint16_t adminProxy(const std::string &name) const { return m_admin.at(name)->port(); }
    ProxyFaults &agentLinks(const std::string &server) { return m_agents.at(server)->faults(); }
    /// Faults of the HTTP port for operators and for fetches of the configuration.
    ProxyFaults &adminOf(const std::string &name) { return m_admin.at(name)->faults(); }

private:
    std::unique_ptr<Fleet> m_fleet;
    std::map<std::size_t, std::unique_ptr<TcpProxy>> m_platform;
    std::vector<std::unique_ptr<UdpProxy>> m_gossip;
    std::map<std::string, std::unique_ptr<TcpProxy>> m_agents;
    std::map<std::string, std::unique_ptr<TcpProxy>> m_admin;
};

/// Sends requests to all routers of a fleet until it is destroyed; each router has one caller that
/// sends its next request after the answer to the previous one.
class SteadyLoad
{
public:
    SteadyLoad(const Fleet &fleet, Call request);
    ~SteadyLoad();

private:
    std::atomic<bool> m_stopping = false;
    std::vector<std::thread> m_callers;
};

/// @return configuration revision that a daemon's status reports; 0 when it does not answer
std::uint64_t revisionAt(const Fleet &fleet, std::uint16_t adminPort);

} // namespace bilberry::tests

#endif
