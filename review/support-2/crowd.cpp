// Case 7: many callers send bodies of legal size at once, piece by piece, and stop just short of
// their end.

#include "standins.h"

using namespace review;

namespace {

constexpr double machineMemoryMb = 260;      // of an edge machine, by the sheet
constexpr std::size_t bodyBytes = 4'000'000; // the configuration allows 4,194,304
constexpr std::size_t missingBytes = 1000;
constexpr int crowdPerRouter = 80;
constexpr long callersDeadlineMs = 10000;
constexpr int endsForFault = 3;
constexpr int machinesForFault = 2;
constexpr long restartDelayMs = 500;
constexpr long dayMs = 60000;

struct Machine
{
    std::unique_ptr<Router> router;
    std::atomic<int> ends = 0;
    std::atomic<double> peakMb = 0.0;
    std::thread platform;
    std::thread crowd;
    std::thread ordinary;
    std::atomic<int> served = 0;
    std::atomic<int> unanswered = 0;
};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"note","host":"shop.example","path_prefix":"/note/","service":"notes",)"
           R"("kind":"idempotent","max_attempts":2,"timeout_ms":10000,"target_latency_ms":400,"priority":1,)"
           R"("public":true}],"services":[{"name":"notes","health_path":"/healthz","slots":64,"max_connections":370}],)"
           R"("tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000,"tokens_per_s":100000}})";
}

void serveNotes(int socket, const std::atomic<bool> &stop)
{
    std::string buffer;
    Head head;
    while (readHead(socket, buffer, head, 15000, &stop)) {
        const std::string attempt = head.field("bilberrystile-attempt-id");
        const std::size_t size = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
        if (!readBody(socket, buffer, size, 5000))
            return;
        buffer.erase(0, size);
        sendAll(socket, "HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: " + attempt
                                + "\r\nBilberrystile-Response-Signature: s." + attempt
                                + "\r\nContent-Length: 4\r\n\r\nnote");
    }
}

std::string requestHead(const std::string &id, std::size_t size)
{
    return "POST /note/2f HTTP/1.1\r\nHost: shop.example\r\nBilberrystile-Attempt-Id: " + id
           + "\r\nBilberrystile-Deadline-Remaining: " + std::to_string(callersDeadlineMs)
           + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

/// The platform: kills a process that exceeds the machine's memory, and starts it again.
void superviseMemory(Machine &machine, const std::atomic<bool> &stop, Record &record)
{
    while (!stop) {
        const double mb = machine.router->memoryMb();
        machine.peakMb = std::max(machine.peakMb.load(), mb);
        if (mb > machineMemoryMb) {
            machine.router->kill();
            record.line("END      " + machine.router->name() + ": its process holds "
                        + std::to_string(static_cast<int>(mb)) + " MB, the machine has 260 MB; end "
                        + std::to_string(++machine.ends));
            sleepFor(restartDelayMs);
            machine.router->start();
            machine.router->waitUntilReady();
        }
        sleepFor(10);
    }
}

/// Sends bodies of legal size at once and stops just short of their end; the connections stay open.
void pressWithBodies(Machine &machine, const std::atomic<bool> &stop, Record &record)
{
    static const std::string body(bodyBytes - missingBytes, 'b');
    while (!stop) {
        if (!machine.router->isReady()) {
            sleepFor(100);
            continue;
        }
        record.line("sent     " + std::to_string(crowdPerRouter) + " bodies of "
                    + std::to_string(bodyBytes) + " bytes to " + machine.router->name()
                    + ", each without its last " + std::to_string(missingBytes) + " bytes");
        std::vector<std::thread> callers;
        for (int i = 0; i < crowdPerRouter; ++i) {
            callers.emplace_back([&, i] {
                const int socket = connectTo(machine.router->front());
                if (socket < 0)
                    return;
                const timeval limit{2, 0};
                ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
                if (sendAll(socket, requestHead("crowd" + std::to_string(i), bodyBytes)))
                    sendAll(socket, body);
                // Stays open for as long as the caller waits for its answer.
                std::string rest;
                const TimePoint until = Clock::now() + Ms(callersDeadlineMs);
                while (!stop && Clock::now() < until) {
                    const long size = readSome(socket, rest, 200);
                    if (size == 0 || size == -1)
                        break;
                }
                ::close(socket);
            });
        }
        for (std::thread &caller : callers)
            caller.join();
    }
}

void callOrdinarily(Machine &machine, const std::atomic<bool> &stop, Record &record)
{
    for (int i = 0; !stop; ++i) {
        const std::string id = machine.router->name() + "-" + std::to_string(i);
        // One in twenty has a body of legal size, sent to its end.
        const std::string body(i % 20 == 0 ? bodyBytes : 1500, 'b');
        const std::string head = requestHead(id, body.size());
        const Answer answer = call(machine.router->front(),
                                   head.substr(0, head.find("Content-Length")), body, 10000);
        if (answer.status == 200)
            ++machine.served;
        else if (answer.status == 0) {
            ++machine.unanswered;
            record.line("cut      " + id + ": " + answer.end);
        }
        sleepFor(50);
    }
}

bool run(const std::string &file)
{
    Record record(file);
    TemporaryFolder folder;
    Store store;
    const std::atomic<bool> never = false;
    Listener server(0, [&](int socket) { serveNotes(socket, never); });
    store.put("servers", "i-note", serverSpec("notes", "celje-a", server.port(), 64, unixMs()));
    store.put("config", "main", configuration());
    std::vector<std::unique_ptr<Machine>> machines;
    for (const std::string name : {"edge-celje-a-1", "edge-celje-a-2"}) {
        machines.push_back(std::make_unique<Machine>());
        machines.back()->router
                = std::make_unique<Router>(name, "celje-a", store.port(), folder.path());
        machines.back()->router->start();
    }
    for (auto &machine : machines) {
        if (!machine->router->waitUntilReady())
            throw CannotRun("a router is not ready");
    }
    std::atomic<bool> stop = false;
    for (auto &machine : machines) {
        machine->platform = std::thread([&] { superviseMemory(*machine, stop, record); });
        machine->ordinary = std::thread([&] { callOrdinarily(*machine, stop, record); });
        if (hasTrouble())
            machine->crowd = std::thread([&] { pressWithBodies(*machine, stop, record); });
    }
    const auto isFault = [&] {
        int faulty = 0;
        for (auto &machine : machines)
            faulty += machine->ends >= endsForFault ? 1 : 0;
        return faulty >= machinesForFault;
    };
    const TimePoint until = Clock::now() + Ms(dayMs);
    while (Clock::now() < until && !isFault())
        sleepFor(100);
    const bool broken = isFault();
    stop = true;
    int served = 0;
    for (auto &machine : machines) {
        machine->platform.join();
        machine->ordinary.join();
        if (machine->crowd.joinable())
            machine->crowd.join();
        served += machine->served;
        record.line(machine->router->name() + ": process ended " + std::to_string(machine->ends)
                    + " times, peak " + std::to_string(static_cast<int>(machine->peakMb))
                    + " MB, ordinary requests answered 200: " + std::to_string(machine->served)
                    + ", without an answer: " + std::to_string(machine->unanswered));
        machine->router->terminate();
    }
    server.stop();
    store.stop();
    if (served == 0)
        throw CannotRun("no ordinary request was served");
    return broken;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? runCase([&] { return run(argv[1]); }) : 2;
}
