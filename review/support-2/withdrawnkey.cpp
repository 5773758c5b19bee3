// Case 8: after a drill of the store, a router that starts takes the configuration of the copy for
// the newest one.

#include "standins.h"

using namespace review;

namespace {

constexpr long revokeMs = 5000;
const std::string key = "asnmgkcuyj8pjbvk9m68";
const std::string otherKey = "b7q2mgkcuyj8pjbvk001";

std::mutex runsMutex;
std::set<std::string> runs;

std::string configuration(int version, bool hasKey)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"read","host":"shop.example","path_prefix":"/read/","service":"stock",)"
             R"("kind":"idempotent","max_attempts":2,"timeout_ms":1200,"target_latency_ms":150,"priority":2}],)"
             R"("services":[{"name":"stock","health_path":"/healthz","slots":6,"max_connections":110}],)"
             R"("tenants":[{"name":"hule930","api_keys":[)"
           + (hasKey ? '"' + key + "\"," : "") + '"' + otherKey
           + R"("]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
             R"("idle_timeout_ms":15000,"tokens_per_s":100000}})";
}

void serveStock(int socket, const std::atomic<bool> &stop, Record &record)
{
    std::string buffer;
    Head head;
    while (readHead(socket, buffer, head, 15000, &stop)) {
        const std::string attempt = head.field("bilberrystile-attempt-id");
        {
            const std::lock_guard lock(runsMutex);
            runs.insert(attempt);
        }
        record.line("run      " + attempt + " for " + head.field("bilberrystile-tenant"));
        if (!sendAll(socket, "HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: " + attempt
                                     + "\r\nBilberrystile-Response-Signature: s." + attempt
                                     + "\r\nContent-Length: 5\r\n\r\nstock"))
            return;
    }
}

Answer read(Router &router, const std::string &id, const std::string &withKey)
{
    return call(router.front(),
                "GET /read/2f HTTP/1.1\r\nHost: shop.example\r\nBilberrystile-Attempt-Id: " + id
                        + "\r\nBilberrystile-Deadline-Remaining: 1200\r\nAuthorization: Bearer "
                        + withKey + "\r\n",
                "", 1500);
}

bool run(const std::string &file)
{
    Record record(file);
    TemporaryFolder folder;
    Store store;
    const std::atomic<bool> never = false;
    Listener server(0, [&](int socket) { serveStock(socket, never, record); });
    const std::string serverEntry = serverSpec("stock", "celje-a", server.port(), 6, unixMs());
    store.put("servers", "i-stock", serverEntry);
    store.put("config", "main", configuration(4, true));
    std::vector<std::unique_ptr<Router>> routers;
    const std::vector<std::pair<std::string, std::string>> names{{"edge-celje-a-1", "celje-a"},
                                                                 {"edge-celje-a-2", "celje-a"},
                                                                 {"edge-zalec-b-1", "zalec-b"},
                                                                 {"edge-zalec-b-2", "zalec-b"},
                                                                 {"edge-velenje-c-1", "velenje-c"}};
    for (const auto &[name, zone] : names) {
        routers.push_back(std::make_unique<Router>(name, zone, store.port(), folder.path()));
        routers.back()->start();
    }
    for (auto &router : routers) {
        if (!router->waitUntilReady())
            throw CannotRun("a router is not ready");
    }
    sleepFor(5000);
    if (read(*routers.back(), "before", key).status != 200)
        throw CannotRun("the key doesn't work before it is withdrawn");
    if (hasTrouble())
        store.copy();
    sleepFor(500);

    store.put("config", "main", configuration(7, false));
    const TimePoint withdrawnAt = Clock::now();
    record.line("operator withdraws the key: configuration 7 is acknowledged");
    const auto sleepUntil = [&](long ms) { std::this_thread::sleep_until(withdrawnAt + Ms(ms)); };
    sleepUntil(1000);
    for (auto &router : routers)
        record.line("answered a request with the withdrawn key at " + router->name() + ": "
                    + std::to_string(read(*router, "after-" + router->name(), key).status));

    Router &restarted = *routers.back();
    const Balancer balancer(restarted);
    sleepUntil(3200);
    if (hasTrouble()) {
        store.goAway();
        record.line("store    is away");
    }
    sleepUntil(4200);
    if (hasTrouble()) {
        store.comeBackFromCopy();
        record.line("store    is back from a copy of 4.7 s ago, in the next era");
        store.put("servers", "i-stock", serverEntry);
    }
    sleepUntil(4500);
    restarted.kill();
    record.line("SIGKILL  " + restarted.name());
    // The platform starts a process that was killed again after a short delay.
    sleepUntil(revokeMs + 100);
    restarted.start();
    record.line("start    " + restarted.name());

    // The clients of the restarted machine: one still uses the withdrawn key, the other one its
    // own.
    int sent = 0;
    int ran = 0;
    int sound = 0;
    bool writtenAgain = false;
    while (Clock::now() < withdrawnAt + Ms(9000)) {
        if (!writtenAgain && Clock::now() >= withdrawnAt + Ms(6200)) {
            writtenAgain = true;
            store.put("config", "main", configuration(7, false));
            record.line("operator writes configuration 7 again, 2.0 s after the store is back");
        }
        if (!balancer.isInRotation()) {
            sleepFor(10);
            continue;
        }
        const std::string id = "late" + std::to_string(1000 + sent);
        const long sentAt = sinceStart() - sinceStart(withdrawnAt);
        const Answer answer = read(restarted, id, key);
        sleepFor(10);
        if (answer.end == "no connection")
            continue;
        ++sent;
        bool hasRun = false;
        {
            const std::lock_guard lock(runsMutex);
            hasRun = runs.contains(id);
        }
        if (sent < 20 || hasRun || sent % 50 == 0)
            record.line("answered " + id + ", sent " + std::to_string(sentAt)
                        + " ms after the acknowledgement: " + std::to_string(answer.status));
        if (hasRun && sentAt > revokeMs) {
            ++ran;
            record.line("CONFIG   " + id + " with the withdrawn key has run");
        }
        if (sent % 10 == 0)
            sound += read(restarted, "sound" + std::to_string(sent), otherKey).status == 200 ? 1
                                                                                             : 0;
    }
    for (auto &router : routers)
        router->terminate();
    server.stop();
    store.stop();
    record.line("requests with the withdrawn key: " + std::to_string(sent) + ", run later than "
                + std::to_string(revokeMs) + " ms after the acknowledgement: " + std::to_string(ran)
                + "; with a sound key answered 200: " + std::to_string(sound));
    if (sound == 0)
        throw CannotRun("no sound request was served");
    return ran > 0;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? runCase([&] { return run(argv[1]); }) : 2;
}
