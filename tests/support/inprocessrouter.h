#ifndef BILBERRY_TESTS_INPROCESSROUTER_H
#define BILBERRY_TESTS_INPROCESSROUTER_H

#include "support/rawcaller.h"

#include "bilberry/direct/directrouter.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bilberry::tests {

/// How a router starts.
struct StartOptions
{
    std::uint64_t storeEra = 1; ///< above 1: its store was restored from a copy
    bool waitUntilReady = true;
};

/// Runs a direct router in the test process, with the plan and the servers that a test gives it.
class InProcessRouter
{
public:
    using ChangeSettings = std::function<void(direct::DirectSettings &)>;
    using Collections = std::map<std::string, std::vector<store::Item>>; ///< items by collection

    /// Starts the router and waits until it is ready.
    /// @param plan traffic plan in force from the start
    /// @param servers servers that the store lists
    /// @param change modifies the default settings before the start
    /// @param stored what else the store holds, such as other routers
    /// @throws std::runtime_error when the router is not ready after 10 seconds
    InProcessRouter(TrafficPlan plan, const std::vector<DirectServer> &servers,
                    const ChangeSettings &change = {}, const Collections &stored = {},
                    const StartOptions &options = {});
    ~InProcessRouter();

    InProcessRouter(const InProcessRouter &) = delete;
    InProcessRouter &operator=(const InProcessRouter &) = delete;

    /// Starts a graceful shutdown.
    void stop();
    /// Waits until the router has stopped.
    void waitForStop() { m_thread.join(); }
    void setStoreDown(bool down) { m_storeDown = down; }
    /// Restores the store from a copy that has all its items.
    /// @param isSeen false: only calls for the list of routers find out, until showRestore()
    void restoreStore(bool isSeen = true)
    {
        m_isRestoreSeen = isSeen;
        ++m_storeEra;
    }
    void showRestore() { m_isRestoreSeen = true; }
    /// @return number of items that the router has removed from the store; each call takes 400 ms
    int removedItems() const { return m_removedItems; }
    /// @return what the router has written to a collection of the store, oldest first
    std::vector<store::Item> written(const std::string &collection) const;
    /// Blocks the router's event loop, as on a VM without processor time.
    void occupy(Duration duration);

    bool ready() const;
    std::uint16_t port() const { return m_settings.callerEndpoint.port; }
    const direct::DirectSettings &settings() const { return m_settings; }
    /// @return processor time used by the thread of the router's event loop
    Duration processorTime() const;

    /// Sends one request on a new connection and reads until the connection ends.
    RawAnswer call(const std::string &path, const std::string &fields = "",
                   const std::string &body = "", const std::string &key = "key") const;

    /// @return the bytes of a POST request
    /// @param fields further header fields, each with its line end
    /// @param keepAlive false to close the connection after the answer
    static std::string request(const std::string &path, const std::string &fields,
                               const std::string &body, const std::string &key,
                               bool keepAlive = false);

private:
    void run();

    std::map<std::string, DirectServer> m_servers;
    Collections m_collections;
    mutable std::mutex m_writtenMutex;
    Collections m_written;
    std::atomic<bool> m_storeDown = false;
    std::atomic<std::uint64_t> m_storeEra;
    std::atomic<bool> m_isRestoreSeen = true;
    std::atomic<int> m_removedItems = 0;
    direct::DirectSettings m_settings;
    std::unique_ptr<direct::DirectRouter> m_router;
    std::thread m_thread;
};

/// @return a server on loopback in pool "pool" and zone "a"
DirectServer loopbackServer(const std::string &id, std::uint16_t port);

} // namespace bilberry::tests

#endif
