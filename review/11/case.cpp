// A server registers and leaves again while one of the two routers that watch the store stands
// still for a moment. The other routers must send it nothing once it has left.
#include "../support-3/lab.h"

using namespace lab;

namespace {

constexpr double drainS = 2.0;       // drain_ms
constexpr double stillServesS = 7.0; // a server that has left goes on for that long, then exits
constexpr int servers = 4;           // that register and leave, one after the other
constexpr double requestsPerS = 60.0;

/// A plain server that runs each request that names it.
class Server
{
public:
    Server(std::string id, std::string zone)
        : m_id(std::move(id)), m_zone(std::move(zone)),
          m_listener(freePort(), [this](const ConnectionPtr &connection) { serve(connection); })
    {
        m_listener.start();
    }

    std::string entry(const std::string &version) const
    {
        return R"({"service":"shop","address":"127.0.0.1:)" + std::to_string(m_listener.port())
               + R"(","zone":")" + m_zone + R"(","version":")" + version
               + R"(","slots":6,"state":"ready","warmup_left_ms":0,"born":1790000000000,)"
                 R"("sequence":1})";
    }
    const std::string &id() const { return m_id; }
    void end() { m_listener.stop(); }

    /// @return number of requests that clients sent after a point in time, by the name of their
    ///         router
    std::map<std::string, int> sentAfter(double time)
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::string, int> numbers;
        for (const auto &[router, sentAt] : m_requests) {
            if (sentAt > time)
                ++numbers[router];
        }
        return numbers;
    }

private:
    void serve(const ConnectionPtr &connection)
    {
        while (const auto request = connection->readMessage(now() + 30.0)) {
            const std::string own = "Bilberrystile-Attempt-Id: "
                                    + request->field("bilberrystile-attempt-id") + "\r\n";
            if (request->field("bilberrystile-target-instance") != m_id) {
                connection->send(response(421, own, ""));
                continue;
            }
            record().line(m_id + " runs " + request->field("bilberrystile-attempt-id") + " from "
                          + request->field("client-router"));
            {
                const std::lock_guard lock(m_mutex);
                m_requests.emplace_back(request->field("client-router"),
                                        std::atof(request->field("client-sent").c_str()));
            }
            sleepFor(0.01);
            if (!connection->send(response(
                        200, own + "Bilberrystile-Response-Signature: 1.2.3." + m_id + "\r\n",
                        "ok")))
                return;
        }
    }

    std::string m_id;
    std::string m_zone;
    std::mutex m_mutex;
    std::vector<std::pair<std::string, double>> m_requests;
    Listener m_listener;
};

const char *config = R"({"version":7,"routes":[{"name":"stock","host":"shop.example",)"
                     R"("path_prefix":"/stock/","kind":"idempotent","timeout_ms":1200,)"
                     R"("target_latency_ms":150,"priority":2,"service":"shop","max_attempts":2,)"
                     R"("public":false}],"services":[{"name":"shop","health_path":"/healthz",)"
                     R"("max_connections":110,"warmup_s":0.0,"warmup_per_s":0.0}],)"
                     R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
                     R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
                     R"("tenants":[{"name":"depot","api_keys":["key-depot-1"]}]})";

/// @return true when the router's log says that it watches the store for the others by now
bool isWatching(const std::string &log)
{
    std::ifstream in(log);
    std::stringstream all;
    all << in.rdbuf();
    const auto began = all.str().rfind("\"Watches the store for the other");
    const auto ended = all.str().rfind("\"No longer watches the store for the other");
    return began != std::string::npos && (ended == std::string::npos || ended < began);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string root = argc > 1 ? argv[1] : ".";
    record().open(argc > 2 ? argv[2] : "record.txt");
    const bool trouble = env("TROUBLE", "1") != "0";
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", config);
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c", "zone-d"};
    std::vector<std::unique_ptr<Server>> lasting;
    for (const std::string &zone : zones) {
        lasting.push_back(std::make_unique<Server>("i-" + zone, zone));
        store.put("servers", lasting.back()->id(), lasting.back()->entry("v1"));
    }
    std::vector<std::unique_ptr<Router>> routers;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        routers.push_back(std::make_unique<Router>(folder, "router-" + std::to_string(i + 1),
                                                   zones[i], store.open()));
        routers.back()->start(root);
    }
    const double limit = now() + 20.0;
    for (const auto &router : routers) {
        while (!router->isReady()) {
            if (now() > limit)
                return 2;
            sleepFor(0.1);
        }
    }
    sleepFor(6.0); // two routers watch the store for the others by now
    std::vector<Router *> watching;
    std::string otherZone;
    for (std::size_t i = 0; i < routers.size(); ++i) {
        if (isWatching(folder + "/" + routers[i]->name() + ".log"))
            watching.push_back(routers[i].get());
        else
            otherZone = zones[i];
    }
    if (watching.size() != 2)
        return 2;

    std::atomic<bool> isOver = false;
    std::atomic<int> open = 0;
    std::atomic<int> served = 0;
    std::thread traffic([&] {
        const double begin = now();
        for (int i = 0; !isOver; ++i) {
            sleepUntil(begin + i / requestsPerS);
            ++open;
            std::thread([&, i] {
                Router &router = *routers[i % routers.size()];
                Request request;
                request.path = "/stock/" + std::to_string(i);
                request.key = "key-depot-1";
                request.deadlineMs = 1200;
                request.fields = "Client-Router: " + router.name()
                                 + "\r\nClient-Sent: " + std::to_string(now()) + "\r\n";
                record().line("client sends " + request.id + " to " + router.name());
                const Answer answer = ask(router.front, request);
                record().line("client of " + request.id + " got " + std::to_string(answer.status));
                served += answer.status == 200 ? 1 : 0;
                --open;
            }).detach();
        }
    });

    int late = 0;
    for (int i = 1; i <= servers; ++i) {
        Server server("i-short-" + std::to_string(i), otherZone);
        // A change of another server begins the short pause of both routers that watch.
        store.put("servers", lasting[0]->id(), lasting[0]->entry("v" + std::to_string(i + 1)));
        sleepFor(0.06);
        if (trouble)
            watching[1]->signal(SIGSTOP);
        sleepFor(0.02);
        store.put("servers", server.id(), server.entry("v1"));
        sleepFor(0.05);
        store.remove("servers", server.id());
        const double leftAt = now();
        record().line(server.id() + " has left: acknowledged by the store");
        sleepFor(0.01);
        if (trouble)
            watching[1]->signal(SIGCONT);
        sleepUntil(leftAt + stillServesS);
        for (const auto &[router, number] : server.sentAfter(leftAt + drainS)) {
            const bool counts = router != watching[1]->name();
            record().line(server.id() + " got " + std::to_string(number)
                          + " requests later than drain_ms after it had left from " + router
                          + (counts ? "" : " (stood still, not counted)"));
            late += counts ? number : 0;
        }
        server.end();
    }
    isOver = true;
    traffic.join();
    while (open > 0)
        sleepFor(0.01);
    const std::string summary
            = "requests that reached a server later than drain_ms after it had left, from routers "
              "without a disruption: "
              + std::to_string(late) + "; served in all " + std::to_string(served);
    record().line(summary);
    std::puts(summary.c_str());
    for (const auto &router : routers)
        router->kill();
    removeFolder(folder);
    if (served == 0)
        return 2;
    return late > 0 ? 1 : 0;
}
