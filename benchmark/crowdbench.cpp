// Measures how the memory of a direct router grows with a crowd that leaves large bodies
// unfinished.

#include "crowd/crowdforms.h"
#include "support/directprogram.h"
#include "support/fleet.h"
#include "support/resourcewatch.h"
#include "support/storestandin.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <thread>

using namespace bilberry;

namespace {

constexpr auto settleLimit = std::chrono::seconds(30);
constexpr auto stayTime = std::chrono::seconds(1);
constexpr std::size_t allOfTen = 10;

const std::string configuration
        = R"({"version":1,"routes":[{"name":"note","host":"h.example","path_prefix":"/note/",)"
          R"("kind":"idempotent","timeout_ms":20000,"service":"notes","max_attempts":2,)"
          R"("public":true}],"services":[{"name":"notes"}],"tenants":[]})";
const std::string unreachableServer
        = R"({"service":"notes","zone":"a","state":"ready","slots":4,"address":"127.0.0.1:1"})";
const std::string builtDaemon = BILBERRY_BIN "/bilberryd";
const std::string head = "POST /note/a HTTP/1.1\r\nHost: h.example\r\n";

void measure(const std::string &program, std::size_t callers)
{
    tests::StoreStandIn store;
    store.put("config", "main", configuration);
    store.put("servers", "i-1", unreachableServer);
    tests::DirectProgram router(program, store.port());
    tests::eventually([&] { return router.isReady(); });
    const tests::ResourceWatch watch(router.process().id(), {{router.callerPort()}, {}});
    std::vector<tests::CrowdCaller> crowd = crowd::bodyCrowd(head, crowd::withLength, allOfTen);
    crowd.resize(callers, crowd.front());
    const tests::Crowd pressing(router.callerPort(), std::move(crowd));
    tests::eventually([&] { return pressing.hasSettled(); }, settleLimit);
    std::this_thread::sleep_for(stayTime);
    std::printf("%zu callers with bodies of %zu bytes: peak %zu MB, %zu descriptors\n", callers,
                crowd::bodyBytes, watch.peakBytes() >> 20U, watch.peakDescriptors());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("crowdbench", "Measures a direct router's memory under crowds.");
    options.add_options()("program", "path of bilberryd",
                          cxxopts::value<std::string>()->default_value(builtDaemon));
    options.add_options()("callers", "sizes of the crowds",
                          cxxopts::value<std::vector<std::string>>()->default_value("40,160,640"));
    const auto given = options.parse(argc, argv);
    for (const std::string &callers : given["callers"].as<std::vector<std::string>>())
        measure(given["program"].as<std::string>(), std::stoul(callers));
    return 0;
}
