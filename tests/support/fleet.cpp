#include "support/fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/filesystem.hpp>

#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace bilberry::tests {

namespace asio = boost::asio;
namespace fs = boost::filesystem;

namespace {

constexpr auto pollPeriod = std::chrono::milliseconds(20);

/// @return settings lines; the part of a key before a dot is its section
std::string settingsLines(const std::map<std::string, std::string> &settings)
{
    std::map<std::string, std::string> sections;
    std::string result;
    for (const auto &[key, value] : settings) {
        const std::size_t dot = key.find('.');
        if (dot == std::string::npos)
            result += key + ": " + value + "\n";
        else
            sections[key.substr(0, dot)] += "  " + key.substr(dot + 1) + ": " + value + "\n";
    }
    for (const auto &[section, lines] : sections)
        result += section + ":\n" + lines;
    return result;
}

} // namespace

std::uint16_t freePort()
{
    static std::set<std::uint16_t> returned;
    static std::mt19937 random(std::random_device{}());
    // Below the system's range of ephemeral ports: an outgoing connection could take such a port
    // between this check and its use.
    std::uniform_int_distribution<int> ports(10240, 32000);
    asio::io_context context;
    for (;;) {
        const auto port = static_cast<std::uint16_t>(ports(random));
        boost::system::error_code tcpError;
        boost::system::error_code udpError;
        asio::ip::tcp::acceptor tcp(context, asio::ip::tcp::v4());
        tcp.bind({asio::ip::address_v4::loopback(), port}, tcpError);
        asio::ip::udp::socket udp(context, asio::ip::udp::v4());
        udp.bind({asio::ip::address_v4::loopback(), port}, udpError);
        if (!tcpError && !udpError && returned.insert(port).second)
            return port;
    }
}

bool eventually(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint deadline = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

Fleet::Fleet(FleetPlan plan)
    : m_plan(std::move(plan)),
      m_folder((fs::temp_directory_path() / fs::unique_path("bilberry-%%%%%%%%")).string()),
      m_platform(std::make_unique<PlatformStandin>())
{
    fs::create_directories(m_folder);
    for (const std::string &zone : m_plan.routers) {
        const std::string name = "router-" + std::to_string(m_routers.size());
        m_routers.push_back({name, zone, freePort(), freePort(), freePort(), nullptr});
    }
    for (const ServerPlan &server : m_plan.servers)
        m_servers[server.name]
                = {server, freePort(), freePort(), std::make_unique<BackendStandin>(), nullptr};
    m_platform->setVms(vms());
}

Fleet::~Fleet()
{
    m_routers.clear();
    m_servers.clear();
    m_platform.reset();
    boost::system::error_code ignored;
    if (!std::getenv("BILBERRY_KEEP"))
        fs::remove_all(m_folder, ignored);
}

std::vector<store::Vm> Fleet::vms() const
{
    std::vector<store::Vm> list;
    for (const RouterParts &router : m_routers)
        list.push_back({router.name, store::VmRole::Router, ZoneId(router.zone), "127.0.0.1",
                        router.gossipPort, router.adminPort, false});
    for (const auto &[name, server] : m_servers)
        list.push_back({name, store::VmRole::Agent, ZoneId(server.plan.zone), "127.0.0.1",
                        server.port, server.adminPort, false});
    return list;
}

std::string Fleet::write(const std::string &name, const std::string &text) const
{
    const std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void Fleet::startRouter(std::size_t index)
{
    RouterParts &router = m_routers.at(index);
    std::uint16_t platformPort = m_platform->port();
    if (m_plan.platformPort)
        platformPort = m_plan.platformPort(index, platformPort);
    std::ostringstream settings;
    settings << "role: router\nname: " << router.name << "\nzone: " << router.zone
             << "\nlisten: { address: 127.0.0.1, callerPort: " << router.callerPort
             << ", gossipPort: " << router.gossipPort << ", adminPort: " << router.adminPort
             << " }\nplatform:\n  address: 127.0.0.1\n  port: " << platformPort << "\n";
    std::map<std::string, std::string> extra = m_plan.routerSettings;
    std::string platformLines;
    for (auto entry = extra.begin(); entry != extra.end();) {
        if (!entry->first.starts_with("platform.")) {
            ++entry;
            continue;
        }
        settings << "  " << entry->first.substr(sizeof "platform." - 1) << ": " << entry->second
                 << "\n";
        entry = extra.erase(entry);
    }
    settings << settingsLines(extra);
    if (m_plan.routerLines)
        settings << m_plan.routerLines(*this, index);
    const std::string file = write(router.name + ".yaml", settings.str());
    router.process = std::make_unique<Process>(
            m_plan.binaries + "/bilberryd", std::vector<std::string>{"--settings", file},
            m_folder + "/" + router.name + ".log", m_plan.processOptions);
}

void Fleet::startAgent(const std::string &name)
{
    ServerParts &server = m_servers.at(name);
    std::ostringstream settings;
    settings << "role: agent\nname: " << name << "\npool: " << server.plan.pool
             << "\nzone: " << server.plan.zone
             << "\nlisten: { address: 127.0.0.1, port: " << server.port
             << ", adminPort: " << server.adminPort
             << " }\nbackend:\n  port: " << server.backend->port() << "\n"
             << settingsLines(m_plan.agentSettings);
    const std::string file = write(name + ".yaml", settings.str());
    server.agent = std::make_unique<Process>(m_plan.binaries + "/bilberryd",
                                             std::vector<std::string>{"--settings", file},
                                             m_folder + "/" + name + ".log", m_plan.processOptions);
}

bool Fleet::start()
{
    for (const auto &[name, server] : m_servers)
        startAgent(name);
    for (std::size_t i = 0; i < m_routers.size(); ++i)
        startRouter(i);
    const std::string note = write("note.yaml", m_plan.releaseNote);
    const Finished applied = ctl({"apply", note});
    if (std::getenv("BILBERRY_KEEP"))
        std::fputs(applied.output.c_str(), stderr);
    if (applied.exitCode != 0 && applied.exitCode != 4) {
        std::fputs(applied.output.c_str(), stderr);
        return false;
    }
    return eventually([this] { return allAccept(); }, std::chrono::seconds(20));
}

bool Fleet::allAccept() const
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        const std::string status = admin(m_routers[i].adminPort, "/v1/status");
        std::size_t accepting = 0;
        for (std::size_t at = status.find("\"accepting\":true"); at != std::string::npos;
             at = status.find("\"accepting\":true", at + 1))
            ++accepting;
        if (accepting < m_servers.size())
            return false;
    }
    return true;
}

Finished Fleet::ctl(const std::vector<std::string> &words) const
{
    std::vector<std::string> arguments{"--platform",
                                       "127.0.0.1:" + std::to_string(m_platform->port())};
    arguments.insert(arguments.end(), words.begin(), words.end());
    return runProgram(m_plan.binaries + "/bilberryctl", arguments);
}

Answer Fleet::call(std::size_t router, const Call &request) const
{
    return tests::call(callerPort(router), request);
}

std::string Fleet::admin(std::uint16_t port, const std::string &path) const
{
    Call request;
    request.target = path;
    request.limit = std::chrono::seconds(2);
    request.headers["Connection"] = "close";
    return tests::call(port, request).body;
}

std::size_t Fleet::runs(const std::string &tag) const
{
    std::size_t count = 0;
    for (const auto &[name, server] : m_servers)
        count += server.backend->runs(tag);
    return count;
}

} // namespace bilberry::tests
