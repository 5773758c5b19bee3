// A faulty server spoils some of its answers: the head promises a body of 9 PB, and the connection
// ends early. Counts how often the router processes end by themselves.

#include "../support/standins.h"

#include <iostream>

using namespace bilberry::review;

namespace {

constexpr int routerCount = 4;
/// Dose of the disruption: at one server of three, one in 34 answers, for 5 s, three times.
constexpr int spoiledOneIn = 34;
constexpr auto troubleTime = 5s;
constexpr auto pauseTime = 2s;
constexpr int troubleCount = 3;
/// Ends of its process with which a machine counts for the rule, and how many such machines it
/// takes.
constexpr int endsPerMachine = 3;
constexpr int machineLimit = 2;

std::atomic<bool> spoils = false;
std::atomic<int> answers = 0;
std::atomic<int> spoiled = 0;

bool spoilAnswer(Socket &socket, const Message &request)
{
    if (!spoils || ++answers % spoiledOneIn != 0)
        return false;
    ++spoiled;
    socket.send("HTTP/1.1 200 OK\r\nBilberrystile-Attempt-Id: "
                + request.field("Bilberrystile-Attempt-Id")
                + "\r\nBilberrystile-Response-Signature: sig\r\n"
                  "Content-Length: 9000000000000000\r\n\r\nansw");
    return true;
}

} // namespace

int main(int, char **arguments)
{
    Fleet fleet(arguments[1]);
    Server faulty("i-adum", "wuno96b", "adum", fleet.runs, fleet.record, spoilAnswer);
    Server second("i-suame", "wuno96b", "suame", fleet.runs, fleet.record);
    Server third("i-bantama", "wuno96b", "bantama", fleet.runs, fleet.record);
    for (const Server *server : {&faulty, &second, &third})
        fleet.store.put("servers", server->id(), server->entry("ready"));
    fleet.startRouters(routerCount);
    if (!fleet.awaitReady())
        return NotRun;

    Traffic traffic(fleet, 2, 20ms, true);
    const TimePoint begin = Clock::now();
    std::this_thread::sleep_for(1s);
    for (int i = 0; i < troubleCount; ++i) {
        spoils = hasTrouble();
        fleet.record.line(hasTrouble() ? "trouble: i-adum spoils answers" : "no trouble");
        std::this_thread::sleep_for(troubleTime);
        spoils = false;
        fleet.record.line("trouble ends");
        std::this_thread::sleep_for(pauseTime);
    }
    traffic.stop();
    int machines = 0;
    for (const auto &router : fleet.routers) {
        machines += router->ends() >= endsPerMachine ? 1 : 0;
        std::cout << router->name() << ": ended by itself " << router->ends() << " times\n";
    }
    const Traffic::Counts counts = traffic.countSince(begin);
    std::cout << spoiled << " answers spoiled; of " << counts.sent << " requests, "
              << counts.unanswered << " ended with their connection, without an answer\n";
    for (Server *server : {&faulty, &second, &third})
        server->stop();
    const bool broken = machines >= machineLimit;
    std::cout << (broken ? "Fault: broken" : "Fault: held") << std::endl;
    fleet.record.line(broken ? "Fault: broken" : "Fault: held");
    return broken ? RuleBroken : RuleHeld;
}
