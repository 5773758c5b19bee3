// A server crashes and starts again under its id, cold, while the store is away. The routers must
// not send it more than a cold server is to get.
#include "../support-3/lab.h"

using namespace lab;

namespace {

constexpr double warmupS = 3.0;
constexpr double warmupPerS = 8.0;
constexpr double allowedPerS = warmupPerS * 1.5 + 5.0; // warmup_overage, warmup_slack
constexpr double downS = 2.0;
constexpr double outageBegin = 1.5; // after the crash
constexpr double outageS = 4.5;
constexpr double crashPerS = 3.0 * warmupPerS; // well above what it bears
constexpr double requestsPerS = 84.0;

/// A model server as the pages tell it: streams, a cold start, and a crash far above the rate that
/// it bears while it is cold.
class Engine
{
public:
    Engine(Store &store, std::string id, std::string zone)
        : m_store(store), m_id(std::move(id)), m_zone(std::move(zone)), m_port(freePort()),
          m_listener(m_port, [this](const ConnectionPtr &connection) { serve(connection); })
    {
    }

    void start(bool cold)
    {
        m_born = 1790000000000 + static_cast<long>(now() * 1000.0);
        m_coldUntil = cold ? now() + warmupS : 0.0;
        m_up = true;
        m_listener.start();
    }
    void crash(const std::string &why)
    {
        m_up = false;
        record().line("server " + m_id + " crashes: " + why
                      + "; running: " + std::to_string(m_running));
        m_listener.stop();
    }
    std::string entry() const
    {
        const int left = static_cast<int>(std::max(0.0, m_coldUntil - now()) * 1000.0);
        return R"({"service":"llm","address":"127.0.0.1:)" + std::to_string(m_port)
               + R"(","zone":")" + m_zone
               + R"(","version":"v1","slots":64,"state":"ready","warmup_left_ms":)"
               + std::to_string(left) + R"(,"born":)" + std::to_string(m_born)
               + R"(,"sequence":1})";
    }
    void writeEntry() { m_store.put("servers", m_id, entry()); }
    bool isOverloaded() const { return m_overloaded; }
    std::size_t mostInOneSecond() const { return m_most; }
    std::size_t arrivals() const { return m_arrivals; }
    std::size_t lost() const { return m_lost; }

private:
    void serve(const ConnectionPtr &connection)
    {
        while (m_up) {
            auto request = connection->readMessage(now() + 10.0);
            if (!request)
                return;
            const std::string id = request->field("bilberrystile-attempt-id");
            if (request->field("bilberrystile-target-instance") != m_id) {
                connection->send(response(421, "Bilberrystile-Attempt-Id: " + id + "\r\n", ""));
                continue;
            }
            record().line("server " + m_id + " runs " + id);
            countArrival(id, std::atof(request->field("client-sent").c_str()));
            ++m_running;
            const bool whole = stream(*connection, id);
            --m_running;
            if (!whole) {
                ++m_lost;
                return;
            }
        }
    }

    /// @param sentAt when the client sent the request
    void countArrival(const std::string &id, double sentAt)
    {
        const std::lock_guard lock(m_mutex);
        ++m_arrivals;
        const double at = now();
        if (at >= m_coldUntil)
            return;
        m_sentTimes.push_back(sentAt);
        // Only what was sent and has arrived inside the last second counts.
        std::erase_if(m_sentTimes, [at](double sent) { return sent <= at - 1.0; });
        m_most = std::max(m_most.load(), m_sentTimes.size());
        record().line("cold server " + m_id + " gets " + id + ", number "
                      + std::to_string(m_sentTimes.size()) + " in one second");
        if (static_cast<double>(m_sentTimes.size()) >= crashPerS)
            m_overloaded = true;
    }

    bool stream(Connection &connection, const std::string &id)
    {
        sleepFor(0.03);
        bool sent = m_up
                    && connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                       "Bilberrystile-Attempt-Id: "
                                       + id + "\r\nBilberrystile-Response-Signature: 1.2.3." + m_id
                                       + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 10 && sent; ++i) {
            sleepFor(0.03);
            const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            sent = m_up && connection.send(size + event + "\r\n");
        }
        return sent && m_up && connection.send("0\r\n\r\n");
    }

    Store &m_store;
    std::string m_id;
    std::string m_zone;
    int m_port;
    long m_born = 0;
    std::atomic<bool> m_up = false;
    std::atomic<double> m_coldUntil = 0.0;
    std::atomic<bool> m_overloaded = false;
    std::atomic<int> m_running = 0;
    std::atomic<std::size_t> m_most = 0;
    std::atomic<std::size_t> m_arrivals = 0;
    std::atomic<std::size_t> m_lost = 0;
    std::mutex m_mutex;
    std::deque<double> m_sentTimes;
    Listener m_listener;
};

const char *config = R"({"version":7,"routes":[{"name":"notes","host":"shop.example",)"
                     R"("path_prefix":"/notes/","kind":"streaming","timeout_ms":8000,)"
                     R"("target_latency_ms":600,"priority":1,"service":"llm","max_attempts":1,)"
                     R"("public":false,"sticky":true,"resumable":false,"target_gap_ms":300}],)"
                     R"("services":[{"name":"llm","health_path":"/healthz","max_connections":370,)"
                     R"("warmup_s":3.0,"warmup_per_s":8.0}],)"
                     R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)"
                     R"("header_timeout_ms":5000,"idle_timeout_ms":20000},)"
                     R"("tenants":[{"name":"depot","api_keys":["key-depot-1"]}]})";

} // namespace

int main(int argc, char **argv)
{
    const std::string root = argc > 1 ? argv[1] : ".";
    record().open(argc > 2 ? argv[2] : "record.txt");
    const bool trouble = env("TROUBLE", "1") != "0";
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", config);
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Router>> routers;
    // One of four servers crashes: a share of 0.25.
    for (const std::string &zone : {zones[0], zones[1], zones[2], zones[1]}) {
        engines.push_back(
                std::make_unique<Engine>(store, "i-" + std::to_string(engines.size() + 1), zone));
        engines.back()->start(false);
        engines.back()->writeEntry();
    }
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
    sleepFor(4.0); // the routers have heard of each other and chosen who watches the store

    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> broken = 0;
    std::atomic<int> open = 0;
    const double begin = now();
    const double crashAt = begin + 5.0;
    const double end = crashAt + 9.0;
    std::thread traffic([&] {
        for (int i = 0; begin + i / requestsPerS < end; ++i) {
            sleepUntil(begin + i / requestsPerS);
            ++open;
            std::thread([&, i] {
                Request request;
                request.method = "POST";
                request.path = "/notes/" + std::to_string(i);
                request.key = "key-depot-1";
                request.body = "text";
                request.deadlineMs = 8000;
                request.fields = "Client-Sent: " + std::to_string(now()) + "\r\n";
                Router &router = *routers[i % routers.size()];
                record().line("client sends " + request.id + " to " + router.name());
                const Answer answer = ask(router.front, request);
                record().line("client of " + request.id + " got " + std::to_string(answer.status)
                              + (answer.whole ? "" : ", not whole"));
                ++(answer.status == 200 && answer.whole ? served
                   : answer.status == 503               ? refused
                                                        : broken);
                --open;
            }).detach();
        }
    });
    Engine &victim = *engines.front();
    sleepUntil(crashAt);
    if (trouble) {
        victim.crash("the first crash");
        sleepUntil(crashAt + outageBegin);
        record().line("the store is down");
        store.setModes(Store::Mode::Silent);
        sleepUntil(crashAt + downS);
        record().line("the server starts again under its id, cold");
        victim.start(true);
        while (now() < crashAt + outageBegin + outageS && !victim.isOverloaded())
            sleepFor(0.005);
        if (victim.isOverloaded())
            victim.crash("more than it bears while it is cold");
        sleepUntil(crashAt + outageBegin + outageS);
        record().line("the store is back");
        store.setModes(Store::Mode::Up);
        victim.writeEntry();
    }
    traffic.join();
    while (open > 0)
        sleepFor(0.01);
    std::ostringstream summary;
    summary << "most requests to the cold server in one second: " << victim.mostInOneSecond()
            << ", allowed " << allowedPerS << "; answered " << served << ", refused " << refused
            << ", broken or failed " << broken << ", arrivals";
    for (const auto &engine : engines)
        summary << ' ' << engine->arrivals();
    summary << ", streams lost in the servers' crashes " << victim.lost();
    record().line(summary.str());
    std::puts(summary.str().c_str());
    for (const auto &router : routers)
        router->kill();
    removeFolder(folder);
    if (served == 0)
        return 2;
    return static_cast<double>(victim.mostInOneSecond()) > allowedPerS ? 1 : 0;
}
