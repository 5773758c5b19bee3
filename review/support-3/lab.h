// A small deployment on loopback for the cases of the third review: the users' store, servers and
// clients as threads of this program, and the routers as processes of their own.
#ifndef REVIEW_SUPPORT_3_LAB_H
#define REVIEW_SUPPORT_3_LAB_H

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
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
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point startOfRun = Clock::now();

/// @return seconds since the start of this program
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startOfRun).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0.0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// Lines of record.txt.
class Record
{
public:
    void open(const std::string &path) { m_out.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", now());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// An HTTP message: its first line, fields with names in lower case, and body.
struct Message
{
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + first.find(' ') + 1) : 0;
    }
};

/// A connected socket with a read buffer.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd) {}
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    /// Ends the connection with a reset.
    void reset()
    {
        const linger option{1, 0};
        if (m_fd >= 0)
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }
    /// Ends the connection for both sides while another thread may still use it.
    void shutDown() const { ::shutdown(m_fd, SHUT_RDWR); }

    bool send(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads more bytes.
    /// @return false at the end of the connection, after a reset, or when the time is over
    bool fill(double until)
    {
        const int ms = static_cast<int>(std::max(0.0, (until - now()) * 1000.0));
        pollfd ready{m_fd, POLLIN, 0};
        if (::poll(&ready, 1, ms) <= 0) {
            timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            wasReset = n < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    /// @return true when the peer has ended the connection
    bool hasEnded() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads a message's first line and fields.
    std::optional<Message> readHead(double until)
    {
        std::size_t end = std::string::npos;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return std::nullopt;
        }
        Message message;
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::getline(lines, message.first);
        if (!message.first.empty() && message.first.back() == '\r')
            message.first.pop_back();
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields[lower(line.substr(0, colon))] = value;
        }
        return message;
    }

    /// Reads a message's body by its length or chunks.
    /// @param onData called with each piece of the body
    bool readBody(Message &message, double until,
                  const std::function<void(const std::string &)> &onData = {})
    {
        if (lower(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                std::size_t end = 0;
                while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(until))
                        return false;
                }
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                m_buffer.erase(0, end + 2);
                while (m_buffer.size() < size + 2) {
                    if (!fill(until))
                        return false;
                }
                message.body += m_buffer.substr(0, size);
                if (onData && size > 0)
                    onData(m_buffer.substr(0, size));
                m_buffer.erase(0, size + 2);
                if (size == 0)
                    return true;
            }
        }
        const std::size_t length
                = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (m_buffer.size() < length) {
            if (!fill(until))
                return false;
        }
        message.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        if (onData && length > 0)
            onData(message.body);
        return true;
    }

    std::optional<Message> readMessage(double until)
    {
        auto message = readHead(until);
        if (message && !readBody(*message, until))
            return std::nullopt;
        return message;
    }

    bool timedOut = false;
    bool wasReset = false;

private:
    int m_fd;
    std::string m_buffer;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @return a port on loopback that nobody uses for TCP or UDP
inline int freePort()
{
    static std::set<int> given;
    for (;;) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        int port = 0;
        if (::bind(tcp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &size) == 0
            && ::bind(udp, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
            port = ntohs(address.sin_port);
        ::close(tcp);
        ::close(udp);
        if (port != 0 && given.insert(port).second)
            return port;
    }
}

/// @return a connection, or null when nobody listens
inline ConnectionPtr connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<Connection>(fd);
}

/// Accepts connections on a port and serves each in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(const ConnectionPtr &)>;

    Listener(int port, Serve serve) : m_port(port), m_serve(std::move(serve)) {}
    ~Listener() { stop(); }

    /// Opens the port.
    void start()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(m_port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        m_stopping = false;
        m_thread = std::thread([this] { run(); });
    }

    /// Closes the port and ends all its connections, as the end of a process does.
    void stop()
    {
        const std::lock_guard stopping(m_stopMutex);
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &weak : m_connections) {
                if (const auto connection = weak.lock()) {
                    const linger option{1, 0};
                    ::setsockopt(connection->fd(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
                    connection->shutDown();
                }
            }
            m_connections.clear();
        }
        while (m_active > 0)
            sleepFor(0.002);
    }

    int port() const { return m_port; }

private:
    void run()
    {
        while (!m_stopping) {
            pollfd ready{m_fd, POLLIN, 0};
            if (::poll(&ready, 1, 20) <= 0)
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const auto connection = std::make_shared<Connection>(fd);
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_connections, [](const auto &weak) { return weak.expired(); });
                m_connections.push_back(connection);
            }
            ++m_active;
            std::thread([this, held = connection]() mutable {
                m_serve(held);
                held.reset();
                --m_active;
            }).detach();
        }
        ::close(m_fd);
    }

    int m_port;
    Serve m_serve;
    int m_fd = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_active = 0;
    std::mutex m_stopMutex;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::thread m_thread;
};

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The users' store: objects with one revision counter, lists, watches and writes. Each router may
/// reach it at a port of its own, so that it can turn some of them away.
class Store
{
public:
    enum class Mode { Up, Busy, Silent, Reset };

    ~Store()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        for (const auto &listener : m_listeners)
            listener->stop();
    }

    /// @return another port at which the store answers
    int open()
    {
        const int port = freePort();
        m_modes[port] = Mode::Up;
        m_listeners.push_back(std::make_unique<Listener>(
                port, [this, port](const ConnectionPtr &connection) { serve(connection, port); }));
        m_listeners.back()->start();
        return port;
    }

    void setMode(int port, Mode mode)
    {
        const std::lock_guard lock(m_mutex);
        m_modes[port] = mode;
        m_changed.notify_all();
    }

    void setModes(Mode mode)
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[port, current] : m_modes)
            current = mode;
        m_changed.notify_all();
    }

    /// Writes as the operator or a server does.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        change(kind, name, spec, false);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        if (m_objects[kind].contains(name))
            change(kind, name, "", true);
    }

    /// Keeps a copy of all that the store holds.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_objects;
        m_copyRevision = m_revision;
    }
    /// Brings the copy back.
    void restore()
    {
        const std::lock_guard lock(m_mutex);
        m_objects = m_copy;
        m_revision = m_copyRevision;
        std::erase_if(m_history, [this](const Change &c) { return c.revision > m_revision; });
        ++m_era;
        m_changed.notify_all();
    }

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        std::string spec;
        bool removed = false;
    };

    static std::string object(const std::string &name, const std::string &spec,
                              std::uint64_t revision)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
               + R"(,"create_revision":1,"finalizers":[],"deleting":false},"spec":)"
               + (spec.empty() ? "null" : spec) + R"(,"status":null})";
    }

    void change(const std::string &kind, const std::string &name, const std::string &spec,
                bool removed)
    {
        auto &objects = m_objects[kind];
        if (!removed && objects.contains(name) && objects[name] == spec)
            return;
        ++m_revision;
        if (removed)
            objects.erase(name);
        else
            objects[name] = spec;
        m_history.push_back({m_revision, kind, name, spec, removed});
        m_changed.notify_all();
    }

    static std::string queryField(const std::string &target, const std::string &name)
    {
        const auto at = target.find(name + "=");
        if (at == std::string::npos)
            return "";
        const auto begin = at + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    void serve(const ConnectionPtr &connection, int port)
    {
        while (auto request = connection->readMessage(now() + 3600.0)) {
            std::unique_lock lock(m_mutex);
            const auto mode = m_modes[port];
            if (mode == Mode::Silent) {
                m_changed.wait(lock, [&] { return m_stopping || m_modes[port] != Mode::Silent; });
                return;
            }
            if (mode == Mode::Reset) {
                connection->reset();
                return;
            }
            const std::string answer
                    = mode == Mode::Busy ? respond(503, "{}") : handle(*request, lock, port);
            const bool isCut = m_modes[port] == Mode::Silent || m_modes[port] == Mode::Reset;
            lock.unlock();
            if (isCut || m_stopping || !connection->send(answer))
                return;
        }
    }

    std::string respond(int status, const std::string &body)
    {
        return response(status,
                        "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era)
                                + "\r\n",
                        body);
    }

    std::string handle(const Message &request, std::unique_lock<std::mutex> &lock, int port)
    {
        const std::string target = request.target();
        const std::string prefix = "/v1/objects/";
        if (!target.starts_with(prefix))
            return respond(404, "{}");
        std::string path = target.substr(prefix.size(), target.find('?') - prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        if (request.method() == "GET" && name.empty()) {
            const std::string since = queryField(target, "watch");
            if (since.empty())
                return respond(200, list(kind));
            return watch(kind, std::stoull(since),
                         std::atof(queryField(target, "wait_ms").c_str()) / 1000.0, lock, port);
        }
        return write(request, kind, name);
    }

    std::string list(const std::string &kind)
    {
        std::string items;
        for (const auto &[name, spec] : m_objects[kind])
            items += (items.empty() ? "" : ",") + object(name, spec, m_revision);
        return R"({"items":[)" + items + R"(],"more_pages":false,"current_rev":)"
               + std::to_string(m_revision) + "}";
    }

    std::string watch(const std::string &kind, std::uint64_t since, double wait,
                      std::unique_lock<std::mutex> &lock, int port)
    {
        if (since > m_revision)
            return respond(410, "{}");
        const auto era = m_era;
        const auto until = Clock::now()
                           + std::chrono::duration_cast<Clock::duration>(
                                   std::chrono::duration<double>(wait));
        for (;;) {
            std::string events;
            for (const Change &c : m_history) {
                if (c.revision > since && c.kind == kind)
                    events += (events.empty() ? "" : ",") + std::string(R"({"removed":)")
                              + (c.removed ? "true" : "false") + R"(,"object":)"
                              + object(c.name, c.spec, c.revision) + "}";
            }
            const bool isOver = m_changed.wait_until(lock, until, [&] {
                return !events.empty() || m_stopping || m_era != era || m_modes[port] != Mode::Up
                       || hasChange(kind, since);
            });
            if (m_era != era)
                return respond(410, "{}");
            if (m_modes[port] == Mode::Busy)
                return respond(503, "{}");
            if (!events.empty() || m_stopping || !isOver || m_modes[port] != Mode::Up)
                return respond(200, R"({"events":[)" + events + R"(],"current_rev":)"
                                            + std::to_string(m_revision) + "}");
        }
    }

    bool hasChange(const std::string &kind, std::uint64_t since) const
    {
        return std::any_of(m_history.begin(), m_history.end(),
                           [&](const Change &c) { return c.kind == kind && c.revision > since; });
    }

    std::string write(const Message &request, const std::string &kind, std::string name)
    {
        const std::string &body = request.body;
        if (name.empty()) {
            const auto at = body.find(R"("name":")") + 8;
            name = body.substr(at, body.find('"', at) - at);
        }
        const bool exists = m_objects[kind].contains(name);
        if (request.method() == "DELETE") {
            if (!exists)
                return respond(404, "{}");
            change(kind, name, "", true);
            return respond(200, "{}");
        }
        if (request.method() == "POST" && exists)
            return respond(409, "{}");
        if (request.method() == "PUT" && !exists)
            return respond(404, "{}");
        const auto at = body.find(R"("spec":)");
        std::string spec = at == std::string::npos ? "null" : body.substr(at + 7);
        if (!spec.empty())
            spec.pop_back();
        change(kind, name, spec, false);
        return respond(200, object(name, spec, m_revision));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<int, Mode> m_modes;
    std::vector<std::unique_ptr<Listener>> m_listeners;
    std::map<std::string, std::map<std::string, std::string>> m_objects;
    std::map<std::string, std::map<std::string, std::string>> m_copy;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_copyRevision = 1;
    std::uint64_t m_era = 1;
    bool m_stopping = false;
};

/// A router, started with the command, template and environment of the deploy file.
class Router
{
public:
    Router(std::string folder, std::string name, std::string zone, int storePort)
        : front(freePort()), readiness(freePort()), peers(freePort()), storePort(storePort),
          m_folder(std::move(folder)), m_name(std::move(name)), m_zone(std::move(zone))
    {
    }
    ~Router() { kill(); }

    /// @param root folder of the repository
    void start(const std::string &root)
    {
        writeSettings(root);
        const std::string settings = m_folder + "/" + m_name + ".yaml";
        const std::string log = m_folder + "/" + m_name + ".log";
        const std::string program = root + "/target/bin/bilberryd";
        const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
        const pid_t parent = ::getpid();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(2);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            const char *arguments[] = {program.c_str(), "--settings", settings.c_str(), nullptr};
            const char *environment[]
                    = {"BILBERRY_VM_MEMORY_MB=260", "BILBERRY_VM_DESCRIPTORS=4100", nullptr};
            ::execve(program.c_str(), const_cast<char **>(arguments),
                     const_cast<char **>(environment));
            ::_exit(127);
        }
        ::close(fd);
    }

    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    /// @return exit status once the process has ended
    std::optional<int> exitStatus()
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = -1;
        return status;
    }
    const std::string &name() const { return m_name; }

    bool isReady() const
    {
        const auto connection = connectTo(readiness);
        if (!connection)
            return false;
        connection->send("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const auto answer = connection->readMessage(now() + 1.0);
        return answer && answer->status() == 200;
    }

    const int front;
    const int readiness;
    const int peers;
    const int storePort;

private:
    void writeSettings(const std::string &root) const
    {
        std::ifstream in(root + "/deploy/router.yaml");
        std::stringstream text;
        text << in.rdbuf();
        std::string settings = text.str();
        const std::string loopbackPort = "127.0.0.1:";
        const std::vector<std::pair<std::string, std::string>> values = {
                {"{{node_name}}", m_name},
                {"{{zone}}", m_zone},
                {"{{listen.front}}", loopbackPort + std::to_string(front)},
                {"{{listen.readiness}}", loopbackPort + std::to_string(readiness)},
                {"{{ip}}:{{port_range.0}}", loopbackPort + std::to_string(peers)},
                {"{{provider.address}}", loopbackPort + std::to_string(storePort)},
                {"{{#bounds.revoke_ms}}\n", ""},
                {"{{/bounds.revoke_ms}}\n", ""},
                {"{{bounds.revoke_ms}}", "5000"},
        };
        for (const auto &[from, to] : values) {
            for (auto at = settings.find(from); at != std::string::npos; at = settings.find(from))
                settings.replace(at, from.size(), to);
        }
        std::ofstream(m_folder + "/" + m_name + ".yaml") << settings;
    }

    std::string m_folder;
    std::string m_name;
    std::string m_zone;
    pid_t m_pid = -1;
};

/// @return an id that no other call returns
inline std::string newId()
{
    static std::atomic<unsigned> next = 1;
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), next++);
    return text;
}

/// What a client got.
struct Answer
{
    int status = 0;     ///< 0: none
    bool whole = false; ///< the answer is complete
    std::string body;
    std::string retryAfter;
    double at = 0.0; ///< end
};

struct Request
{
    std::string method = "GET";
    std::string path;
    std::string key;
    std::string fields;
    std::string body;
    int deadlineMs = 2500;
    std::string id = newId();
};

inline std::string serialize(const Request &request)
{
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: shop.example\r\n"
           + "Bilberrystile-Attempt-Id: " + request.id
           + "\r\nBilberrystile-Deadline-Remaining: " + std::to_string(request.deadlineMs) + "\r\n"
           + (request.key.empty() ? "" : "Authorization: Bearer " + request.key + "\r\n")
           + request.fields
           + (request.method == "GET"
                      ? ""
                      : "Content-Length: " + std::to_string(request.body.size()) + "\r\n")
           + "\r\n" + request.body;
}

/// Sends a request on a new connection and reads the answer until the client's deadline.
inline Answer ask(int port, const Request &request)
{
    Answer answer;
    const double until = now() + request.deadlineMs / 1000.0;
    const auto connection = connectTo(port);
    if (connection && connection->send(serialize(request))) {
        auto message = connection->readHead(until);
        if (message) {
            answer.status = message->status();
            answer.retryAfter = message->field("retry-after");
            answer.whole = connection->readBody(*message, until);
            answer.body = message->body;
        }
    }
    answer.at = now();
    return answer;
}

inline std::string env(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

/// Removes a temporary folder; the variable KEEP names one where its files are kept.
inline void removeFolder(const std::string &folder)
{
    std::error_code ignored;
    if (const std::string kept = env("KEEP", ""); !kept.empty())
        std::filesystem::copy(folder, kept, std::filesystem::copy_options::recursive, ignored);
    std::filesystem::remove_all(folder, ignored);
}

/// @return a new temporary folder
inline std::string temporaryFolder()
{
    std::string path = env("TMPDIR", "/tmp") + "/review3-XXXXXX";
    if (!::mkdtemp(path.data()))
        std::exit(2);
    return path;
}

} // namespace lab

#endif
