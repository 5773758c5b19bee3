// The open connections between the routers and the store go silent, new ones work. From 3.5 s
// later on, servers report one after the other that they are draining. Counts the requests that
// reach such a server too late.

#include "../support/standins.h"

#include <array>
#include <iostream>

using namespace bilberry::review;

namespace {

constexpr int routerCount = 4;
constexpr auto drainLimit = 2000ms; // drain_ms
/// contact_ms and a margin: from then on the routers are in touch again.
constexpr auto contactTime = 3500ms;
/// After each drain, before the next one.
constexpr std::array drainPauses{1830ms, 2070ms, 1690ms, 2210ms, 1950ms, 0ms};

} // namespace

int main(int, char **arguments)
{
    Fleet fleet(arguments[1]);
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *number : {"1", "2", "3", "4"}) {
        for (const char *zone : {"adum", "suame", "bantama"}) {
            servers.push_back(std::make_unique<Server>(std::string("i-") + zone + number, "wuno96b",
                                                       zone, fleet.runs, fleet.record));
            fleet.store.put("servers", servers.back()->id(), servers.back()->entry("ready"));
        }
    }
    fleet.startRouters(routerCount, true);
    if (!fleet.awaitReady())
        return NotRun;

    Traffic traffic(fleet, 4, 10ms, false);
    std::this_thread::sleep_for(2s);
    if (hasTrouble()) {
        for (const auto &proxy : fleet.proxies)
            fleet.record.line("trouble: " + std::to_string(proxy->silenceOpen())
                              + " connections to the store go silent");
    }
    std::this_thread::sleep_for(contactTime);
    std::vector<std::pair<std::string, TimePoint>> drained;
    for (std::size_t i = 0; i < drainPauses.size(); ++i) {
        const Server &leaving = *servers[i];
        fleet.store.put("servers", leaving.id(), leaving.entry("draining"));
        drained.emplace_back(leaving.id(), Clock::now());
        std::this_thread::sleep_for(drainPauses[i]);
    }
    std::this_thread::sleep_for(drainLimit);
    traffic.stop();

    int late = 0;
    bool allUsed = true;
    for (const auto &[id, at] : drained) {
        int before = 0;
        int lateHere = 0;
        double last = 0.0;
        for (const Arrival &arrival : fleet.runs.arrivals()) {
            if (arrival.server != id)
                continue;
            before += arrival.at < at ? 1 : 0;
            lateHere += arrival.at > at + drainLimit ? 1 : 0;
            last = std::chrono::duration<double>(arrival.at - at).count();
        }
        allUsed = allUsed && before > 0;
        late += lateHere;
        std::cout << id << ": last request " << last << " s after its drain, " << lateHere
                  << " later than 2 s\n";
    }
    for (const auto &server : servers)
        server->stop();
    if (!allUsed)
        return NotRun;
    std::cout << (late > 0 ? "DRAIN: broken" : "DRAIN: held") << std::endl;
    fleet.record.line(late > 0 ? "DRAIN: broken" : "DRAIN: held");
    return late > 0 ? RuleBroken : RuleHeld;
}
