// Case 6: a server works on a booking whose long body it has not read to the end, and its answer is
// lost.

#include "standins.h"

using namespace review;

namespace {

constexpr std::size_t bodyBytes = 1'000'000; // the sheet's configuration allows 4,194,304
constexpr std::size_t firstRead = 16U << 10U;
constexpr int bookings = 40;
constexpr long bookingPeriodMs = 250;
constexpr long workMs = 30; // of a booking, by the sheet
// Answers get lost for as long as on the sheet's day trouble-1.
constexpr long lossBeginMs = 3000;
constexpr long lossMs = 4000;
std::atomic<bool> answersGetLost = false;

std::mutex countMutex;
std::map<std::string, std::vector<std::string>> runsById;
std::map<std::string, int> seenByServer;

/// One server of the order service. It begins to work on a booking when it has the head and the
/// first part of the body, answers when it has done the work, and reads the rest of the body later.
void serveOrders(int socket, const std::string &id, bool losesAnswers,
                 const std::atomic<bool> &stop, Record &record)
{
    std::string buffer;
    Head head;
    while (readHead(socket, buffer, head, 15000, &stop)) {
        const std::string attempt = head.field("bilberrystile-attempt-id");
        const std::size_t size = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
        if (!readBody(socket, buffer, std::min(size, firstRead), 5000))
            return;
        if (head.field("bilberrystile-target-instance") != id) {
            sendAll(socket, "HTTP/1.1 421 x\r\nBilberrystile-Attempt-Id: " + attempt
                                    + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int number = 0;
        {
            const std::lock_guard lock(countMutex);
            runsById[attempt].push_back(id);
            number = ++seenByServer[id];
        }
        record.line("run      " + attempt + " at " + id + ", body " + std::to_string(size)
                    + " bytes");
        sleepFor(workMs);
        // One of the three servers loses the answer of each third request that it ran.
        if (losesAnswers && answersGetLost && number % 3 == 0) {
            record.line("lost     the answer to " + attempt + " at " + id
                        + ": the server closes the connection");
            ::shutdown(socket, SHUT_WR);
            // Closes in stages, as servers do: the rest of the body is read and dropped.
            readBody(socket, buffer, size, 1000);
            return;
        }
        sendAll(socket, "HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: " + attempt
                                + "\r\nBilberrystile-Response-Signature: s." + attempt
                                + "\r\nContent-Length: 6\r\n\r\nbooked");
        if (!readBody(socket, buffer, size, 5000))
            return;
        buffer.erase(0, size);
    }
}

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"booking","host":"shop.example","path_prefix":"/booking/",)"
           R"("service":"orders","kind":"non_idempotent","max_attempts":1,"timeout_ms":1200,"target_latency_ms":150,)"
           R"("priority":2,"public":true}],"services":[{"name":"orders","health_path":"/healthz","slots":6,)"
           R"("max_connections":110}],"tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":100000}})";
}

bool run(const std::string &file)
{
    Record record(file);
    TemporaryFolder folder;
    Store store;
    std::vector<std::unique_ptr<Listener>> servers;
    const std::atomic<bool> never = false;
    const std::vector<std::string> zones{"celje-a", "zalec-b", "velenje-c"};
    for (int i = 0; i < 3; ++i) {
        const std::string id = "i-order" + std::to_string(i);
        const bool loses = hasTrouble() && i == 0;
        servers.push_back(std::make_unique<Listener>(
                0,
                [id, loses, &record, &never](int socket) {
                    serveOrders(socket, id, loses, never, record);
                },
                true));
        store.put("servers", id,
                  serverSpec("orders", zones[i], servers.back()->port(), 6, unixMs()));
    }
    store.put("config", "main", configuration());
    Router router("edge-celje-a-1", "celje-a", store.port(), folder.path());
    router.start();
    if (!router.waitUntilReady())
        throw CannotRun("the router is not ready");
    sleepFor(3500);

    const std::string body(bodyBytes, 'b');
    std::map<std::string, Answer> answers;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int i = 0; i < bookings; ++i) {
        clients.emplace_back([&, i] {
            const std::string id = "booking" + std::to_string(1000 + i);
            record.line("sent     " + id);
            const Answer answer = call(
                    router.front(),
                    "POST /booking/2f HTTP/1.1\r\nHost: shop.example\r\nBilberrystile-Attempt-Id: "
                            + id + "\r\nBilberrystile-Deadline-Remaining: 2500\r\n",
                    body, 4000);
            record.line("answered " + id + " " + std::to_string(answer.status) + " (" + answer.end
                        + ")");
            const std::lock_guard lock(mutex);
            answers[id] = answer;
        });
        sleepFor(bookingPeriodMs);
        const long elapsed = (i + 1) * bookingPeriodMs;
        answersGetLost = elapsed >= lossBeginMs && elapsed < lossBeginMs + lossMs;
    }
    for (std::thread &client : clients)
        client.join();
    sleepFor(500);
    if (router.pid() > 0)
        router.terminate();
    for (auto &server : servers)
        server->stop();
    store.stop();

    int twice = 0;
    int refusedAndRun = 0;
    int good = 0;
    for (const auto &[id, answer] : answers) {
        const auto &runs = runsById[id];
        good += answer.status == 200 ? 1 : 0;
        const bool promise = answer.status == 429 || answer.status == 503 || answer.status == 408
                             || answer.status == 421;
        if (runs.size() > 1) {
            ++twice;
            record.line("TWICE    " + id + " ran " + std::to_string(runs.size())
                        + " times, answered " + std::to_string(answer.status));
        }
        if (promise && !runs.empty()) {
            ++refusedAndRun;
            record.line("REFUSED  " + id + " has run, answered " + std::to_string(answer.status));
        }
    }
    record.line("bookings " + std::to_string(answers.size()) + ", answered 200: "
                + std::to_string(good) + ", run twice: " + std::to_string(twice)
                + ", refused and run: " + std::to_string(refusedAndRun));
    if (good == 0)
        throw CannotRun("no booking was served");
    return twice + refusedAndRun > 0;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? runCase([&] { return run(argv[1]); }) : 2;
}
