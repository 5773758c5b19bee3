#include "crowdcheck.h"

#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <thread>

namespace bilberry::crowd {

namespace {

constexpr auto settleLimit = std::chrono::seconds(20);
/// Time for which the crowd stays after it has sent everything.
constexpr auto stayTime = std::chrono::seconds(1);
constexpr auto serveLimit = std::chrono::seconds(10);
constexpr auto releaseLimit = std::chrono::seconds(10);

std::string megabytes(std::size_t bytes)
{
    return std::to_string(bytes >> 20U) + " MB";
}

} // namespace

void checkCrowd(const std::vector<WatchedProcess> &processes, std::uint16_t port,
                std::vector<tests::CrowdCaller> callers, const std::function<bool()> &isServed)
{
    std::vector<std::unique_ptr<tests::ResourceWatch>> watches;
    for (const WatchedProcess &watched : processes)
        watches.push_back(
                std::make_unique<tests::ResourceWatch>(watched.process.id(), watched.ports));
    {
        tests::Crowd crowd(port, std::move(callers));
        tests::eventually([&] { return crowd.hasSettled(); }, settleLimit);
        std::this_thread::sleep_for(stayTime);
        std::cout << crowd.openConnections() << " connections of the crowd are open\n";
        CHECK(tests::eventually(isServed, serveLimit));
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
        tests::Process &process = processes[i].process;
        const tests::ResourceWatch &watch = *watches[i];
        INFO(processes[i].name);
        CHECK(process.running());
        CHECK(watch.peakBytes() < vmBytes);
        CHECK(watch.peakDescriptors() < vmDescriptors - reservedDescriptors);
        CHECK(tests::eventually([&] { return watch.bytes() < bytesAfterwards; }, releaseLimit));
        std::cout << processes[i].name << ": peak " << megabytes(watch.peakBytes()) << " and "
                  << watch.peakDescriptors() << " descriptors, afterwards "
                  << megabytes(watch.bytes()) << std::endl;
    }
    CHECK(tests::eventually(isServed, serveLimit));
}

} // namespace bilberry::crowd
