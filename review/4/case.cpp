// A client sends a booking on a kept connection behind a read that is not answered yet, waits for
// both answers, and then sends one more read. Counts how often each booking has run.

#include "../support/standins.h"

#include <iostream>

using namespace bilberry::review;

namespace {

constexpr int rounds = 10;
constexpr auto answerLimit = 4s;

struct Sent
{
    std::string id;
    std::string text;
};

Sent read(const std::string &query)
{
    const std::string id = newRequestId();
    return {id, requestText("GET", readPath + query, id, apiKey, 2500)};
}

Sent booking()
{
    const std::string id = newRequestId();
    return {id, requestText("POST", bookingPath, id, apiKey, 2500, "pallets=2")};
}

} // namespace

int main(int, char **arguments)
{
    Fleet fleet(arguments[1]);
    std::vector<std::unique_ptr<Server>> servers;
    for (const char *zone : {"adum", "suame", "bantama"}) {
        servers.push_back(std::make_unique<Server>(std::string("i-") + zone, "wuno96b", zone,
                                                   fleet.runs, fleet.record,
                                                   [](Socket &, const Message &) {
                                                       std::this_thread::sleep_for(25ms);
                                                       return false;
                                                   }));
        fleet.store.put("servers", servers.back()->id(), servers.back()->entry("ready"));
    }
    fleet.startRouters(2);
    if (!fleet.awaitReady())
        return NotRun;
    int twice = 0;
    int mixed = 0;
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        Socket socket = Socket::connect(fleet.routers[round % 2]->front());
        MessageReader reader(socket);
        const auto send = [&](const Sent &request) {
            fleet.record.line("client sends " + request.id + ": "
                              + request.text.substr(0, request.text.find('\r')));
            socket.send(request.text);
        };
        const auto receive = [&](const Sent &request) {
            const auto answer = reader.read(answerLimit);
            const std::string id = answer ? answer->field("Bilberrystile-Attempt-Id") : "";
            fleet.record.line(answer ? "client gets " + std::to_string(answer->status())
                                               + " for request " + id
                                     : "client gets no answer to " + request.id);
            answered += answer ? 1 : 0;
            mixed += answer && answer->status() == 200 && id != request.id ? 1 : 0;
        };
        const Sent first = read("");
        const Sent order = booking();
        const Sent last = read("?depot=celje&article=oat-drink&pallets=all");
        send(first);
        if (!hasTrouble())
            receive(first);
        else
            std::this_thread::sleep_for(5ms);
        send(order);
        if (hasTrouble())
            receive(first);
        receive(order);
        send(last);
        receive(last);
        const std::size_t runs = fleet.runs.count(order.id);
        fleet.record.line("booking " + order.id + " has run " + std::to_string(runs) + " times");
        twice += runs > 1 ? 1 : 0;
    }
    for (const auto &server : servers)
        server->stop();
    std::cout << twice << " of " << rounds << " bookings ran more than once; " << mixed << " of "
              << answered << " answers belong to another request\n"
              << (twice > 0 ? "TWICE: broken" : "TWICE: held") << std::endl;
    fleet.record.line(twice > 0 ? "TWICE: broken" : "TWICE: held");
    return twice > 0 ? RuleBroken : RuleHeld;
}
