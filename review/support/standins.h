#ifndef BILBERRY_REVIEW_STANDINS_H
#define BILBERRY_REVIEW_STANDINS_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the clients, servers and store of the users' pages, over blocking sockets on
/// loopback addresses, and a supervisor of the router processes.
namespace bilberry::review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// @return seconds since the start of the process
double secondsSinceStart(TimePoint at = Clock::now());

/// Writes what was sent, answered and run to record.txt.
class Record
{
public:
    explicit Record(const std::filesystem::path &file);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// IPv4 address and port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return ip + ':' + std::to_string(port); }
};

/// @return a port that is free for TCP and UDP
std::uint16_t freePort(const std::string &ip);

/// A connected TCP socket; not copyable.
class Socket
{
public:
    explicit Socket(int descriptor = -1) : m_descriptor(descriptor) {}
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    ~Socket() { close(); }

    /// @return an unconnected socket if the connect fails or takes longer than the limit
    static Socket connect(const Address &to, Milliseconds limit = 1000ms);

    bool isOpen() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    bool send(std::string_view bytes);
    /// @return the bytes received; empty at the end of the stream; absent after an error or when
    ///         the time is over
    std::optional<std::string> receive(Milliseconds limit);
    /// Ends both directions without releasing the descriptor; wakes a receive() elsewhere.
    void shutdown();
    void close();

private:
    int m_descriptor;
};

/// One HTTP message.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool complete = false;

    /// @return the value; empty when there is none
    std::string field(const std::string &name) const;
    /// @return the status of a response; 0 when there is none
    int status() const;
    std::string method() const;
    std::string target() const;
};

/// Reads HTTP messages with Content-Length or chunked bodies from a connection.
class MessageReader
{
public:
    explicit MessageReader(Socket &socket) : m_socket(socket) {}
    /// @return absent when the connection ended or the time was over before the first byte; a
    ///         message that is not complete when that happened later
    std::optional<Message> read(Milliseconds limit);

private:
    bool fill(TimePoint deadline);

    Socket &m_socket;
    std::string m_buffer;
};

/// Accepts connections on a loopback address, with a thread for each.
class Listener
{
public:
    using Handler = std::function<void(Socket &)>;

    Listener(const std::string &ip, Handler handler);
    ~Listener() { stop(); }
    const Address &address() const { return m_address; }
    void stop();
    /// Resets all connections and listens no more.
    void resetAll();

private:
    Handler m_handler;
    Address m_address;
    int m_descriptor;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::list<Socket> m_sockets;
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// The platform's store.
class Store
{
public:
    explicit Store(Record &record);
    const Address &address() const { return m_listener->address(); }

    /// Writes an object as the operator, a server or another writer does. The return is the
    /// acknowledgement.
    /// @param spec the bytes that stand as the object's spec in responses
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    void stop();

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string object;
        bool removed = false;
    };

    void serve(Socket &socket);
    std::string answer(const Message &request);
    std::string answerWrite(const Message &request, const std::string &kind,
                            const std::string &name);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t since, Milliseconds wait);
    static std::string toJson(const std::string &name, const Object &object);

    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_history;
    std::unique_ptr<Listener> m_listener;
};

/// One request as a server has received it.
struct Arrival
{
    std::string id;
    TimePoint at;
    std::string server;
};

/// What all servers have received and run.
class Runs
{
public:
    void add(const Arrival &arrival);
    std::vector<Arrival> arrivals() const;
    /// @return how often a request has run
    std::size_t count(const std::string &id) const;

private:
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
};

/// A backend server. It answers 421 to requests for another instance, and runs all others.
class Server
{
public:
    /// Replaces the answer to a request that runs; false to give the usual answer.
    using Hook = std::function<bool(Socket &, const Message &)>;

    Server(std::string id, std::string service, std::string zone, Runs &runs, Record &record,
           Hook hook = {});

    const std::string &id() const { return m_id; }
    /// @return the server's entry in the store
    std::string entry(const std::string &state) const;
    /// Ends the server: closes its connections and listens no more.
    void stop() { m_listener->stop(); }
    /// Ends the server as a crash does, with a reset of its connections; stop() must follow, from
    /// a thread that doesn't serve a connection.
    void crash();
    bool hasCrashed() const { return m_crashed; }

private:
    void serve(Socket &socket);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Runs &m_runs;
    Record &m_record;
    Hook m_hook;
    std::atomic<bool> m_crashed = false;
    std::unique_ptr<Listener> m_listener;
};

/// Forwards connections to an address.
class Proxy
{
public:
    Proxy(const std::string &ip, Address target);
    const Address &address() const { return m_listener->address(); }
    /// From now on the open connections carry nothing, without a reset. New ones work.
    /// @return how many connections are open
    int silenceOpen();
    void stop();

private:
    void forward(Socket &caller);

    Address m_target;
    std::atomic<int> m_generation = 0;
    std::atomic<int> m_open = 0;
    std::atomic<bool> m_stopping = false;
    std::unique_ptr<Listener> m_listener;
};

/// A router process, with the command and the settings template of the deploy file. It is started
/// again when it ends, as the platform does.
class Router
{
public:
    struct Place
    {
        std::string name;
        std::string zone;
        std::string ip;
    };

    Router(Place place, const Address &store, const std::filesystem::path &folder, Record &record);
    ~Router() { stop(); }

    const std::string &name() const { return m_place.name; }
    const Address &front() const { return m_front; }
    bool isReady() const;
    /// @return how often the process has ended by itself
    int ends() const { return m_ends; }
    /// Sends SIGTERM; the process is started again when it has ended.
    void terminate();
    /// @return how often the process was started
    int starts() const { return m_starts; }
    void stop();

private:
    void start();
    void supervise();

    Place m_place;
    Record &m_record;
    Address m_front;
    Address m_readiness;
    std::filesystem::path m_settings;
    std::filesystem::path m_log;
    std::atomic<pid_t> m_process = -1;
    std::atomic<int> m_ends = 0;
    std::atomic<int> m_starts = 0;
    std::atomic<bool> m_isTerminated = false;
    std::atomic<bool> m_stopping = false;
    std::thread m_supervisor;
};

/// A small deployment: the store, the routers and the configuration.
struct Fleet
{
    explicit Fleet(const std::filesystem::path &caseFolder);
    ~Fleet();

    /// @param throughProxy true to reach the store through a proxy of each router
    void startRouters(int count, bool throughProxy = false);
    /// @return false when not all routers are ready within 20 s
    bool awaitReady() const;
    /// @param tenants the list of tenants, as JSON
    static std::string configuration(int version, const std::string &tenants);

    Record record;
    std::filesystem::path folder;
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Proxy>> proxies;
    std::vector<std::unique_ptr<Router>> routers;
};

/// Clients that send one request after another, each on a kept connection of its own.
class Traffic
{
public:
    struct Counts
    {
        int sent = 0;
        int served = 0;     ///< answered 200
        int refused = 0;    ///< answered 503: not run
        int failed = 0;     ///< answered otherwise
        int unanswered = 0; ///< the connection ended without a whole answer
    };

    /// @param perRouter clients of each router
    /// @param bookings false for reads only; true for reads and bookings in turn
    Traffic(Fleet &fleet, int perRouter, Milliseconds pause, bool bookings);
    ~Traffic() { stop(); }
    void stop();
    /// @return the requests sent since a moment
    Counts countSince(TimePoint from) const;

private:
    struct Outcome
    {
        TimePoint sentAt;
        int status = 0;
    };

    void run(const Router &router, Milliseconds pause, bool bookings);

    Fleet &m_fleet;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

/// @return a request id that no other request has
std::string newRequestId();

/// @return a client's request; without a key when that is empty
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &key, int deadlineMs, const std::string &body = "");

/// @return true unless TROUBLE=0 is set
bool hasTrouble();

inline constexpr char apiKey[] = "asnmgkcuyj8pjbvk9m68";
/// The tenant that holds the key, as JSON.
inline constexpr char tenant[]
        = R"({"name":"hule930","priority":1,"api_keys":["asnmgkcuyj8pjbvk9m68"]})";
inline constexpr char readPath[] = "/cufi504/2f";    ///< of an idempotent route
inline constexpr char bookingPath[] = "/puxa403/2f"; ///< of a non-idempotent route

enum ExitCode { RuleHeld = 0, RuleBroken = 1, NotRun = 2 };

} // namespace bilberry::review

#endif
