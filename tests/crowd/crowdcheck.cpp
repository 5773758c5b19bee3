#include "crowdcheck.h"

#include "support/fleet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
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
constexpr std::size_t datagramCount = 60'000;
constexpr std::size_t datagramsPerPause = 20;
constexpr auto datagramPause = std::chrono::milliseconds(1);

std::string megabytes(std::size_t bytes)
{
    return std::to_string(bytes >> 20U) + " MB";
}

/// Watches the processes while a crowd presses, and checks that they bear it.
/// @param press lets the crowd come and leave
void checkProcesses(const std::vector<WatchedProcess> &processes,
                    const std::function<void()> &press, const std::function<bool()> &isServed)
{
    std::vector<std::unique_ptr<tests::ResourceWatch>> watches;
    for (const WatchedProcess &watched : processes)
        watches.push_back(
                std::make_unique<tests::ResourceWatch>(watched.process.id(), watched.ports));
    press();
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

} // namespace

void checkCrowd(const std::vector<WatchedProcess> &processes, std::uint16_t port,
                std::vector<tests::CrowdCaller> callers, const std::function<bool()> &isServed,
                int connectionsPerCaller)
{
    const auto press = [&] {
        tests::Crowd crowd(port, std::move(callers), connectionsPerCaller);
        tests::eventually([&] { return crowd.hasSettled(); }, settleLimit);
        std::this_thread::sleep_for(stayTime);
        std::cout << crowd.openConnections() << " connections of the crowd are open\n";
        CHECK(tests::eventually(isServed, serveLimit));
    };
    checkProcesses(processes, press, isServed);
}

void checkDatagrams(const std::vector<WatchedProcess> &processes, std::uint16_t port,
                    const std::function<std::string(std::size_t)> &datagram,
                    const std::function<bool()> &isServed)
{
    const auto press = [&] {
        namespace asio = boost::asio;
        asio::io_context context;
        asio::ip::udp::socket socket(context, asio::ip::udp::v4());
        const asio::ip::udp::endpoint target(asio::ip::address_v4::loopback(), port);
        for (std::size_t i = 0; i < datagramCount; ++i) {
            socket.send_to(asio::buffer(datagram(i)), target);
            // Lets the process keep up; what it has no time for is dropped by the kernel.
            if (i % datagramsPerPause == 0)
                std::this_thread::sleep_for(datagramPause);
        }
        CHECK(tests::eventually(isServed, serveLimit));
    };
    checkProcesses(processes, press, isServed);
}

} // namespace bilberry::crowd
