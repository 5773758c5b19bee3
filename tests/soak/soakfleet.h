#ifndef BILBERRY_SOAK_SOAKFLEET_H
#define BILBERRY_SOAK_SOAKFLEET_H

#include "invariantchecker.h"

#include "support/faultproxy.h"
#include "support/process.h"
#include "support/scriptedserver.h"
#include "support/storestandin.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <random>
#include <vector>

namespace bilberry::soak {

/// A backend server on loopback behind a proxy. For a configurable share of the requests it refuses
/// to run, answers 500, breaks off the answer or resets the connection without an answer.
class SoakServer
{
public:
    SoakServer(std::size_t number, std::uint64_t seed, InvariantChecker &checker);

    std::string name() const;
    std::string zone() const;
    /// @return the server's spec in the store
    std::string spec(bool draining) const;
    tests::ProxyFaults &path() { return m_proxy->faults(); }
    /// Sets the share of requests that get a faulty answer, 0 to 1.
    void setFaultShare(double share) { m_faultShare = share; }
    /// Counts a new start of the server, for its next spec in the store.
    void restart() { ++m_startCount; }

private:
    tests::ScriptedAnswer answer(const tests::ScriptedRequest &request);
    tests::ScriptedAnswer streamFrom(const std::string &id, int first, bool breakOff) const;
    bool pathIsFaultless();
    double randomFraction();

    std::size_t m_number;
    InvariantChecker &m_checker;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::atomic<double> m_faultShare = 0.0;
    std::atomic<int> m_startCount = 1;
    std::unique_ptr<tests::ScriptedServer> m_server;
    std::unique_ptr<tests::TcpProxy> m_proxy;
};

/// A real router process and the proxy between it and the store.
class SoakRouter
{
public:
    SoakRouter(std::size_t number, std::uint16_t storePort, std::filesystem::path folder);

    void start();
    tests::Process &process() { return *m_process; }
    tests::ProxyFaults &storePath() { return m_storeProxy->faults(); }
    std::uint16_t port() const { return m_callers; }
    bool ready() const;

private:
    std::filesystem::path m_folder;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::unique_ptr<tests::TcpProxy> m_storeProxy;
    std::unique_ptr<tests::Process> m_process;
};

/// The store, the servers and the routers of a soak run.
class SoakFleet
{
public:
    /// Starts all of them and waits until all routers are ready.
    /// @throws std::runtime_error when a router is not ready after 15 s
    SoakFleet(std::uint64_t seed, InvariantChecker &checker, const std::filesystem::path &folder);

    tests::StoreStandIn &store() { return m_store; }
    std::vector<std::unique_ptr<SoakServer>> &servers() { return m_servers; }
    std::vector<std::unique_ptr<SoakRouter>> &routers() { return m_routers; }
    std::set<std::size_t> serversOf(const std::string &zone) const;

    /// Writes the next version of the configuration to the store.
    /// @param withKey false to withdraw the revocable key
    void configure(bool withKey);
    void putServer(SoakServer &server, bool draining);
    bool allReady() const;

private:
    tests::StoreStandIn m_store;
    std::vector<std::unique_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakRouter>> m_routers;
    int m_version = 0;
};

} // namespace bilberry::soak

#endif
