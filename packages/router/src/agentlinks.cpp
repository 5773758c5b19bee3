#include "bilberry/router/agentlinks.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/configurationcodec.h"

#include <algorithm>

namespace bilberry::router {

namespace asio = boost::asio;

namespace {

constexpr Duration initialBackoff = std::chrono::milliseconds(100);
constexpr Duration maxBackoff = std::chrono::seconds(2);

/// A removed VM does not reject the connection, so the attempt needs a timeout.
constexpr Duration connectTimeout = std::chrono::seconds(2);
constexpr Duration maxFrozenAge = std::chrono::seconds(1);
constexpr std::uint32_t noProof = 0xffffffffU;

/// Leaves out the customers: agents use neither their keys nor their shares.
/// @return empty when the reduced configuration is invalid
std::string encodeForAgents(const Configuration &configuration)
{
    ConfigurationParts parts = configuration.parts();
    parts.customers.clear();
    const Result<Configuration> reduced
            = Configuration::create(configuration.revision(), std::move(parts));
    return reduced ? encodeConfiguration(reduced.value()) : std::string();
}

/// Randomizes half of the delay, so that reconnections are spread in time.
Duration withJitter(Duration delay)
{
    constexpr std::uint64_t steps = 1000;
    return delay / 2 + delay / 2 * static_cast<long>(randomId() % steps) / static_cast<long>(steps);
}

} // namespace

AgentLinks::AgentLinks(asio::io_context &context, wire::RouterHello hello, AgentLinksHooks hooks,
                       std::shared_ptr<MemoryAccount> memory)
    : m_context(context), m_hello(std::move(hello)), m_hooks(std::move(hooks)),
      m_memory(memory ? std::move(memory) : std::make_shared<MemoryAccount>())
{
}

void AgentLinks::setAgents(const std::vector<store::Vm> &agents)
{
    std::map<std::string, store::Vm> listed;
    for (const store::Vm &vm : agents) {
        if (vm.role == store::VmRole::Agent)
            listed[vm.name] = vm;
    }
    std::vector<std::string> removed;
    for (const auto &[name, agent] : m_agents) {
        // The list may be outdated, so a working link to an unlisted agent is kept.
        if (!listed.contains(name) && !agent.helloReceived)
            removed.push_back(name);
    }
    for (const std::string &name : removed)
        m_agents.erase(name);
    for (const auto &[name, vm] : listed) {
        Agent &agent = m_agents[name];
        const bool addressChanged = agent.vm.address != vm.address || agent.vm.port != vm.port;
        agent.vm = vm;
        // A working link to a previous address is kept until it fails; an attempt is replaced.
        if (!agent.link && (addressChanged || !agent.connecting))
            connect(name);
    }
}

void AgentLinks::connect(const std::string &name)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end())
        return;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(found->second.vm.address, error);
    if (error) {
        m_log.warning("Agent " + name + " has an address that is not an IP address.");
        found->second.connecting = false;
        return;
    }
    found->second.connecting = true;
    const std::uint64_t connectAttempt = ++m_lastId;
    found->second.connectAttempt = connectAttempt;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, connectTimeout);
    timer->async_wait([socket](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect(
            {address, found->second.vm.port},
            [this, name, connectAttempt, socket, timer](boost::system::error_code failure) {
                timer->cancel();
                if (failure || !socket->is_open())
                    onConnectFailed(name, connectAttempt);
                else
                    onConnected(name, connectAttempt, std::move(*socket));
            });
}

void AgentLinks::onConnectFailed(const std::string &name, std::uint64_t connectAttempt)
{
    const auto found = m_agents.find(name);
    if (found != m_agents.end() && found->second.connectAttempt == connectAttempt)
        scheduleReconnect(name);
}

void AgentLinks::onConnected(const std::string &name, std::uint64_t connectAttempt,
                             asio::ip::tcp::socket socket)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end() || found->second.connectAttempt != connectAttempt)
        return;
    const std::uint64_t linkId = ++m_lastId;
    wire::FrameLinkHooks hooks;
    hooks.onMessage = [this, name, linkId](wire::LinkMessage &&message) {
        onMessage(name, linkId, std::move(message));
    };
    hooks.onClosed = [this, name, linkId](std::error_code error) { onClosed(name, linkId, error); };
    hooks.onControlSent = m_hooks.controlBytesSent;
    Agent &agent = found->second;
    agent.connecting = false;
    agent.linkId = linkId;
    agent.link = std::make_shared<wire::FrameLink>(std::move(socket), std::move(hooks));
    // Requests that wait in the link are what others would have to make room for.
    agent.link->accountFor(m_memory, this, false);
    agent.link->start();
    wire::RouterHello hello = m_hello;
    hello.stamp = currentStamp();
    agent.link->send(hello);
}

void AgentLinks::scheduleReconnect(const std::string &name)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end())
        return;
    Agent &agent = found->second;
    agent.connecting = true;
    agent.backoff = std::clamp(agent.backoff * 2, initialBackoff, maxBackoff);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, withJitter(agent.backoff));
    timer->async_wait(
            [this, name, timer, connectAttempt = agent.connectAttempt](boost::system::error_code) {
                const auto waiting = m_agents.find(name);
                if (waiting != m_agents.end() && waiting->second.connectAttempt == connectAttempt)
                    connect(name);
            });
}

void AgentLinks::onMessage(const std::string &name, std::uint64_t linkId,
                           wire::LinkMessage &&message)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end() || found->second.linkId != linkId)
        return;
    Agent &agent = found->second;
    if (auto *hello = std::get_if<wire::AgentHello>(&message)) {
        agent.helloReceived = true;
        agent.lastSequence = hello->sequence;
        agent.lastSequenceAt = Clock::now();
        agent.backoff = {};
        agent.server = hello->server;
        m_nameByServer[agent.server] = name;
        m_hooks.linkUp(std::move(*hello));
        sendHeartbeat(agent);
        return;
    }
    if (std::holds_alternative<wire::ConfigurationRequest>(message)) {
        if (!m_encodedConfiguration.empty())
            agent.link->send(wire::ConfigurationOffer{m_encodedConfiguration});
        return;
    }
    if (const auto *heartbeat = std::get_if<wire::AgentHeartbeat>(&message)) {
        agent.lastSequence = heartbeat->sequence;
        agent.lastSequenceAt = Clock::now();
    }
    if (agent.helloReceived)
        m_hooks.messageReceived(agent.server, std::move(message));
}

void AgentLinks::onClosed(const std::string &name, std::uint64_t linkId, std::error_code error)
{
    const auto found = m_agents.find(name);
    if (found == m_agents.end() || found->second.linkId != linkId)
        return;
    Agent &agent = found->second;
    m_log.info("Link to agent " + name + " closed: " + error.message() + ".");
    agent.link.reset();
    if (std::exchange(agent.helloReceived, false)) {
        m_nameByServer.erase(agent.server);
        m_hooks.linkDown(agent.server);
    }
    scheduleReconnect(name);
}

void AgentLinks::reconnect(const ServerId &server)
{
    const auto found = m_nameByServer.find(server);
    if (found == m_nameByServer.end())
        return;
    const std::string name = found->second;
    const Agent &agent = m_agents[name];
    if (!agent.link)
        return;
    agent.link->close();
    onClosed(name, agent.linkId, std::make_error_code(std::errc::no_buffer_space));
}

void AgentLinks::send(const ServerId &server, const wire::LinkMessage &message)
{
    const auto name = m_nameByServer.find(server);
    if (name == m_nameByServer.end())
        return;
    // A failed send resets the agent's link; the copy keeps the object alive during the call.
    const std::shared_ptr<wire::FrameLink> link = m_agents[name->second].link;
    if (link)
        link->send(message);
}

void AgentLinks::broadcastStamp(const wire::ConfigurationStamp &stamp, TimePoint createdAt)
{
    m_stamp = stamp;
    m_stampCreatedAt = createdAt;
    for (const ServerId &server : linkedServers())
        sendHeartbeat(m_agents.at(m_nameByServer.at(server)));
}

wire::ConfigurationStamp AgentLinks::currentStamp() const
{
    wire::ConfigurationStamp stamp = m_stamp;
    if (stamp.proofAgeMs != noProof)
        stamp.proofAgeMs += wire::ageMilliseconds(Clock::now() - m_stampCreatedAt);
    // The frozen flag carries no age, so it is passed on only while the stamp is recent.
    stamp.frozen = stamp.frozen && Clock::now() - m_stampCreatedAt <= maxFrozenAge;
    return stamp;
}

void AgentLinks::sendHeartbeat(const Agent &agent)
{
    // A failed send resets the agent's link; the copy keeps the object alive during the call.
    const std::shared_ptr<wire::FrameLink> link = agent.link;
    if (!link)
        return;
    const auto sinceReceived
            = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - agent.lastSequenceAt);
    link->send(wire::RouterHeartbeat{currentStamp(), agent.lastSequence,
                                     static_cast<std::uint32_t>(sinceReceived.count())});
}

void AgentLinks::setConfiguration(const ConfigurationPtr &configuration)
{
    m_encodedConfiguration = encodeForAgents(*configuration);
}

std::vector<ServerId> AgentLinks::linkedServers() const
{
    std::vector<ServerId> servers;
    for (const auto &[server, name] : m_nameByServer)
        servers.push_back(server);
    return servers;
}

} // namespace bilberry::router
