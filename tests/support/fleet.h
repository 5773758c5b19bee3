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

/// What a test's fleet consists of.
struct FleetPlan
{
    std::string binaries;             ///< folder of bilberryd and bilberryctl
    std::vector<std::string> routers; ///< zones, one for each router; named router-0, router-1...
    std::vector<ServerPlan> servers;
    std::string releaseNote;                           ///< applied at the start
    std::map<std::string, std::string> routerSettings; ///< extra lines, by dotted section
    std::map<std::string, std::string> agentSettings;
    /// Port of the platform as one router sees it, so that a test can put a proxy between; given
    /// the router's index and the real port. Called at each start of the router.
    std::function<std::uint16_t(std::size_t, std::uint16_t)> platformPort;
    /// Further lines for one router's settings. Called at each start of the router.
    std::function<std::string(const Fleet &, std::size_t)> routerLines;
};

/// A free TCP and UDP port on loopback.
std::uint16_t freePort();

/// Waits until a condition holds.
/// @return false when the limit passed first
bool eventually(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(10));

/// Real processes around stand-ins for the platform and the backend servers.
class Fleet
{
public:
    explicit Fleet(FleetPlan plan);
    ~Fleet();

    /// Starts everything, applies the release note and waits until all agents accept work.
    /// @return false when that took too long
    bool start();

    Finished ctl(const std::vector<std::string> &words) const;
    /// Writes a file into the fleet's folder.
    /// @return its path
    std::string write(const std::string &name, const std::string &text) const;

    /// Calls through a router.
    Answer call(std::size_t router, const Call &request) const;
    /// @return an admin server's answer, empty when it does not answer
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
    /// @return how often a tagged request ran on any server
    std::size_t runs(const std::string &tag) const;
    /// @return the list that the platform shows
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
