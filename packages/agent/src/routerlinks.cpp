#include "bilberry/agent/routerlinks.h"

#include <algorithm>

namespace bilberry::agent {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxLinks = 1024;
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

} // namespace

RouterLinks::RouterLinks(asio::io_context &context, const std::string &address, std::uint16_t port,
                         std::shared_ptr<MemoryAccount> memory, RouterLinksHooks hooks)
    : m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(address), port)),
      m_acceptTimer(context), m_memory(std::move(memory)), m_hooks(std::move(hooks))
{
    boost::system::error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(wire::linkReceiveBufferBytes),
                          ignored);
}

void RouterLinks::start()
{
    accept();
}

void RouterLinks::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (error) {
            acceptLater();
            return;
        }
        if (m_links.size() < maxLinks
            || m_memory->releaseSlowest(this, {MemoryUse::Receiving, MemoryUse::Sending}))
            add(std::move(socket));
        accept();
    });
}

/// Accepts again after a delay. Most accept errors are a lack of file descriptors.
void RouterLinks::acceptLater()
{
    m_acceptTimer.expires_after(acceptRetryDelay);
    m_acceptTimer.async_wait([this](boost::system::error_code error) {
        if (!error && m_acceptor.is_open())
            accept();
    });
}

void RouterLinks::add(asio::ip::tcp::socket socket)
{
    const decision::LinkId id = ++m_lastLink;
    const auto onClosed = [this, id](std::error_code error) {
        m_log.info("Router link closed: " + error.message() + ".");
        m_links.erase(id);
        m_hooks.onLinkDown(id);
    };
    const auto onMessage = [this, id](wire::LinkMessage &&message) {
        const auto found = m_links.find(id);
        if (found != m_links.end() && std::holds_alternative<wire::RouterHello>(message))
            found->second->markInUse();
        m_hooks.onMessage(id, std::move(message));
    };
    const auto link = std::make_shared<wire::FrameLink>(
            std::move(socket), wire::FrameLinkHooks{onMessage, onClosed, m_hooks.onControlSent});
    link->accountFor(m_memory, this, true);
    m_links[id] = link;
    m_hooks.onLinkUp(id);
    link->start();
}

void RouterLinks::closeLink(decision::LinkId link)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    found->second->close();
    m_links.erase(found);
    m_hooks.onLinkDown(link);
}

bool RouterLinks::allSent() const
{
    return std::all_of(m_links.begin(), m_links.end(),
                       [](const auto &entry) { return entry.second->allSent(); });
}

void RouterLinks::send(decision::LinkId link, const wire::LinkMessage &message)
{
    const auto found = m_links.find(link);
    if (found == m_links.end())
        return;
    // A failing send erases the link; the copy keeps it alive until then.
    const std::shared_ptr<wire::FrameLink> target = found->second;
    target->send(message);
}

} // namespace bilberry::agent
