// Case 9: the routers that should write down what crashes servers have been removed for good.

#include "standins.h"

using namespace review;

namespace {

constexpr long contactMs = 3000;
constexpr long serverDownMs = 3000;
constexpr int serverCount = 9;
// A part of a prompt that crashes servers. Its record is due to be written by edge-celje-a-2 and
// edge-zalec-b-2.
const std::string crashingPart = "5c200ddf";

Record *record = nullptr;
Store *store = nullptr;
std::mutex arrivalsMutex;
std::map<std::string, TimePoint> arrivals; ///< of crashing requests
std::vector<TimePoint> crashes;

/// A model server: answers sound requests with a short stream, and crashes when it begins to write
/// an answer to a request with the crashing part. The platform starts it again some seconds later,
/// with a new id.
class Engine
{
public:
    Engine(int number, std::string zone)
        : m_number(number), m_zone(std::move(zone)), m_thread([this] { live(); })
    {
    }

    void stop()
    {
        m_stop = true;
        m_thread.join();
    }

private:
    void live()
    {
        while (!m_stop) {
            m_crashed = false;
            const std::string id
                    = "i-engine" + std::to_string(m_number) + "-" + std::to_string(++m_run);
            Listener listener(0, [this, id](int socket) { serve(socket, id); });
            store->put("servers", id, serverSpec("pool", m_zone, listener.port(), 64, unixMs()));
            while (!m_stop && !m_crashed)
                sleepFor(2);
            listener.stop();
            if (m_stop)
                return;
            record->line("crash    of " + id);
            {
                const std::lock_guard lock(arrivalsMutex);
                crashes.push_back(Clock::now());
            }
            // The entry of a crashed server expires after three heartbeat intervals.
            const TimePoint restartAt = Clock::now() + Ms(serverDownMs);
            while (!m_stop && Clock::now() < restartAt)
                sleepFor(20);
            store->remove("servers", id);
        }
    }

    void serve(int socket, const std::string &id)
    {
        std::string buffer;
        Head head;
        while (readHead(socket, buffer, head, 15000, &m_crashed)) {
            const std::string attempt = head.field("bilberrystile-attempt-id");
            const std::size_t size
                    = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
            if (!readBody(socket, buffer, size, 5000))
                return;
            buffer.erase(0, size);
            const bool crashing = head.field("bilberrystile-prompt-prefix").find(crashingPart)
                                  != std::string::npos;
            if (crashing) {
                {
                    const std::lock_guard lock(arrivalsMutex);
                    arrivals[attempt] = Clock::now();
                }
                record->line("reached  " + attempt + " (crashing part) at " + id);
            }
            sleepFor(40);
            if (crashing) {
                m_crashed = true;
                return;
            }
            const std::string event = "id: 1\ndata: note\n\n";
            if (!sendAll(socket, "HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: " + attempt
                                         + "\r\nBilberrystile-Response-Signature: s." + attempt
                                         + "\r\nContent-Type: text/event-stream\r\nContent-Length: "
                                         + std::to_string(event.size()) + "\r\n\r\n" + event))
                return;
        }
    }

    int m_number;
    std::string m_zone;
    int m_run = 0;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_crashed = false;
    std::thread m_thread;
};

struct Machine
{
    std::unique_ptr<Router> router;
    TimePoint startedAt;
};

Answer ask(Router &router, const std::string &id, const std::string &parts)
{
    return call(router.front(),
                "POST /note/2f HTTP/1.1\r\nHost: shop.example\r\nBilberrystile-Attempt-Id: " + id
                        + "\r\nBilberrystile-Deadline-Remaining: 5000\r\nBilberrystile-Model: m\r\n"
                          "Bilberrystile-Token-Usage: 1460,80\r\nBilberrystile-Prompt-Prefix: "
                        + parts + "\r\n",
                "body of " + id, 5500);
}

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"note","host":"shop.example","path_prefix":"/note/","service":"pool",)"
           R"("kind":"streaming","resumable":false,"sticky":true,"max_attempts":1,"timeout_ms":5000,)"
           R"("target_latency_ms":600,"target_gap_ms":300,"priority":1,"public":true}],"services":[{"name":"pool",)"
           R"("health_path":"/healthz","max_connections":370,"warmup_s":0.0,"warmup_per_s":0.0,)"
           R"("engine":{"slots":64,"kv_capacity_tokens":493853,"kv_token_bytes":163840}}],"tenants":[],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000,"tokens_per_s":240000}})";
}

bool run(const std::string &file)
{
    Record ownRecord(file);
    record = &ownRecord;
    TemporaryFolder folder;
    Store ownStore;
    store = &ownStore;
    store->put("config", "main", configuration());
    const std::vector<std::string> zones{"celje-a", "zalec-b", "velenje-c"};
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < serverCount; ++i)
        engines.push_back(std::make_unique<Engine>(i, zones[i % 3]));
    std::vector<Machine> machines;
    const auto add = [&](const std::string &name, const std::string &zone) {
        machines.push_back(
                {std::make_unique<Router>(name, zone, store->port(), folder.path()), Clock::now()});
        machines.back().router->start();
    };
    add("edge-celje-a-1", "celje-a");
    add("edge-celje-a-2", "celje-a");
    add("edge-zalec-b-1", "zalec-b");
    add("edge-zalec-b-2", "zalec-b");
    add("edge-velenje-c-1", "velenje-c");
    const auto waitForAll = [&] {
        for (Machine &machine : machines) {
            if (!machine.router->waitUntilReady())
                throw CannotRun("a router is not ready");
        }
    };
    waitForAll();
    sleepFor(3000);
    if (hasTrouble()) {
        // Two machines are lost for good, without SIGTERM; two others come in their place, at new
        // addresses.
        for (const std::string name : {"edge-celje-a-2", "edge-zalec-b-2"}) {
            std::erase_if(machines,
                          [&](Machine &machine) { return machine.router->name() == name; });
            record->line("lost     for good: " + name);
        }
        add("edge-celje-a-3", "celje-a");
        add("edge-zalec-b-3", "zalec-b");
        waitForAll();
    }
    sleepFor(6000);

    std::mutex mutex;
    std::map<std::string, std::pair<TimePoint, bool>>
            inTouch; ///< of each crashing request, when it was sent
    std::vector<std::thread> threads;
    int number = 0;
    int soundSent = 0;
    std::atomic<int> soundServed = 0;
    const auto sendCrashing = [&](Machine &machine, const std::string &firstPart) {
        const std::string id = "bad" + std::to_string(1000 + ++number);
        const bool touch = Clock::now() - machine.startedAt > Ms(contactMs);
        {
            const std::lock_guard lock(mutex);
            inTouch[id] = {Clock::now(), touch};
        }
        record->line("sent     " + id + " (crashing part) to " + machine.router->name()
                     + (touch ? "" : ", not in touch"));
        threads.emplace_back([&machine, id, firstPart] {
            char own[32];
            std::snprintf(own, sizeof own, "e44%s", id.c_str() + 3);
            const Answer answer = ask(*machine.router, id,
                                      firstPart + ":800," + crashingPart + ":300," + own + ":250");
            record->line("answered " + id + ": " + std::to_string(answer.status) + " (" + answer.end
                         + ")");
        });
    };
    const auto sendSound = [&](Machine &machine) {
        const std::string id = "sound" + std::to_string(1000 + ++soundSent);
        threads.emplace_back([&machine, id, &soundServed] {
            char own[32];
            std::snprintf(own, sizeof own, "f55%s", id.c_str() + 5);
            soundServed += ask(*machine.router, id,
                               std::string("5c1e07a2:800,91bd3f06:410,") + own + ":250")
                                   .status
                           == 200;
        });
    };
    const auto herdKill = [&] {
        for (Machine &machine : machines)
            machine.router->kill();
        record->line("herd_kill: all routers are killed");
        sleepFor(1000);
        for (Machine &machine : machines) {
            machine.startedAt = Clock::now();
            machine.router->start();
        }
        record->line("all routers are started again");
    };

    const TimePoint begin = Clock::now();
    const auto elapsed
            = [&] { return std::chrono::duration_cast<Ms>(Clock::now() - begin).count(); };
    // At first five at once, with beginnings that lie at different servers.
    for (std::size_t i = 0; i < machines.size(); ++i)
        sendCrashing(machines[i], "5c1e07b" + std::to_string(i));
    long nextCrashing = 600;
    int rounds = 0;
    int kills = 0;
    while (elapsed() < 68000) {
        if (elapsed() >= nextCrashing) {
            sendCrashing(machines[static_cast<std::size_t>(++rounds) % machines.size()],
                         "5c1e07a2");
            nextCrashing += nextCrashing < 4800 ? 600 : 4000;
        }
        if (kills < 2 && elapsed() >= 14000 + kills * 27000) {
            herdKill();
            ++kills;
        }
        sendSound(machines[static_cast<std::size_t>(soundSent) % machines.size()]);
        sleepFor(50);
    }
    for (std::thread &thread : threads)
        thread.join();
    for (Machine &machine : machines)
        machine.router->terminate();
    for (auto &engine : engines)
        engine->stop();
    const auto records = store->objects("crash-suspects");
    store->stop();

    std::sort(crashes.begin(), crashes.end());
    if (crashes.size() < 5 || soundServed == 0)
        throw CannotRun("fewer than five crashes, or no sound request was served");
    int late = 0;
    for (const auto &[id, at] : arrivals) {
        const auto &[sentAt, touch] = inTouch.at(id);
        if (touch && sentAt > crashes[4] + Ms(contactMs)) {
            ++late;
            record->line("BUDGET   " + id
                         + " has reached a server, sent by a machine in touch more than 3 s after "
                           "the fifth crash");
        }
    }
    record->line("crashing requests sent " + std::to_string(number) + ", crashes "
                 + std::to_string(crashes.size()) + ", fifth crash at "
                 + std::to_string(sinceStart(crashes[4])) + " ms, reached servers later: "
                 + std::to_string(late) + " (3 are allowed); records in the store: "
                 + std::to_string(records.size()) + "; sound requests served "
                 + std::to_string(soundServed) + " of " + std::to_string(soundSent));
    return late > 3;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? runCase([&] { return run(argv[1]); }) : 2;
}
