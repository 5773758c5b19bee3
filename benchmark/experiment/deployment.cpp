#include "deployment.h"

#include "bilberry/base/digest.h"

#include <numeric>
#include <sstream>

namespace bilberry::benchmark {

namespace {

constexpr std::size_t customerCount = 16;

/// A few large customers, small ones whose requests wait at one router only, one that floods all
/// routers, one that sends in bursts, and light ones whose requests never wait for long.
std::vector<CustomerLoad> makeCustomers(std::size_t routers)
{
    std::vector<std::size_t> all(routers);
    std::iota(all.begin(), all.end(), 0);
    std::vector<CustomerLoad> loads = {
            {"wholesaler", 10.0, all, 60, 200.0, 0.0, 0.0},
            {"contracts", 5.0, {0}, 60, 500.0, 0.02, 0.0},
            {"depots", 4.0, {0, 1}, 40, 100.0, 0.0, 0.0},
            {"flood", 1.0, all, 100, 100.0, 0.02, 0.0},
            {"lodge-1", 1.0, {1}, 10, 50.0, 0.0, 0.0},
            {"lodge-2", 1.0, {2}, 20, 400.0, 0.02, 0.0},
            {"visitor", 2.0, {2}, 30, 100.0, 0.0, 3.0},
    };
    while (loads.size() < customerCount) {
        const std::size_t router = loads.size() % routers;
        loads.push_back(
                {"light-" + std::to_string(loads.size()), 1.0, {router}, 0, 50.0, 0.0, 0.0});
    }
    return loads;
}

std::string formatList(const std::vector<std::string> &items)
{
    std::string text;
    for (const std::string &item : items)
        text += (text.empty() ? "" : ", ") + item;
    return "[" + text + "]";
}

std::string releaseNote(const Deployment &deployment)
{
    std::ostringstream note;
    note << "added:\n  zones: {";
    for (std::size_t i = 0; i < deployment.zones.size(); ++i)
        note << (i ? ", " : " ") << deployment.zones[i] << ": {}";
    const std::string zones = formatList(deployment.zones);
    const auto writePool = [&](const std::string &name) {
        note << "    " << name << ": { zones: " << zones
             << ", coldLimit: 4, fullLimit: " << Deployment::slotsPerServer << " }\n";
    };
    note << " }\n  pools:\n";
    writePool("models");
    writePool(deployment.appPool);
    note << "  customers:\n";
    for (const CustomerLoad &customer : deployment.customers)
        note << "    " << customer.name << ": { share: " << customer.share << ", keyDigests: ["
             << sha256Hex(apiKey(customer.name)) << "] }\n";
    note << "  routes:\n    /v1: { pool: models, repeatable: always }\n    /app: { pool: "
         << deployment.appPool << " }\n";
    return note.str();
}

void addServers(Deployment &deployment, const std::string &pool, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        deployment.plan.servers.push_back({pool + "-" + std::to_string(i), pool,
                                           deployment.zones[i % deployment.zones.size()]});
}

} // namespace

std::string apiKey(const std::string &customer)
{
    return customer + "-key";
}

Deployment makeDeployment(const std::string &name, const std::string &mode)
{
    const bool krathin = name == "krathin";
    Deployment deployment;
    deployment.name = name;
    deployment.zones = {"a", "b", "c"};
    if (krathin)
        deployment.zones.emplace_back("d");
    deployment.appPool = krathin ? "lodges" : "orders";
    deployment.modelServers = 9;
    deployment.customers = makeCustomers(deployment.zones.size());
    addServers(deployment, "models", deployment.modelServers);
    addServers(deployment, deployment.appPool, krathin ? 4 : 3);
    deployment.plan.binaries = BILBERRY_BIN;
    deployment.plan.routers = deployment.zones;
    deployment.plan.routerSettings["fairness.mode"] = mode;
    deployment.plan.releaseNote = releaseNote(deployment);
    return deployment;
}

} // namespace bilberry::benchmark
