// Measures the slopes that docs/CAPACITY.md uses: memory, processor time and control bytes of a
// router by customers, links and routers, and the platform calls of a configuration change.

#include "benchmarkoptions.h"
#include "processstats.h"

#include "support/fleet.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/eventloopthread.h"
#include "bilberry/model/configurationcodec.h"
#include "bilberry/wire/framelink.h"

#include <cstdio>
#include <sstream>
#include <thread>

using namespace bilberry;
using namespace bilberry::tests;
using namespace bilberry::benchmark;

namespace {

namespace asio = boost::asio;

/// Stand-ins of idle agents: each sends a hello on every link and a heartbeat every second.
class IdleAgents
{
public:
    IdleAgents(std::size_t count, std::string pool)
        : m_pool(std::move(pool)), m_timer(m_eventLoop.context())
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_acceptors.push_back(std::make_unique<asio::ip::tcp::acceptor>(
                    m_eventLoop.context(),
                    asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
            accept(i);
        }
        sendHeartbeats();
        m_eventLoop.start();
    }

    ~IdleAgents() { m_eventLoop.stop(); }

    std::vector<store::Vm> vms() const
    {
        std::vector<store::Vm> list;
        for (std::size_t i = 0; i < m_acceptors.size(); ++i)
            list.push_back({agentName(i), store::VmRole::Agent, ZoneId("a"), "127.0.0.1",
                            m_acceptors[i]->local_endpoint().port(), 1, false});
        return list;
    }

private:
    static std::string agentName(std::size_t index) { return "idle-" + std::to_string(index); }

    void accept(std::size_t index)
    {
        m_acceptors[index]->async_accept([this, index](boost::system::error_code error,
                                                       asio::ip::tcp::socket socket) {
            if (error)
                return;
            wire::FrameLinkHooks hooks;
            hooks.onMessage = [](wire::LinkMessage &&) {};
            hooks.onClosed = [](std::error_code) {};
            hooks.onControlSent = [](std::size_t) {};
            auto link = std::make_shared<wire::FrameLink>(std::move(socket), hooks);
            link->start();
            link->send(wire::AgentHello{
                    ServerId(agentName(index)), 1, PoolId(m_pool), ZoneId("a"), {}, idleLoad()});
            m_links.push_back(link);
            accept(index);
        });
    }

    static wire::ServerLoad idleLoad()
    {
        wire::ServerLoad load;
        load.window = 8;
        load.accepting = true;
        return load;
    }

    void sendHeartbeats()
    {
        m_timer.expires_after(std::chrono::seconds(1));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            for (const auto &link : m_links)
                link->send(wire::AgentHeartbeat{{}, idleLoad()});
            sendHeartbeats();
        });
    }

    EventLoopThread m_eventLoop{"idle-agents"};
    std::string m_pool;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> m_acceptors;
    std::vector<std::shared_ptr<wire::FrameLink>> m_links;
};

std::string makeReleaseNote(std::size_t customers)
{
    std::ostringstream note;
    note << "added:\n  zones: { a: {} }\n  pools:\n    models: { zones: [a] }\n"
         << "  routes:\n    /v1: { pool: models }\n  customers:\n";
    for (std::size_t i = 0; i < customers; ++i)
        note << "    customer-" << i << ": { share: 1, keyDigests: ["
             << sha256Hex("key-" + std::to_string(i)) << "] }\n";
    return note.str();
}

FleetPlan makePlan(const std::string &binaries, std::size_t routers, std::size_t customers)
{
    FleetPlan plan;
    plan.binaries = binaries;
    plan.routers.assign(routers, "a");
    plan.releaseNote = makeReleaseNote(customers);
    plan.routerSettings["platform.listPeriodMs"] = "500";
    return plan;
}

/// @return the sum of all samples of a metric that an admin server exposes
double metricSum(const Fleet &fleet, std::uint16_t adminPort, const std::string &name)
{
    std::istringstream page(fleet.admin(adminPort, "/metrics"));
    double sum = 0.0;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with(name))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

void sleepFor(Duration length)
{
    std::this_thread::sleep_for(length);
}

/// Resource use of an idle router or agent.
struct IdleCost
{
    long memoryKib = 0;
    double corePercent = 0.0; ///< processor time, percent of one core
    double controlBytesPerSecond = 0.0;
    double platformCallsPerSecond = 0.0;
};

IdleCost measureIdle(Fleet &fleet, Duration length)
{
    sleepFor(std::chrono::seconds(2));
    const int pid = fleet.router(0).id();
    const std::uint16_t port = fleet.routerAdminPort(0);
    const double processorBefore = processorSeconds(pid);
    const double bytesBefore = metricSum(fleet, port, "bilberry_control_bytes_total");
    const double callsBefore = metricSum(fleet, port, "bilberry_store_calls_total");
    sleepFor(length);
    const double seconds = toMilliseconds(length) / 1000.0;
    IdleCost cost;
    cost.memoryKib = residentKib(pid);
    cost.corePercent = (processorSeconds(pid) - processorBefore) / seconds * 100.0;
    cost.controlBytesPerSecond
            = (metricSum(fleet, port, "bilberry_control_bytes_total") - bytesBefore) / seconds;
    cost.platformCallsPerSecond
            = (metricSum(fleet, port, "bilberry_store_calls_total") - callsBefore) / seconds;
    return cost;
}

void print(const char *label, std::size_t count, const IdleCost &cost)
{
    std::printf("%-22s %6zu: %7ld KiB, %6.2f%% of a core, %8.0f control bytes/s, %5.2f platform "
                "calls/s\n",
                label, count, cost.memoryKib, cost.corePercent, cost.controlBytesPerSecond,
                cost.platformCallsPerSecond);
}

void measureCustomers(const std::string &binaries, Duration length)
{
    std::printf("\nOne router by customers in the configuration\n");
    for (const std::size_t customers : {780UL, 7800UL}) {
        Fleet fleet(makePlan(binaries, 1, customers));
        if (!fleet.start())
            continue;
        print("customers", customers, measureIdle(fleet, length));
        std::size_t bytes = 0;
        for (const std::string &name : fleet.platform().names("configuration/"))
            bytes += fleet.platform().value(name).size();
        std::printf("%-22s %6zu: %zu bytes in the platform\n", "configuration", customers, bytes);
    }
}

void measureLinks(const std::string &binaries, Duration length)
{
    std::printf("\nOne router by links to idle agents\n");
    for (const std::size_t links : {50UL, 200UL, 400UL}) {
        Fleet fleet(makePlan(binaries, 1, 10));
        const IdleAgents agents(links, "models");
        std::vector<store::Vm> vms = fleet.vms();
        for (const store::Vm &vm : agents.vms())
            vms.push_back(vm);
        fleet.platform().setVms(vms);
        if (fleet.start())
            print("links", links, measureIdle(fleet, length));
    }
}

void measureRouters(const std::string &binaries, Duration length)
{
    std::printf("\nRouters without load\n");
    for (const std::size_t routers : {4UL, 8UL, 16UL}) {
        Fleet fleet(makePlan(binaries, routers, 10));
        if (fleet.start())
            print("routers", routers, measureIdle(fleet, length));
    }
}

void measureAgents(const std::string &binaries, Duration length)
{
    std::printf("\nOne idle agent by routers\n");
    for (const std::size_t routers : {2UL, 8UL}) {
        FleetPlan plan = makePlan(binaries, routers, 10);
        plan.servers = {{"server", "models", "a"}};
        Fleet fleet(plan);
        if (!fleet.start())
            continue;
        sleepFor(std::chrono::seconds(2));
        const std::uint16_t port = fleet.agentAdminPort("server");
        const int pid = fleet.agent("server").id();
        const double bytesBefore = metricSum(fleet, port, "bilberry_control_bytes_total");
        const double processorBefore = processorSeconds(pid);
        sleepFor(length);
        const double seconds = toMilliseconds(length) / 1000.0;
        IdleCost cost;
        cost.memoryKib = residentKib(pid);
        cost.corePercent = (processorSeconds(pid) - processorBefore) / seconds * 100.0;
        cost.controlBytesPerSecond
                = (metricSum(fleet, port, "bilberry_control_bytes_total") - bytesBefore) / seconds;
        print("routers", routers, cost);
    }
}

void measureChanges(const std::string &binaries)
{
    std::printf("\nConfiguration changes (3 routers, 780 customers)\n");
    Fleet fleet(makePlan(binaries, 3, 780));
    if (!fleet.start())
        return;
    constexpr int changes = 20;
    const std::uint64_t callsBefore = fleet.platform().calls();
    const TimePoint start = Clock::now();
    double worstMs = 0.0;
    int inForce = 0;
    for (int i = 0; i < changes; ++i) {
        const std::string note = fleet.write(
                "change.yaml", "changed:\n  customers:\n    customer-" + std::to_string(i)
                                       + ": { share: " + std::to_string(i + 2) + " }\n");
        const TimePoint begin = Clock::now();
        inForce += fleet.ctl({"apply", note}).exitCode == 0 ? 1 : 0;
        worstMs = std::max(worstMs, toMilliseconds(Clock::now() - begin));
    }
    const double seconds = toMilliseconds(Clock::now() - start) / 1000.0;
    std::printf("%d of %d in force everywhere, slowest %.0f ms from call to in force\n", inForce,
                changes, worstMs);
    std::printf("%.1f platform calls a change, all processes, %.1f changes/s\n",
                static_cast<double>(fleet.platform().calls() - callsBefore) / changes,
                changes / seconds);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("capacitybench", "Measures the slopes that docs/CAPACITY.md uses.");
    options.add_options()("binaries", "directory of bilberryd",
                          cxxopts::value<std::string>()->default_value("build/bin"))(
            "seconds", "length of each measurement in seconds",
            cxxopts::value<int>()->default_value("5"))(
            "only", "customers, links, routers, agents or changes",
            cxxopts::value<std::string>()->default_value("all"));
    const auto arguments = parseOptions(options, argc, argv);
    const std::string binaries = arguments["binaries"].as<std::string>();
    const Duration length = std::chrono::seconds(arguments["seconds"].as<int>());
    raiseOpenFileLimit();
    const std::string only = arguments["only"].as<std::string>();
    const auto isSelected = [&](const char *section) { return only == "all" || only == section; };
    if (isSelected("customers"))
        measureCustomers(binaries, length);
    if (isSelected("links"))
        measureLinks(binaries, length);
    if (isSelected("routers"))
        measureRouters(binaries, length);
    if (isSelected("agents"))
        measureAgents(binaries, length);
    if (isSelected("changes"))
        measureChanges(binaries);
    return 0;
}
