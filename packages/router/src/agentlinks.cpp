#include "bilberry/router/agentlinks.h"

#include "bilberry/base/digest.h"
#include "bilberry/model/configurationcodec.h"

#include <algorithm>

namespace bilberry::router {

namespace asio = boost::asio;

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration longestBackoff = std::chrono::seconds(2);

/// Longest wait for a connection; a VM that is gone answers nothing.
constexpr Duration connectLimit = std::chrono::seconds(2);
constexpr Duration frozenLimit = std::chrono::seconds(1);
constexpr std::uint32_t noProof = 0xffffffffU;

/// Agents need no customers: neither their keys nor their shares.
std::string encodeForAgents(const Configuration &configuration)
{
    ConfigurationParts parts = configuration.parts();
    parts.customers.clear();
    const Result<Configuration> reduced
            = Configuration::create(configuration.revision(), std::move(parts));
    return reduced ? encodeConfiguration(reduced.value()) : std::string();
}

/// Spreads reconnections: half of the delay is random.
Duration jittered(Duration delay)
{
    constexpr std::uint64_t steps = 1000;
    return delay / 2 + delay / 2 * static_cast<long>(randomId() % steps) / static_cast<long>(steps);
}

} // namespace

AgentLinks::AgentLinks(asio::io_context &context, wire::RouterHello hello, AgentLinksHooks hooks)
    : m_context(context), m_hello(std::move(hello)), m_hooks(std::move(hooks))
{
}

void AgentLinks::setAgents(const std::vector<store::Vm> &agents)
{
    std::map<std::string, store::Vm> wanted;
    for (const store::Vm &vm : agents) {
        if (vm.role == store::VmRole::Agent)
            wanted[vm.name] = vm;
    }
    std::vector<std::string> gone;
    for (const auto &[name, target] : m_targets) {
        // The list lags, so that a working link outlives its entry.
        if (!wanted.contains(name) && !target.greeted)
            gone.push_back(name);
    }
    for (const std::string &name : gone)
        m_targets.erase(name);
    for (const auto &[name, vm] : wanted) {
        Target &target = m_targets[name];
        const bool moved = target.vm.address != vm.address || target.vm.port != vm.port;
        target.vm = vm;
        // A working link to an old address is kept until it fails; an attempt is not.
        if (!target.link && (moved || !target.connecting))
            connect(name);
    }
}

void AgentLinks::connect(const std::string &name)
{
    const auto found = m_targets.find(name);
    if (found == m_targets.end())
        return;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(found->second.vm.address, error);
    if (error) {
        m_log.warning("Agent " + name + " has an address that is no IP number.");
        found->second.connecting = false;
        return;
    }
    found->second.connecting = true;
    const std::uint64_t attempt = ++m_lastGeneration;
    found->second.attempt = attempt;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, connectLimit);
    timer->async_wait([socket](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            socket->close(ignored);
    });
    socket->async_connect({address, found->second.vm.port},
                          [this, name, attempt, socket, timer](boost::system::error_code failure) {
                              timer->cancel();
                              if (failure || !socket->is_open())
                                  connectFailed(name, attempt);
                              else
                                  connected(name, attempt, std::move(*socket));
                          });
}

void AgentLinks::connectFailed(const std::string &name, std::uint64_t attempt)
{
    const auto found = m_targets.find(name);
    if (found != m_targets.end() && found->second.attempt == attempt)
        retryLater(name);
}

void AgentLinks::connected(const std::string &name, std::uint64_t attempt,
                           asio::ip::tcp::socket socket)
{
    const auto found = m_targets.find(name);
    if (found == m_targets.end() || found->second.attempt != attempt)
        return;
    const std::uint64_t generation = ++m_lastGeneration;
    wire::FrameLinkHooks hooks;
    hooks.onMessage = [this, name, generation](wire::LinkMessage &&message) {
        received(name, generation, std::move(message));
    };
    hooks.onClosed
            = [this, name, generation](std::error_code error) { closed(name, generation, error); };
    hooks.onControlSent = m_hooks.controlSent;
    Target &target = found->second;
    target.connecting = false;
    target.generation = generation;
    target.link = std::make_shared<wire::FrameLink>(std::move(socket), std::move(hooks));
    target.link->start();
    wire::RouterHello hello = m_hello;
    hello.stamp = stampNow();
    target.link->send(hello);
}

void AgentLinks::retryLater(const std::string &name)
{
    const auto found = m_targets.find(name);
    if (found == m_targets.end())
        return;
    Target &target = found->second;
    target.connecting = true;
    target.backoff = std::clamp(target.backoff * 2, firstBackoff, longestBackoff);
    const auto timer = std::make_shared<asio::steady_timer>(m_context, jittered(target.backoff));
    timer->async_wait([this, name, timer, attempt = target.attempt](boost::system::error_code) {
        const auto waiting = m_targets.find(name);
        if (waiting != m_targets.end() && waiting->second.attempt == attempt)
            connect(name);
    });
}

void AgentLinks::received(const std::string &name, std::uint64_t generation,
                          wire::LinkMessage &&message)
{
    const auto found = m_targets.find(name);
    if (found == m_targets.end() || found->second.generation != generation)
        return;
    Target &target = found->second;
    if (auto *hello = std::get_if<wire::AgentHello>(&message)) {
        target.greeted = true;
        target.echo = hello->sequence;
        target.echoAt = Clock::now();
        target.backoff = {};
        target.server = hello->server;
        m_nameOf[target.server] = name;
        m_hooks.up(std::move(*hello));
        sendHeartbeat(target);
        return;
    }
    if (std::holds_alternative<wire::ConfigurationRequest>(message)) {
        if (!m_document.empty())
            target.link->send(wire::ConfigurationOffer{m_document});
        return;
    }
    if (const auto *heartbeat = std::get_if<wire::AgentHeartbeat>(&message)) {
        target.echo = heartbeat->sequence;
        target.echoAt = Clock::now();
    }
    if (target.greeted)
        m_hooks.received(target.server, std::move(message));
}

void AgentLinks::closed(const std::string &name, std::uint64_t generation, std::error_code error)
{
    const auto found = m_targets.find(name);
    if (found == m_targets.end() || found->second.generation != generation)
        return;
    Target &target = found->second;
    m_log.info("Link to agent " + name + " closed: " + error.message() + ".");
    target.link.reset();
    if (std::exchange(target.greeted, false)) {
        m_nameOf.erase(target.server);
        m_hooks.down(target.server);
    }
    retryLater(name);
}

void AgentLinks::drop(const ServerId &server)
{
    const auto found = m_nameOf.find(server);
    if (found == m_nameOf.end())
        return;
    const std::string name = found->second;
    const Target &target = m_targets[name];
    if (!target.link)
        return;
    target.link->close();
    closed(name, target.generation, std::make_error_code(std::errc::no_buffer_space));
}

void AgentLinks::send(const ServerId &server, const wire::LinkMessage &message)
{
    const auto name = m_nameOf.find(server);
    if (name == m_nameOf.end())
        return;
    // A failing send resets the target's link; the copy keeps it alive until then.
    const std::shared_ptr<wire::FrameLink> link = m_targets[name->second].link;
    if (link)
        link->send(message);
}

void AgentLinks::setStamp(const wire::ConfigurationStamp &stamp, TimePoint madeAt)
{
    m_stamp = stamp;
    m_stampedAt = madeAt;
    for (const ServerId &server : linked())
        sendHeartbeat(m_targets.at(m_nameOf.at(server)));
}

wire::ConfigurationStamp AgentLinks::stampNow() const
{
    wire::ConfigurationStamp stamp = m_stamp;
    if (stamp.proofAgeMs != noProof)
        stamp.proofAgeMs += wire::ageMilliseconds(Clock::now() - m_stampedAt);
    // The word carries no age of its own, so that only a present one is passed on.
    stamp.frozen = stamp.frozen && Clock::now() - m_stampedAt <= frozenLimit;
    return stamp;
}

void AgentLinks::sendHeartbeat(const Target &target)
{
    // A failing send resets the target's link; the copy keeps it alive until then.
    const std::shared_ptr<wire::FrameLink> link = target.link;
    if (!link)
        return;
    const auto held = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - target.echoAt);
    link->send(wire::RouterHeartbeat{stampNow(), target.echo,
                                     static_cast<std::uint32_t>(held.count())});
}

void AgentLinks::setConfiguration(const ConfigurationPtr &configuration)
{
    m_document = encodeForAgents(*configuration);
}

std::vector<ServerId> AgentLinks::linked() const
{
    std::vector<ServerId> servers;
    for (const auto &[server, name] : m_nameOf)
        servers.push_back(server);
    return servers;
}

} // namespace bilberry::router
