#include "support/partition.h"

#include <boost/json.hpp>

namespace bilberry::tests {

namespace json = boost::json;

namespace {

constexpr auto callPause = std::chrono::milliseconds(10);

} // namespace

PartitionedFleet::PartitionedFleet(FleetPlan plan)
{
    plan.platformPort = [this](std::size_t router, std::uint16_t port) {
        std::unique_ptr<TcpProxy> &proxy = m_platform[router];
        if (!proxy)
            proxy = std::make_unique<TcpProxy>(port);
        return proxy->port();
    };
    m_fleet = std::make_unique<Fleet>(std::move(plan));
    std::vector<store::Vm> vms = m_fleet->vms();
    for (store::Vm &vm : vms) {
        m_admin[vm.name] = std::make_unique<TcpProxy>(vm.adminPort);
        vm.adminPort = m_admin[vm.name]->port();
        if (vm.role == store::VmRole::Router) {
            m_gossip.push_back(std::make_unique<UdpProxy>(vm.port));
            vm.port = m_gossip.back()->port();
        } else {
            m_agents[vm.name] = std::make_unique<TcpProxy>(vm.port);
            vm.port = m_agents[vm.name]->port();
        }
    }
    for (std::size_t i = 0; i < m_fleet->routerCount(); ++i)
        m_fleet->plan().platformPort(i, m_fleet->platform().port());
    m_fleet->platform().setVms(std::move(vms));
}

PartitionedFleet::~PartitionedFleet() = default;

SteadyLoad::SteadyLoad(const Fleet &fleet, Call request)
{
    for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
        m_callers.emplace_back([this, request, port = fleet.callerPort(router)] {
            while (!m_stopping) {
                call(port, request);
                std::this_thread::sleep_for(callPause);
            }
        });
    }
}

SteadyLoad::~SteadyLoad()
{
    m_stopping = true;
    for (std::thread &caller : m_callers)
        caller.join();
}

std::uint64_t revisionAt(const Fleet &fleet, std::uint16_t adminPort)
{
    boost::system::error_code error;
    const json::value status = json::parse(fleet.admin(adminPort, "/v1/status"), error);
    if (error || !status.is_object() || !status.as_object().contains("revision"))
        return 0;
    return status.at("revision").to_number<std::uint64_t>();
}

} // namespace bilberry::tests
