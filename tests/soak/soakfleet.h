#ifndef BILBERRY_SOAK_SOAKFLEET_H
#define BILBERRY_SOAK_SOAKFLEET_H

#include "promises.h"
#include "storestandin.h"

#include "support/faultproxy.h"
#include "support/process.h"
#include "support/scriptedserver.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <random>
#include <vector>

namespace bilberry::soak {

/// A backend server on loopback behind a proxy. It runs requests, and now and then refuses one,
/// breaks an answer off or loses it.
class SoakServer
{
public:
    SoakServer(std::size_t number, std::uint64_t seed, Promises &promises);

    std::string name() const;
    std::string zone() const;
    /// @return the server's entry for the store
    std::string entry(bool draining) const;
    tests::ProxyFaults &path() { return m_proxy->faults(); }
    /// Share of requests whose answers go wrong.
    void setFaultShare(double share) { m_faultShare = share; }
    /// The next entry is that of a new start.
    void restart() { ++m_lives; }

private:
    tests::ScriptedAnswer answer(const tests::ScriptedRequest &request);
    tests::ScriptedAnswer streamFrom(const std::string &id, int first, bool breakOff) const;
    bool pathIsSound();
    double draw();

    std::size_t m_number;
    Promises &m_promises;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::atomic<double> m_faultShare = 0.0;
    std::atomic<int> m_lives = 1;
    std::unique_ptr<tests::ScriptedServer> m_server;
    std::unique_ptr<tests::TcpProxy> m_proxy;
};

/// A real router process and its way to the store.
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

/// The store, the servers and the routers.
class SoakFleet
{
public:
    /// Starts everything and waits until all routers are ready.
    /// @throws std::runtime_error when a router does not get ready
    SoakFleet(std::uint64_t seed, Promises &promises, const std::filesystem::path &folder);

    StoreStandIn &store() { return m_store; }
    std::vector<std::unique_ptr<SoakServer>> &servers() { return m_servers; }
    std::vector<std::unique_ptr<SoakRouter>> &routers() { return m_routers; }
    std::set<std::size_t> serversOf(const std::string &zone) const;

    /// Writes the next version of the configuration.
    /// @param withKey false withdraws the revocable key
    void configure(bool withKey);
    void enter(SoakServer &server, bool draining);
    bool allReady() const;

private:
    StoreStandIn m_store;
    std::vector<std::unique_ptr<SoakServer>> m_servers;
    std::vector<std::unique_ptr<SoakRouter>> m_routers;
    int m_version = 0;
};

} // namespace bilberry::soak

#endif
