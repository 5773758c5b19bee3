// One part of a prompt crashes the servers that begin to write an answer on it. Sound requests of
// the same caller and route share the other parts with such requests, and must go on.
#include "../support-3/lab.h"

using namespace lab;

namespace {

constexpr double contactS = 3.0;
constexpr double backAfterS = 3.0;   // a crashed server is back after some seconds
constexpr double clumpPeriodS = 8.0; // the caller's sound requests come in clumps
constexpr int clumpSize = 12;
constexpr double badBeginS = 4 * clumpPeriodS + 5.0; // between two clumps
constexpr double badPeriodS = 0.3;                   // until the third crash; then badLaterS
constexpr double badLaterS = 2.5;
constexpr double badForS = 20.0;   // time in which such requests come
constexpr double otherPerS = 20.0; // requests of another caller on the same route
constexpr double endS = badBeginS + badForS;

const std::string base = "5c1e07a2:3000";
const std::string document = "91bd3f06:2000";
const std::string otherBase = "e4402b7d:300";
const std::string badPart = "bad0bad0:1500";

/// One process of a model server.
class Engine
{
public:
    using Crash = std::function<void()>;

    Engine(std::string id, int port, Crash onCrash)
        : m_id(std::move(id)), m_port(port), m_onCrash(std::move(onCrash)),
          m_listener(port, [this](const ConnectionPtr &connection) { serve(connection); })
    {
        m_listener.start();
    }

    void end()
    {
        m_up = false;
        m_listener.stop();
    }
    const std::string &id() const { return m_id; }
    int port() const { return m_port; }

    static std::mutex &mutex()
    {
        static std::mutex instance;
        return instance;
    }
    /// Ids of the requests that a server has begun to run, with the times.
    static std::map<std::string, double> &begun()
    {
        static std::map<std::string, double> instance;
        return instance;
    }

private:
    void serve(const ConnectionPtr &connection)
    {
        while (m_up) {
            const auto request = connection->readMessage(now() + 10.0);
            if (!request)
                return;
            const std::string id = request->field("bilberrystile-attempt-id");
            const std::string own = "Bilberrystile-Attempt-Id: " + id + "\r\n";
            if (request->field("bilberrystile-target-instance") != m_id) {
                connection->send(response(421, own, ""));
                continue;
            }
            const bool bad = request->field("bilberrystile-prompt-prefix").find(badPart)
                             != std::string::npos;
            {
                const std::lock_guard lock(mutex());
                begun().emplace(id, now());
            }
            record().line("server " + m_id + " runs " + id + (bad ? " (bad part)" : ""));
            sleepFor(0.06);
            if (bad) {
                m_up = false;
                m_onCrash();
                while (!connection->hasEnded())
                    sleepFor(0.002);
                return;
            }
            if (!stream(*connection, own))
                return;
        }
    }

    bool stream(Connection &connection, const std::string &own)
    {
        bool sent = m_up
                    && connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                       + own + "Bilberrystile-Response-Signature: 1.2.3." + m_id
                                       + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= 24 && sent; ++i) {
            sleepFor(0.1);
            const std::string event = "id: " + std::to_string(i) + "\ndata: x\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            sent = m_up && connection.send(size + event + "\r\n");
        }
        return sent && m_up && connection.send("0\r\n\r\n");
    }

    std::string m_id;
    int m_port;
    Crash m_onCrash;
    std::atomic<bool> m_up = true;
    Listener m_listener;
};

/// The servers of the pool: each that crashes is back after some seconds as a new process with a
/// new id, and registers; the entry of the one before goes as heartbeats stay away.
class Engines
{
public:
    explicit Engines(Store &store) : m_store(store) {}
    ~Engines()
    {
        m_stopping = true;
        for (auto &thread : m_threads)
            thread.join();
        for (const auto &engine : m_engines)
            engine->end();
    }

    void add(const std::string &zone, bool cold = false)
    {
        const std::lock_guard lock(m_mutex);
        const std::string id = "i-" + newId();
        auto engine
                = std::make_shared<Engine>(id, freePort(), [this, id, zone] { crash(id, zone); });
        m_engines.push_back(engine);
        const std::string entry
                = R"({"service":"llm","address":"127.0.0.1:)" + std::to_string(engine->port())
                  + R"(","zone":")" + zone
                  + R"(","version":"v1","slots":64,"state":"ready","warmup_left_ms":)"
                  + (cold ? "3000" : "0") + R"(,"born":)"
                  + std::to_string(1790000000000 + static_cast<long>(now() * 1000.0))
                  + R"(,"sequence":)";
        m_store.put("servers", id, entry + "1}");
        record().line("server " + id + " starts in " + zone);
        if (cold)
            later(3.0, [this, id, entry] {
                std::string warm = entry;
                const std::string left = R"("warmup_left_ms":3000)";
                warm.replace(warm.find(left), left.size(), R"("warmup_left_ms":0)");
                m_store.put("servers", id, warm + "4}");
            });
    }

    std::vector<double> crashes()
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    void later(double seconds, std::function<void()> action)
    {
        m_threads.emplace_back([this, at = now() + seconds, action = std::move(action)] {
            while (now() < at && !m_stopping)
                sleepFor(0.02);
            if (!m_stopping)
                action();
        });
    }

    void crash(const std::string &id, const std::string &zone)
    {
        const std::lock_guard lock(m_mutex);
        record().line("server " + id + " crashes");
        m_crashes.push_back(now());
        for (const auto &engine : m_engines) {
            if (engine->id() == id)
                m_threads.emplace_back([engine] { engine->end(); });
        }
        later(backAfterS, [this, zone] { add(zone, true); });
        later(3.6, [this, id] { m_store.remove("servers", id); });
    }

    Store &m_store;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Engine>> m_engines;
    std::vector<double> m_crashes;
    std::list<std::thread> m_threads;
    std::atomic<bool> m_stopping = false;
};

const char *config
        = R"({"version":7,"routes":[{"name":"review","host":"shop.example","path_prefix":"/review/",)"
          R"("kind":"streaming","timeout_ms":8000,"target_latency_ms":800,"priority":1,)"
          R"("service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,)"
          R"("target_gap_ms":300}],"services":[{"name":"llm","health_path":"/healthz",)"
          R"("max_connections":370,"warmup_s":3.0,"warmup_per_s":8.0,"engine":{"slots":64,)"
          R"("kv_capacity_tokens":493853,"kv_token_bytes":163840,"link_mbps":1100000.0}}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000,"tokens_per_s":240000},)"
          R"("tenants":[{"name":"depot","api_keys":["key-depot-1"]},)"
          R"({"name":"clerk","api_keys":["key-clerk-1"]}]})";

/// A client's request that was sent, with its answer.
struct Sent
{
    std::string id;
    double at = 0.0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string root = argc > 1 ? argv[1] : ".";
    record().open(argc > 2 ? argv[2] : "record.txt");
    const bool trouble = env("TROUBLE", "1") != "0";
    const std::string folder = temporaryFolder();
    Store store;
    store.put("config", "main", config);
    auto engines = std::make_unique<Engines>(store);
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::vector<std::unique_ptr<Router>> routers;
    for (int i = 0; i < 6; ++i)
        engines->add(zones[i % zones.size()]);
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
    sleepFor(3.5);

    std::atomic<int> open = 0;
    std::mutex mutex;
    std::vector<Sent> sound;
    std::atomic<int> badSent = 0;
    std::atomic<int> sentMeanwhile = 0;
    const auto send = [&](std::size_t router, bool bad, bool other = false) {
        Request request;
        request.method = "POST";
        request.path = "/review/clause";
        request.key = other ? "key-clerk-1" : "key-depot-1";
        request.body = "text " + request.id;
        request.deadlineMs = 8000;
        request.fields = "Bilberrystile-Model: m\r\nBilberrystile-Token-Usage: 6900,120\r\n"
                         "Bilberrystile-Prompt-Prefix: "
                         + (other ? otherBase + "," : base + "," + document + ",")
                         + (bad ? badPart + "," : "") + request.id.substr(8) + ":400\r\n";
        badSent += bad ? 1 : 0;
        sentMeanwhile += badSent > 0 ? 1 : 0;
        if (!bad && !other) {
            const std::lock_guard lock(mutex);
            sound.push_back({request.id, now()});
        }
        ++open;
        std::thread([&, router, bad, request] {
            record().line("client sends " + request.id + (bad ? " (bad part)" : "") + " to "
                          + routers[router]->name());
            const Answer answer = ask(routers[router]->front, request);
            record().line("client of " + request.id + " got " + std::to_string(answer.status)
                          + (answer.whole ? ", whole" : ", not whole")
                          + (answer.retryAfter.empty() ? "" : ", Retry-After " + answer.retryAfter)
                          + (answer.status == 200 ? "" : " " + answer.body.substr(0, 90)));
            --open;
        }).detach();
    };

    const double begin = now();
    const double badBegin = begin + badBeginS;
    const double end = begin + endS;
    double nextSound = begin;
    double nextBad = trouble ? badBegin : end + 1.0;
    double nextOther = begin;
    std::size_t turn = 0;
    while (now() < end) {
        if (now() >= nextSound) {
            for (int i = 0; i < clumpSize; ++i)
                send(turn++ % routers.size(), false);
            nextSound += clumpPeriodS;
        }
        if (now() >= nextBad) {
            send(turn++ % routers.size(), true);
            nextBad += engines->crashes().size() < 3 ? badPeriodS : badLaterS;
        }
        if (now() >= nextOther) {
            send(turn++ % routers.size(), false, true);
            nextOther += 1.0 / otherPerS;
        }
        sleepFor(0.005);
    }
    while (open > 0)
        sleepFor(0.02);

    const std::vector<double> crashes = engines->crashes();
    const double counted
            = crashes.empty() ? badBegin : crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
    int before = 0;
    int beforeBegun = 0;
    int after = 0;
    int afterBegun = 0;
    for (const Sent &request : sound) {
        const bool hasBegun = Engine::begun().contains(request.id);
        if (request.at < badBegin) {
            ++before;
            beforeBegun += hasBegun ? 1 : 0;
        } else if (request.at >= counted + 2 * contactS) {
            ++after;
            afterBegun += hasBegun ? 1 : 0;
        }
    }
    std::ostringstream summary;
    summary << "servers crashed " << crashes.size() << " times; sound requests before: " << before
            << ", begun " << beforeBegun << "; from 2 x contact_ms after the "
            << std::min<std::size_t>(crashes.size(), 5) << ". crash: " << after << ", begun "
            << afterBegun << "; requests with the part: " << badSent << " of " << sentMeanwhile
            << " sent in that time";
    record().line(summary.str());
    std::puts(summary.str().c_str());
    for (const auto &router : routers)
        router->kill();
    removeFolder(folder);
    engines.reset();
    if (before < 20 || after < 20 || beforeBegun < before * 9 / 10)
        return 2;
    return afterBegun * before < beforeBegun * after / 2.0 ? 1 : 0;
}
