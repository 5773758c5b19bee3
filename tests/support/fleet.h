#ifndef BILBERRY_TESTS_FLEET_H
#define BILBERRY_TESTS_FLEET_H

#include "support/backendstandin.h"
#include "support/httpcaller.h"
#include "support/platformstandin.h"
#include "support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bilberry::tests {

class Fleet;

/// One backend server with its agent.
struct ServerPlan
{
    std::string name;
    std::string pool;
    std::string zone;
};

/// Describes the fleet of a test.
struct FleetPlan
{
    std::string binaries;             ///< folder of bilberryd and bilberryctl
    std::vector<std::string> routers; ///< zone of each; they are named router-0, router-1...
    std::vector<ServerPlan> servers;
    std::string releaseNote;                           ///< applied at the start
    std::map<std::string, std::string> routerSettings; ///< extra settings, by dotted key
    std::map<std::string, std::string> agentSettings;
    ProcessOptions processOptions; ///< of routers and agents
    /// Maps a router's index and the platform's real port to the port that the router connects to,
    /// so that a test can insert a proxy. Called at each start of the router.
    std::function<std::uint16_t(std::size_t, std::uint16_t)> platformPort;
    /// @return further lines for the settings of the router with the given index. Called at each
    /// start of the router.
    std::function<std::string(const Fleet &, std::size_t)> routerLines;
};

/// @return a port on loopback that is free for TCP and UDP and was not returned before
std::uint16_t freePort();

/// Polls a condition until it holds.
/// @return false when the limit expires first
bool eventually(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(10));

/// Runs real router and agent processes with stand-ins for the platform and the backend servers.
class Fleet
{
public:
    explicit Fleet(FleetPlan plan);
    ~Fleet();

    /// Starts all processes, applies the release note and waits until all agents accept requests.
    /// @return false when the release note is refused or the agents do not accept within 20 s
    bool start();

    Finished ctl(const std::vector<std::string> &words) const;
    /// Writes a file into the fleet's temporary folder.
    /// @return its path
    std::string write(const std::string &name, const std::string &text) const;

    /// Sends a request to a router and waits for its answer.
    Answer call(std::size_t router, const Call &request) const;
    /// @return body of an admin server's answer; empty when it does not answer
    std::string admin(std::uint16_t port, const std::string &path) const;

    PlatformStandin &platform() { return *m_platform; }
    BackendStandin &backend(const std::string &server) { return *m_servers.at(server).backend; }
    Process &agent(const std::string &server) { return *m_servers.at(server).agent; }
    Process &router(std::size_t index) { return *m_routers.at(index).process; }
    std::uint16_t callerPort(std::size_t index) const { return m_routers.at(index).callerPort; }
    std::uint16_t routerAdminPort(std::size_t index) const { return m_routers.at(index).adminPort; }
    std::uint16_t agentAdminPort(const std::string &server) const
    {
        return m_servers.at(server).adminPort;
    }
    std::uint16_t agentPort(const std::string &server) const { return m_servers.at(server).port; }
    std::uint16_t gossipPort(std::size_t index) const { return m_routers.at(index).gossipPort; }
    std::size_t routerCount() const { return m_routers.size(); }
    const FleetPlan &plan() const { return m_plan; }

    void startRouter(std::size_t index);
    void startAgent(const std::string &server);
    /// @return how often a request with the tag was started, on all servers
    std::size_t runs(const std::string &tag) const;
    /// @return the VMs of all routers and agents with their real ports
    std::vector<store::Vm> vms() const;

private:
    struct RouterParts
    {
        std::string name;
        std::string zone;
        std::uint16_t callerPort = 0;
        std::uint16_t gossipPort = 0;
        std::uint16_t adminPort = 0;
        std::unique_ptr<Process> process;
    };
    struct ServerParts
    {
        ServerPlan plan;
        std::uint16_t port = 0;
        std::uint16_t adminPort = 0;
        std::unique_ptr<BackendStandin> backend;
        std::unique_ptr<Process> agent;
    };

    bool allAccept() const;

    FleetPlan m_plan;
    std::string m_folder;
    std::unique_ptr<PlatformStandin> m_platform;
    std::vector<RouterParts> m_routers;
    std::map<std::string, ServerParts> m_servers;
};

} // namespace bilberry::tests

#endif
