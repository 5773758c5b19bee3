// Stand-ins for the platform of the users' pages, on loopback and the real clock: the store,
// clients, and the part of the platform that starts, stops and restarts a router with the command
// of deploy/system.toml.

#ifndef BILBERRY_REVIEW_STANDINS_H
#define BILBERRY_REVIEW_STANDINS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;

inline TimePoint startedAt = Clock::now();

inline long sinceStart(TimePoint time = Clock::now())
{
    return static_cast<long>(std::chrono::duration_cast<Ms>(time - startedAt).count());
}

inline void sleepFor(long ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

/// Writes record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &file) : m_file(file) {}

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(sinceStart()) / 1000.0);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Thrown when the case can't run.
struct CannotRun : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @return a listening socket; its port is drawn when none is given
inline int listenOn(int &port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket, 512) != 0)
        throw CannotRun("can't listen on port " + std::to_string(port));
    socklen_t size = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return socket;
}

/// @return a port that is free for TCP and UDP
inline int freePort()
{
    for (int i = 0; i < 100; ++i) {
        int port = 0;
        const int tcp = listenOn(port);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(port);
        const bool isFree
                = ::bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(udp);
        ::close(tcp);
        if (isFree)
            return port;
    }
    throw CannotRun("no free port");
}

/// Closes a socket so that the peer sees a reset.
inline void resetSocket(int socket)
{
    const linger hard{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(socket);
}

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// @return the number of bytes read; 0 at the end of the connection, negative when the time is over
/// or on an error
inline long readSome(int socket, std::string &buffer, long waitMs, std::size_t most = 64U << 10U)
{
    pollfd poll{socket, POLLIN, 0};
    if (::poll(&poll, 1, static_cast<int>(std::max(waitMs, 0L))) <= 0)
        return -2;
    std::vector<char> area(most);
    const ssize_t size = ::recv(socket, area.data(), area.size(), 0);
    if (size > 0)
        buffer.append(area.data(), static_cast<std::size_t>(size));
    return size;
}

/// Head of a request or an answer.
struct Head
{
    std::string firstLine;
    std::map<std::string, std::string> fields; ///< names in lower case

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
};

inline Head parseHead(const std::string &text)
{
    Head head;
    std::istringstream lines(text);
    std::getline(lines, head.firstLine);
    if (!head.firstLine.empty() && head.firstLine.back() == '\r')
        head.firstLine.pop_back();
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char &c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        head.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    return head;
}

/// Reads a head; what comes behind it stays in the buffer.
inline bool readHead(int socket, std::string &buffer, Head &head, long waitMs,
                     const std::atomic<bool> *stop = nullptr)
{
    const TimePoint until = Clock::now() + Ms(waitMs);
    for (;;) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = parseHead(buffer.substr(0, end));
            buffer.erase(0, end + 4);
            return true;
        }
        const long left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        if (left <= 0 || (stop && *stop))
            return false;
        const long size = readSome(socket, buffer, std::min(left, 100L));
        if (size == 0 || size == -1)
            return false;
    }
}

inline bool readBody(int socket, std::string &buffer, std::size_t size, long waitMs)
{
    const TimePoint until = Clock::now() + Ms(waitMs);
    while (buffer.size() < size) {
        const long left = std::chrono::duration_cast<Ms>(until - Clock::now()).count();
        if (left <= 0 || readSome(socket, buffer, left) <= 0)
            return false;
    }
    return true;
}

/// Accepts connections and serves each on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(int socket)>;

    /// @param hasLinkBuffers packets and windows as on a link between machines, in place of those
    /// of loopback
    Listener(int port, Serve serve, bool hasLinkBuffers = false)
        : m_serve(std::move(serve)), m_port(port)
    {
        m_socket = listenOn(m_port);
        const int segment = 1460;
        const int window = 64 << 10;
        if (hasLinkBuffers) {
            ::setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
            ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        m_thread = std::thread([this] { accept(); });
    }

    ~Listener() { stop(); }

    int port() const { return m_port; }
    const std::atomic<bool> &stopping() const { return m_stopping; }

    /// Ends as a process that is killed: all connections are reset, the port refuses new ones.
    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        ::shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
        {
            const std::lock_guard lock(m_mutex);
            for (const int socket : m_open)
                ::shutdown(socket, SHUT_RDWR);
        }
        for (std::thread &thread : m_threads)
            thread.join();
    }

private:
    void accept()
    {
        while (!m_stopping) {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(m_mutex);
            m_open.insert(socket);
            m_threads.emplace_back([this, socket] {
                m_serve(socket);
                const std::lock_guard ownLock(m_mutex);
                m_open.erase(socket);
                if (m_stopping)
                    resetSocket(socket);
                else
                    ::close(socket);
            });
        }
    }

    Serve m_serve;
    int m_port;
    int m_socket = -1;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_thread;
};

/// The platform's store, by the page PROTOCOL and the news on drills.
class Store
{
public:
    Store() { open(0); }

    int port() const { return m_port; }

    /// Writes an object as the operator or a server does. The return is the acknowledgement.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        change(kind, name, spec, false);
    }

    void remove(const std::string &kind, const std::string &name) { change(kind, name, "", true); }

    std::map<std::string, std::string> objects(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind];
    }

    /// Takes the copy that comeBack() restores.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_objects;
        m_copyRevision = m_revision;
    }

    /// Is away: connections are reset, new ones refused.
    void goAway()
    {
        m_away = true;
        m_changed.notify_all();
        m_listener.reset();
    }

    /// Comes back from the copy, in the next era.
    void comeBackFromCopy()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_objects = m_copy;
            m_revision = m_copyRevision;
            m_history.clear();
            m_forgotten = m_revision;
            ++m_era;
        }
        m_away = false;
        open(m_port);
    }

    void stop() { goAway(); }

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        std::string name;
        std::string spec;
        bool removed;
    };

    void open(int port)
    {
        m_listener = std::make_unique<Listener>(port, [this](int socket) { serve(socket); });
        m_port = m_listener->port();
    }

    bool change(const std::string &kind, const std::string &name, const std::string &spec,
                bool removed)
    {
        {
            const std::lock_guard lock(m_mutex);
            auto &items = m_objects[kind];
            if (removed ? items.erase(name) == 0 : items.contains(name) && items[name] == spec)
                return false;
            if (!removed)
                items[name] = spec;
            m_history.push_back({++m_revision, kind, name, spec, removed});
        }
        m_changed.notify_all();
        return true;
    }

    static std::string object(const std::string &name, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + name + R"("},"spec":)" + (spec.empty() ? "{}" : spec)
               + "}";
    }

    std::string respond(int status, const std::string &body)
    {
        const std::lock_guard lock(m_mutex);
        return "HTTP/1.1 " + std::to_string(status) + " x\r\nStore-Era: " + std::to_string(m_era)
               + "\r\nContent-Type: application/json\r\nContent-Length: "
               + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::uint64_t queryNumber(const std::string &query, const std::string &key,
                                     std::uint64_t fallback)
    {
        const std::size_t at = query.find(key + "=");
        return at == std::string::npos ? fallback : std::stoull(query.substr(at + key.size() + 1));
    }

    void serve(int socket)
    {
        std::string buffer;
        Head head;
        while (!m_away && readHead(socket, buffer, head, 60000, &m_away)) {
            const std::size_t size
                    = std::strtoul(head.field("content-length").c_str(), nullptr, 10);
            if (!readBody(socket, buffer, size, 5000))
                return;
            const std::string body = buffer.substr(0, size);
            buffer.erase(0, size);
            const std::string answer = handle(head.firstLine, body);
            if (m_away || !sendAll(socket, answer))
                return;
        }
    }

    std::string handle(const std::string &line, const std::string &body)
    {
        const std::size_t methodEnd = line.find(' ');
        const std::string method = line.substr(0, methodEnd);
        std::string target
                = line.substr(methodEnd + 1, line.find(' ', methodEnd + 1) - methodEnd - 1);
        const std::size_t queryAt = std::min(target.find('?'), target.size());
        const std::string query = target.substr(queryAt);
        target.resize(queryAt);
        const std::string path = "/v1/objects/";
        if (!target.starts_with(path))
            return respond(404, "{}");
        target.erase(0, path.size());
        const std::size_t slash = std::min(target.find('/'), target.size());
        const std::string kind = target.substr(0, slash);
        const std::string name = slash < target.size() ? target.substr(slash + 1) : "";
        if (method == "GET" && query.find("watch=") != std::string::npos)
            return watch(kind, queryNumber(query, "watch", 0), queryNumber(query, "wait_ms", 1000));
        if (method == "GET")
            return respond(200, list(kind));
        if (method == "DELETE")
            return respond(change(kind, name, "", true) ? 200 : 404, "{}");
        const std::string nameKey = R"("name":")";
        const std::size_t nameAt = body.find(nameKey);
        const std::size_t specAt = body.find(R"("spec":)");
        if (nameAt == std::string::npos || specAt == std::string::npos)
            return respond(400, "{}");
        const std::size_t nameBegin = nameAt + nameKey.size();
        const std::string written = body.substr(nameBegin, body.find('"', nameBegin) - nameBegin);
        const std::string spec = body.substr(specAt + 7, body.rfind('}') - specAt - 7);
        {
            const std::lock_guard lock(m_mutex);
            const bool exists = m_objects[kind].contains(written);
            if (method == "POST" && exists)
                return lockedRespond(409);
            if (method == "PUT" && !exists)
                return lockedRespond(404);
        }
        change(kind, written, spec, false);
        return respond(200, "{}");
    }

    std::string lockedRespond(int status) const
    {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\nStore-Era: " + std::to_string(m_era)
               + "\r\nContent-Length: 2\r\n\r\n{}";
    }

    std::string list(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        std::string items;
        for (const auto &[name, spec] : m_objects[kind])
            items += (items.empty() ? "" : ",") + object(name, spec);
        return R"({"items":[)" + items + R"(],"more_pages":false,"current_rev":)"
               + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &kind, std::uint64_t since, std::uint64_t waitMs)
    {
        std::string events;
        std::uint64_t revision = 0;
        {
            std::unique_lock lock(m_mutex);
            if (since < m_forgotten || since > m_revision)
                return lockedRespond(410);
            const auto collect = [&] {
                for (const Change &change : m_history) {
                    if (change.revision > since && change.kind == kind)
                        events += (events.empty() ? "" : ",")
                                  + (R"({"object":)" + object(change.name, change.spec))
                                  + R"(,"removed":)" + (change.removed ? "true}" : "false}");
                }
                return !events.empty();
            };
            m_changed.wait_for(lock, Ms(waitMs), [&] { return m_away || collect(); });
            revision = m_revision;
        }
        return respond(200, R"({"events":[)" + events + R"(],"current_rev":)"
                                    + std::to_string(revision) + "}");
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::map<std::string, std::map<std::string, std::string>> m_copy;
    std::deque<Change> m_history;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 1;
    std::uint64_t m_copyRevision = 1;
    std::uint64_t m_forgotten = 0;
    std::atomic<bool> m_away = false;
    int m_port = 0;
    std::unique_ptr<Listener> m_listener;
};

/// An answer as a client sees it.
struct Answer
{
    int status = 0; ///< 0: the connection ended, or the time was over, without a complete answer
    Head head;
    std::string body;
    std::string end; ///< how it ended
};

inline int connectTo(int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

/// Reads an answer with a length or in chunks.
inline Answer readAnswer(int socket, long waitMs)
{
    Answer answer;
    std::string buffer;
    const TimePoint until = Clock::now() + Ms(waitMs);
    if (!readHead(socket, buffer, answer.head, waitMs)) {
        answer.end = "no answer";
        return answer;
    }
    const int status = std::atoi(answer.head.firstLine.substr(9).c_str());
    const auto left = [&] { return std::chrono::duration_cast<Ms>(until - Clock::now()).count(); };
    if (answer.head.field("transfer-encoding") == "chunked") {
        while (buffer.find("0\r\n\r\n") == std::string::npos) {
            if (left() <= 0 || readSome(socket, buffer, left()) <= 0) {
                answer.end = "cut";
                return answer;
            }
        }
    } else if (!readBody(socket, buffer,
                         std::strtoul(answer.head.field("content-length").c_str(), nullptr, 10),
                         left())) {
        answer.end = "cut";
        return answer;
    }
    answer.status = status;
    answer.body = buffer;
    answer.end = "complete";
    return answer;
}

/// Sends one request on a new connection.
inline Answer call(int port, const std::string &head, const std::string &body, long waitMs)
{
    const int socket = connectTo(port);
    if (socket < 0) {
        Answer answer;
        answer.end = "no connection";
        return answer;
    }
    std::string text = head;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sendAll(socket, text + "\r\n" + body);
    Answer answer = readAnswer(socket, waitMs);
    ::close(socket);
    return answer;
}

/// Processes that run, so that a script that is ended ends them too.
inline std::array<std::atomic<pid_t>, 64> childProcesses{};

inline void addChild(pid_t pid)
{
    for (auto &child : childProcesses) {
        pid_t none = 0;
        if (child.compare_exchange_strong(none, pid))
            return;
    }
}

inline void removeChild(pid_t pid)
{
    for (auto &child : childProcesses) {
        pid_t expected = pid;
        if (child.compare_exchange_strong(expected, 0))
            return;
    }
}

inline void endChildren(int)
{
    for (auto &child : childProcesses) {
        if (child > 0)
            ::kill(child, SIGKILL);
    }
    ::_exit(2);
}

/// A router on an entry VM: started with the command of deploy/system.toml, its template filled in
/// as the platform does.
class Router
{
public:
    Router(std::string name, std::string zone, int storePort, std::string folder)
        : m_name(std::move(name)), m_zone(std::move(zone)), m_storePort(storePort),
          m_folder(std::move(folder)), m_front(freePort()), m_readiness(freePort()),
          m_peers(freePort())
    {
    }

    ~Router()
    {
        if (m_pid > 0)
            kill();
    }

    const std::string &name() const { return m_name; }
    int front() const { return m_front; }
    int pid() const { return m_pid; }

    void start()
    {
        const std::string settings = m_folder + "/" + m_name + ".yaml";
        std::ofstream(settings) << filledTemplate();
        const std::string log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            const int null = ::open("/dev/null", O_RDONLY);
            ::dup2(null, 0);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::signal(SIGPIPE, SIG_DFL);
            ::execl("target/bin/bilberryd", "target/bin/bilberryd", "--settings", settings.c_str(),
                    nullptr);
            ::_exit(127);
        }
        addChild(m_pid);
    }

    /// @return true as soon as the router says that it is ready, as the platform's balancer asks
    bool waitUntilReady(long waitMs = 10000)
    {
        const TimePoint until = Clock::now() + Ms(waitMs);
        while (Clock::now() < until) {
            if (isReady())
                return true;
            sleepFor(50);
        }
        return false;
    }

    bool isReady()
    {
        return call(m_readiness, "GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n", "", 1000).status
               == 200;
    }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        removeChild(m_pid);
        m_pid = 0;
    }

    /// Sends SIGTERM, and SIGKILL after the grace of the pages.
    void terminate(long graceMs = 8000)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGTERM);
        const TimePoint until = Clock::now() + Ms(graceMs);
        while (Clock::now() < until) {
            if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                removeChild(m_pid);
                m_pid = 0;
                return;
            }
            sleepFor(20);
        }
        kill();
    }

    /// @return resident memory in MB
    double memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:"))
                return std::strtod(line.c_str() + 6, nullptr) / 1024.0;
        }
        return 0.0;
    }

private:
    std::string filledTemplate() const
    {
        std::ifstream file("deploy/router.yaml");
        std::stringstream text;
        text << file.rdbuf();
        std::string filled = text.str();
        const std::map<std::string, std::string> values{
                {"{{node_name}}", m_name},
                {"{{zone}}", m_zone},
                {"{{listen.front}}", "127.0.0.1:" + std::to_string(m_front)},
                {"{{listen.readiness}}", "127.0.0.1:" + std::to_string(m_readiness)},
                {"{{ip}}", "127.0.0.1"},
                {"{{port_range.0}}", std::to_string(m_peers)},
                {"{{provider.address}}", "127.0.0.1:" + std::to_string(m_storePort)},
                {"{{#bounds.revoke_ms}}\n", ""},
                {"{{/bounds.revoke_ms}}\n", ""},
                {"{{bounds.revoke_ms}}", "5000"},
        };
        for (const auto &[name, value] : values) {
            for (std::size_t at = filled.find(name); at != std::string::npos;
                 at = filled.find(name))
                filled.replace(at, name.size(), value);
        }
        if (filled.empty() || filled.find("{{") != std::string::npos)
            throw CannotRun("the template of the settings has changed");
        return filled;
    }

    std::string m_name;
    std::string m_zone;
    int m_storePort;
    std::string m_folder;
    int m_front;
    int m_readiness;
    int m_peers;
    pid_t m_pid = 0;
};

/// The platform's balancer for one router: asks once a second whether it is ready, and forwards no
/// new connections after two misses until it is ready again.
class Balancer
{
public:
    explicit Balancer(Router &router) : m_thread([this, &router] { probe(router); }) {}

    ~Balancer()
    {
        m_stop = true;
        m_thread.join();
    }

    bool isInRotation() const { return m_misses < 2; }

private:
    void probe(Router &router)
    {
        for (TimePoint next = Clock::now(); !m_stop; next += Ms(1000)) {
            m_misses = router.isReady() ? 0 : m_misses + 1;
            while (!m_stop && Clock::now() < next + Ms(1000))
                sleepFor(20);
        }
    }

    std::atomic<bool> m_stop = false;
    std::atomic<int> m_misses = 0;
    std::thread m_thread;
};

/// @return folder for settings and logs, which is deleted at the end
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/bilberry-review-XXXXXX";
        if (!::mkdtemp(name))
            throw CannotRun("no temporary folder");
        m_path = name;
    }

    ~TemporaryFolder()
    {
        if (!std::getenv("KEEP"))
            std::system(("rm -rf " + m_path).c_str());
    }

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// @return the spec of a server's entry
inline std::string serverSpec(const std::string &service, const std::string &zone, int port,
                              int slots, long born)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port)
           + R"(","zone":")" + zone + R"(","version":"1","slots":)" + std::to_string(slots)
           + R"(,"state":"ready","warmup_left_ms":0,"sequence":1,"born":)" + std::to_string(born)
           + "}";
}

inline long unixMs()
{
    return static_cast<long>(
            std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

/// Runs a case.
/// @return exit code: 1 when the rule was broken, 0 when it held, 2 when the case couldn't run
inline int runCase(const std::function<bool()> &isBroken)
{
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGTERM, endChildren);
    ::signal(SIGINT, endChildren);
    try {
        const bool broken = isBroken();
        std::printf("%s\n", broken ? "the rule was broken" : "the rule held");
        return broken ? 1 : 0;
    } catch (const std::exception &exception) {
        std::printf("could not run: %s\n", exception.what());
        return 2;
    }
}

} // namespace review

#endif
