// The operator takes the key of one of two tenants away and, with trouble, that of the last one,
// too, so that the list of tenants is empty. Counts the requests with a withdrawn key that run
// later than revoke_ms after that, and prints how many run with a key that no configuration ever
// held.

#include "../support/standins.h"

#include <iostream>

using namespace bilberry::review;

namespace {

constexpr int routerCount = 4;
constexpr auto revokeLimit = 5000ms; // revoke_ms
/// Between the two versions that take a key away.
constexpr auto revokePause = 1500ms;
constexpr int rounds = 10;
constexpr auto roundPause = 200ms;
constexpr char otherTenant[]
        = R"({"name":"vemi417","priority":1,"api_keys":["p3kfw70dzq2hs8xnbt51"]})";
constexpr char otherKey[] = "p3kfw70dzq2hs8xnbt51";
constexpr char foreignKey[] = "zz0zz0zz0zz0zz0zz0zz"; ///< of no tenant, ever

/// Sends a request with a key.
/// @return true when a server has run it
bool runs(Fleet &fleet, const Router &router, const std::string &key)
{
    const std::string id = newRequestId();
    Socket socket = Socket::connect(router.front());
    if (!socket.isOpen() || !socket.send(requestText("POST", bookingPath, id, key, 2500)))
        return false;
    const auto answer = MessageReader(socket).read(3s);
    fleet.record.line("client: request " + id + " with key " + key + " at " + router.name()
                      + " gets " + (answer ? std::to_string(answer->status()) : "no answer"));
    return fleet.runs.count(id) > 0;
}

} // namespace

int main(int, char **arguments)
{
    Fleet fleet(arguments[1]);
    fleet.store.put("config", "main",
                    Fleet::configuration(9, std::string("[") + tenant + ',' + otherTenant + ']'));
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *zone : {"adum", "suame", "bantama"}) {
        servers.push_back(std::make_unique<Server>(std::string("i-") + zone, "wuno96b", zone,
                                                   fleet.runs, fleet.record));
        fleet.store.put("servers", servers.back()->id(), servers.back()->entry("ready"));
    }
    fleet.startRouters(routerCount);
    if (!fleet.awaitReady())
        return NotRun;

    bool canRun = true;
    for (const auto &router : fleet.routers) {
        canRun = canRun && runs(fleet, *router, apiKey) && runs(fleet, *router, otherKey)
                 && !runs(fleet, *router, foreignKey);
    }
    std::this_thread::sleep_for(1s);
    fleet.store.put("config", "main", Fleet::configuration(12, std::string("[") + tenant + ']'));
    std::set<std::string> withdrawn{otherKey};
    if (hasTrouble()) {
        std::this_thread::sleep_for(revokePause);
        fleet.store.put("config", "main", Fleet::configuration(13, "[]"));
        withdrawn.insert(apiKey);
    }
    const TimePoint acknowledged = Clock::now();
    std::this_thread::sleep_until(acknowledged + revokeLimit + 100ms);
    int late = 0;
    int valid = 0;
    int foreign = 0;
    for (int i = 0; i < rounds; ++i) {
        for (const auto &router : fleet.routers) {
            for (const char *key : {apiKey, otherKey}) {
                const int hasRun = runs(fleet, *router, key) ? 1 : 0;
                (withdrawn.contains(key) ? late : valid) += hasRun;
            }
            foreign += runs(fleet, *router, foreignKey) ? 1 : 0;
        }
        std::this_thread::sleep_for(roundPause);
    }
    for (const auto &server : servers)
        server->stop();
    // A key that is in force must work: otherwise nothing is shown.
    const int sentPerKey = rounds * routerCount;
    if (!canRun || (!hasTrouble() && valid < sentPerKey))
        return NotRun;
    const bool broken = late > 0;
    std::cout << late << " of " << sentPerKey * static_cast<int>(withdrawn.size())
              << " requests ran with a key that was withdrawn more than 5 s before\n"
              << foreign << " of " << sentPerKey
              << " requests ran with a key that no configuration ever held\n"
              << (broken ? "CONFIG: broken" : "CONFIG: held") << std::endl;
    fleet.record.line(broken ? "CONFIG: broken" : "CONFIG: held");
    return broken ? RuleBroken : RuleHeld;
}
