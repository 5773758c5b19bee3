#ifndef BILBERRY_TESTS_INPROCESSROUTER_H
#define BILBERRY_TESTS_INPROCESSROUTER_H

#include "support/rawcaller.h"

#include "bilberry/direct/directrouter.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// A direct router in this process, whose plan and servers a test decides.
class InProcessRouter
{
public:
    using ChangeSettings = std::function<void(direct::DirectSettings &)>;

    /// Starts the router and waits until it is ready.
    /// @param plan in force from the start
    /// @param servers what the store lists
    /// @param change applied to the standard settings
    /// @throws std::runtime_error when the router is not ready after some seconds
    InProcessRouter(TrafficPlan plan, const std::vector<DirectServer> &servers,
                    const ChangeSettings &change = {});
    ~InProcessRouter();

    InProcessRouter(const InProcessRouter &) = delete;
    InProcessRouter &operator=(const InProcessRouter &) = delete;

    /// Starts a graceful shutdown.
    void stop();
    void setStoreDown(bool down) { m_storeDown = down; }
    /// Keeps the router's event loop busy, like a VM without processor time.
    void occupy(Duration duration);

    bool ready() const;
    std::uint16_t port() const { return m_settings.callerEndpoint.port; }
    const direct::DirectSettings &settings() const { return m_settings; }
    /// @return processor time that the router's event loop has used
    Duration processorTime() const;

    /// Sends one request and reads until its connection ends.
    RawAnswer call(const std::string &path, const std::string &fields = "",
                   const std::string &body = "", const std::string &key = "key") const;

    /// @param keepAlive false for a request whose connection ends with its answer
    static std::string request(const std::string &path, const std::string &fields,
                               const std::string &body, const std::string &key,
                               bool keepAlive = false);

private:
    void run();

    std::map<std::string, DirectServer> m_servers;
    std::map<std::string, std::vector<store::Item>> m_collections;
    std::atomic<bool> m_storeDown = false;
    direct::DirectSettings m_settings;
    std::unique_ptr<direct::DirectRouter> m_router;
    std::thread m_thread;
};

/// @return an entry of a server on loopback, in the pool "pool"
DirectServer loopbackServer(const std::string &id, std::uint16_t port);

} // namespace bilberry::tests

#endif
