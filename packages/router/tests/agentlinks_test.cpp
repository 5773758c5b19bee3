#include "bilberry/router/agentlinks.h"

#include "support/faultproxy.h"
#include "support/fleet.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <mutex>

using namespace bilberry;
using namespace bilberry::router;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// Longest time until a link that transfers nothing is closed.
constexpr Duration detectionLimit = 4s;

/// Accepts links and sends a hello and heartbeats. Runs on its own thread.
class AgentStandin
{
public:
    AgentStandin()
        : m_acceptor(m_thread.context(), {asio::ip::address_v4::loopback(), 0}),
          m_timer(m_thread.context())
    {
        accept();
        sendHeartbeat();
        m_thread.start();
    }
    ~AgentStandin() { m_thread.stop(); }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::uint64_t lastEcho() const { return m_lastEcho; }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, auto socket) {
            if (error)
                return;
            wire::FrameLinkHooks hooks;
            hooks.onMessage = [this](wire::LinkMessage &&message) {
                if (const auto *heartbeat = std::get_if<wire::RouterHeartbeat>(&message))
                    m_lastEcho = heartbeat->echoedSequence;
            };
            hooks.onClosed = [](std::error_code) {};
            hooks.onControlSent = [](std::size_t) {};
            m_links.push_back(
                    std::make_shared<wire::FrameLink>(std::move(socket), std::move(hooks)));
            m_links.back()->start();
            wire::AgentHello hello;
            hello.server = ServerId("model-a");
            hello.sequence = ++m_sequence;
            m_links.back()->send(hello);
            accept();
        });
    }

    void sendHeartbeat()
    {
        m_timer.expires_after(500ms);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            wire::AgentHeartbeat heartbeat;
            heartbeat.sequence = ++m_sequence;
            for (const auto &link : m_links)
                link->send(heartbeat);
            sendHeartbeat();
        });
    }

    EventLoopThread m_thread{"agent"};
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<wire::FrameLink>> m_links;
    std::uint64_t m_sequence = 100;
    std::atomic<std::uint64_t> m_lastEcho = 0;
};

/// AgentLinks on its own event loop.
class LinksFixture
{
public:
    LinksFixture()
        : m_links(m_thread.context(), {RouterId("router"), 1, ZoneId("a"), {}},
                  {[this](wire::AgentHello &&) { m_up = true; },
                   [this](const ServerId &) { m_up = false; },
                   [](const ServerId &, wire::LinkMessage &&) {}, [](std::size_t) {}})
    {
        m_thread.start();
    }
    ~LinksFixture() { m_thread.stop(); }

    void setAgent(std::uint16_t port)
    {
        runOnLoop([this, port] {
            store::Vm vm;
            vm.name = "model-a";
            vm.role = store::VmRole::Agent;
            vm.address = "127.0.0.1";
            vm.port = port;
            m_links.setAgents({vm});
        });
    }
    void broadcastStamp()
    {
        runOnLoop([this] { m_links.broadcastStamp({}, Clock::now()); });
    }
    void setNoAgents()
    {
        runOnLoop([this] { m_links.setAgents({}); });
    }
    bool isUp() const { return m_up; }

private:
    void runOnLoop(std::function<void()> function)
    {
        std::promise<void> done;
        asio::post(m_thread.context(), [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::atomic<bool> m_up = false;
    EventLoopThread m_thread{"links"};
    AgentLinks m_links;
};

/// A listening port with a full backlog, which completes no further connection.
class UnresponsivePort
{
public:
    UnresponsivePort() : m_acceptor(m_context)
    {
        m_acceptor.open(asio::ip::tcp::v4());
        m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            m_fillers.emplace_back(m_context);
            m_fillers.back().async_connect(m_acceptor.local_endpoint(),
                                           [](boost::system::error_code) {});
        }
        m_context.run_for(100ms);
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_fillers;
};

} // namespace

SCENARIO("a failed link to an agent is detected in time and reopened")
{
    GIVEN("an agent behind a proxy")
    {
        AgentStandin agent;
        tests::TcpProxy proxy(agent.port());
        LinksFixture links;
        links.setAgent(proxy.port());
        REQUIRE(tests::eventually([&] { return links.isUp(); }));

        THEN("heartbeats carry the sequence number of the agent's newest message")
        {
            CHECK(tests::eventually([&] {
                links.broadcastStamp();
                return agent.lastEcho() > 101;
            }));
        }
        WHEN("the link becomes half-open")
        {
            proxy.faults().mute = true;
            THEN("the failure is detected in time, and the link is reopened afterwards")
            {
                CHECK(tests::eventually([&] { return !links.isUp(); }, detectionLimit));
                proxy.faults().mute = false;
                CHECK(tests::eventually([&] { return links.isUp(); }));
            }
        }
        WHEN("the VM is replaced by one of the same name and another address")
        {
            const UnresponsivePort unresponsive;
            links.setAgent(unresponsive.port());
            THEN("the working link is kept until it fails, and then the new address is used")
            {
                CHECK(links.isUp());
                proxy.faults().cut = true;
                CHECK(tests::eventually([&] { return !links.isUp(); }, detectionLimit));
                links.setAgent(agent.port());
                CHECK(tests::eventually([&] { return links.isUp(); }));
            }
        }
        WHEN("an outdated list lacks the agent")
        {
            links.setNoAgents();
            THEN("the working link is kept")
            {
                links.broadcastStamp();
                CHECK(links.isUp());
            }
        }
    }
    GIVEN("an agent whose address no longer answers")
    {
        const UnresponsivePort unresponsive;
        AgentStandin agent;
        LinksFixture links;
        links.setAgent(unresponsive.port());
        WHEN("the list has the address of the replacement")
        {
            links.setAgent(agent.port());
            THEN("the link is opened without waiting for the previous address")
            {
                CHECK(tests::eventually([&] { return links.isUp(); }));
            }
        }
    }
}
