#include "faultinjector.h"

#include "crowd/crowdforms.h"
#include "support/resourcewatch.h"

#include <csignal>
#include <cstdio>
#include <thread>

namespace bilberry::soak {

using namespace std::chrono_literals;

namespace {

/// Mean number of faults for each crowd.
constexpr std::size_t faultsPerCrowd = 6;
/// The platform kills a process that still runs this long after SIGTERM.
constexpr auto graceTime = 8s;

} // namespace

void FaultInjector::run(Duration length)
{
    const TimePoint end = Clock::now() + length;
    while (Clock::now() < end) {
        injectFault();
        if (m_crowdRandom() % faultsPerCrowd == 0)
            sendCrowd();
        wait(std::chrono::milliseconds(100 + static_cast<int>(500 * randomFraction())));
    }
    while (!m_scheduledEnds.empty())
        wait(50ms);
}

void FaultInjector::wait(Duration length)
{
    const TimePoint until = Clock::now() + length;
    while (Clock::now() < until) {
        while (!m_scheduledEnds.empty() && m_scheduledEnds.top().at <= Clock::now()) {
            const auto end = m_scheduledEnds.top().end;
            m_scheduledEnds.pop();
            end();
        }
        std::this_thread::sleep_for(10ms);
    }
}

void FaultInjector::schedule(Duration after, std::function<void()> end)
{
    m_scheduledEnds.push({Clock::now() + after, std::move(end)});
}

void FaultInjector::injectFault()
{
    const auto length = std::chrono::milliseconds(300 + static_cast<int>(2200 * randomFraction()));
    switch (static_cast<int>(randomFraction() * 12.0)) {
    case 0:
    case 1:
        return disturbServerPath(length);
    case 2:
        return failAnswers(length);
    case 3:
        return disturbStorePath(length);
    case 4:
        return disturbStore(length);
    case 5:
        return pauseRouter(length);
    case 6:
        return killRouter();
    case 7:
        return stopRouter();
    case 8:
        return reloadRouter();
    case 9:
        return withdrawKey();
    case 10:
        return takeZoneOut();
    default:
        return replaceServer();
    }
}

void FaultInjector::sendCrowd()
{
    const std::size_t router = m_crowdRandom() % m_fleet.routers().size();
    const crowd::BodyFraming framing
            = m_crowdRandom() % 2 == 0 ? crowd::withLength : crowd::smallChunks;
    const auto length = std::chrono::milliseconds(500 + m_crowdRandom() % 2000);
    logFault("crowd at r" + std::to_string(router) + ", chunks of "
                     + std::to_string(framing.chunkBytes),
             length);
    constexpr std::size_t allOfTen = 10;
    auto callers = std::make_shared<tests::Crowd>(
            m_fleet.routers()[router]->port(),
            crowd::bodyCrowd("POST /read/x HTTP/1.1\r\nHost: h.example\r\n", framing, allOfTen));
    schedule(length, [this, router, callers]() mutable {
        callers.reset();
        const std::size_t peak
                = tests::peakResidentBytes(m_fleet.routers()[router]->process().id());
        if (peak > crowd::vmBytes)
            m_checker.addViolation("r" + std::to_string(router) + " has held "
                                   + std::to_string(peak) + " bytes");
    });
}

void FaultInjector::reloadRouter()
{
    const std::size_t router = pick(3);
    if (m_faultyRouters.contains(router))
        return;
    logFault("reload of r" + std::to_string(router), {});
    m_fleet.routers()[router]->process().signal(SIGHUP);
}

void FaultInjector::disturbServerPath(Duration length)
{
    SoakServer &server = *m_fleet.servers()[pick(4)];
    tests::ProxyFaults &path = server.path();
    std::atomic<bool> *const kinds[]
            = {&path.cut, &path.mute, &path.muteToClient, &path.muteToServer};
    const std::size_t kind = pick(5);
    logFault("path of " + server.name() + ", kind " + std::to_string(kind), length);
    if (kind == 4) {
        path.delayMs = 80;
        schedule(length, [&path] { path.delayMs = 0; });
        return;
    }
    *kinds[kind] = true;
    schedule(length, [fault = kinds[kind]] { *fault = false; });
}

void FaultInjector::failAnswers(Duration length)
{
    SoakServer &server = *m_fleet.servers()[pick(4)];
    logFault("answers of " + server.name() + " are faulty", length);
    server.setFaultShare(0.4);
    schedule(length, [&server] { server.setFaultShare(0.0); });
}

void FaultInjector::disturbStorePath(Duration length)
{
    const std::size_t router = pick(3);
    if (!markFaulty(router))
        return;
    tests::ProxyFaults &path = m_fleet.routers()[router]->storePath();
    std::atomic<bool> &fault = pick(2) ? path.cut : path.mute;
    logFault("store path of r" + std::to_string(router), length);
    fault = true;
    schedule(length, [this, router, &fault] {
        fault = false;
        clearFaulty(router);
    });
}

void FaultInjector::disturbStore(Duration length)
{
    if (m_storeDisturbed)
        return;
    const std::size_t kind = pick(5);
    logFault("store, kind " + std::to_string(kind), length);
    if (kind == 4) {
        restoreStore();
        return;
    }
    if (kind == 3) {
        m_fleet.store().forgetHistory();
        return;
    }
    constexpr tests::StoreStandIn::Mode modes[]
            = {tests::StoreStandIn::Mode::Unavailable, tests::StoreStandIn::Mode::Silent,
               tests::StoreStandIn::Mode::Slow};
    m_storeDisturbed = true;
    setAllDisturbed(true);
    m_fleet.store().setMode(modes[kind]);
    schedule(length, [this] {
        m_fleet.store().setMode(tests::StoreStandIn::Mode::Healthy);
        m_storeDisturbed = false;
        setAllDisturbed(false);
    });
}

void FaultInjector::restoreStore()
{
    constexpr auto copyAge = 1500ms;
    constexpr auto absence = 300ms;
    constexpr auto writeDelay = 100ms;
    m_storeDisturbed = true;
    m_fleet.store().copy();
    schedule(copyAge, [this] {
        setAllDisturbed(true);
        m_fleet.store().setMode(tests::StoreStandIn::Mode::Unavailable);
    });
    schedule(copyAge + absence, [this] {
        m_fleet.store().restore();
        m_fleet.store().setMode(tests::StoreStandIn::Mode::Healthy);
    });
    schedule(copyAge + absence + writeDelay, [this] {
        m_fleet.store().writeAgain();
        m_storeDisturbed = false;
        setAllDisturbed(false);
    });
}

void FaultInjector::setAllDisturbed(bool disturbed)
{
    for (std::size_t i = 0; i < m_fleet.routers().size(); ++i) {
        if (!m_faultyRouters.contains(i))
            m_checker.setDisturbed(i, disturbed);
    }
}

void FaultInjector::pauseRouter(Duration length)
{
    const std::size_t router = pick(3);
    if (!markFaulty(router))
        return;
    logFault("pause of r" + std::to_string(router), length);
    m_fleet.routers()[router]->process().signal(SIGSTOP);
    schedule(length, [this, router] {
        m_fleet.routers()[router]->process().signal(SIGCONT);
        clearFaulty(router);
    });
}

void FaultInjector::killRouter()
{
    const std::size_t router = pick(3);
    if (!markFaulty(router))
        return;
    logFault("kill of r" + std::to_string(router), {});
    m_fleet.routers()[router]->process().kill();
    schedule(300ms, [this, router] { restartRouter(router); });
}

void FaultInjector::stopRouter()
{
    const std::size_t router = pick(3);
    if (!m_faultyRouters.insert(router).second)
        return;
    logFault("stop of r" + std::to_string(router), {});
    m_fleet.routers()[router]->process().signal(SIGTERM);
    checkStopped(router, Clock::now() + graceTime);
}

void FaultInjector::checkStopped(std::size_t router, TimePoint limit)
{
    schedule(50ms, [this, router, limit] {
        if (!m_fleet.routers()[router]->process().running()) {
            m_checker.setDisturbed(router, true);
            restartRouter(router);
        } else if (Clock::now() > limit) {
            m_checker.addViolation("r" + std::to_string(router)
                                   + " did not stop within the grace time");
            m_checker.setDisturbed(router, true);
            m_fleet.routers()[router]->process().kill();
            restartRouter(router);
        } else {
            checkStopped(router, limit);
        }
    });
}

void FaultInjector::restartRouter(std::size_t router)
{
    m_fleet.routers()[router]->start();
    schedule(500ms, [this, router] { clearFaulty(router); });
}

void FaultInjector::withdrawKey()
{
    if (m_keyWithdrawn)
        return;
    // In half of the cases a router also loses its path to the store, so that it can't receive
    // the change.
    if (pick(2) == 0)
        disturbStorePath(8s);
    logFault("key withdrawn", {});
    m_keyWithdrawn = true;
    m_fleet.configure(false);
    m_checker.setKeyWithdrawn(true);
    // Longer than the revocation limit, after which every router must refuse the key.
    schedule(std::chrono::milliseconds(6000 + static_cast<int>(3000 * randomFraction())), [this] {
        m_checker.setKeyWithdrawn(false);
        m_fleet.configure(true);
        m_keyWithdrawn = false;
    });
}

void FaultInjector::takeZoneOut()
{
    if (m_zoneOut)
        return;
    logFault("zone b out of service", {});
    m_zoneOut = true;
    m_fleet.store().put("evacuations", "b", "{}");
    m_checker.setZoneOut(m_fleet.serversOf("b"), true);
    schedule(std::chrono::milliseconds(5200 + static_cast<int>(3000 * randomFraction())), [this] {
        m_checker.setZoneOut(m_fleet.serversOf("b"), false);
        m_fleet.store().remove("evacuations", "b");
        m_zoneOut = false;
    });
}

void FaultInjector::replaceServer()
{
    SoakServer &server = *m_fleet.servers()[pick(4)];
    logFault("replacement of " + server.name(), {});
    m_fleet.putServer(server, true);
    schedule(2500ms, [this, &server] {
        m_fleet.store().remove("servers", server.name());
        server.restart();
        schedule(500ms, [this, &server] { m_fleet.putServer(server, false); });
    });
}

bool FaultInjector::markFaulty(std::size_t router)
{
    if (!m_faultyRouters.insert(router).second)
        return false;
    m_checker.setDisturbed(router, true);
    return true;
}

void FaultInjector::clearFaulty(std::size_t router)
{
    m_faultyRouters.erase(router);
    if (!m_storeDisturbed)
        m_checker.setDisturbed(router, false);
}

void FaultInjector::logFault(const std::string &text, Duration length)
{
    std::printf("  %7.3f %s, %.0f ms\n", toMilliseconds(Clock::now() - m_start) / 1000.0,
                text.c_str(), toMilliseconds(length));
}

std::size_t FaultInjector::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

} // namespace bilberry::soak
