#include "standins.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bilberry::review {

namespace json = boost::json;

namespace {

const TimePoint processStart = Clock::now();

constexpr char idField[] = "Bilberrystile-Attempt-Id";
/// Delay after which the platform starts a process again that has ended.
constexpr Milliseconds restartDelay = 500ms;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

int openSocket(int type)
{
    return ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string httpResponse(const std::string &status, const std::string &fields,
                         const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

std::string jsonResponse(const std::string &status, const std::string &body)
{
    return httpResponse(status, "Content-Type: application/json\r\n", body);
}

std::optional<std::string> queryValue(const std::string &query, const std::string &name)
{
    const std::size_t at = ('&' + query).find('&' + name + '=');
    if (at == std::string::npos)
        return std::nullopt;
    const std::size_t begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size())
        text.replace(at, from.size(), to);
}

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::filesystem::path repository()
{
    return std::filesystem::canonical("/proc/self/exe").parent_path().parent_path().parent_path();
}

/// @return the value of a key in the deploy file, such as the command of a role
std::string deployValue(const std::string &key)
{
    const std::string text = readFile(repository() / "deploy/system.toml");
    const std::string begin = "\n" + key + " = \"";
    const std::size_t at = text.find(begin);
    if (at == std::string::npos)
        return "";
    const std::size_t from = at + begin.size();
    return text.substr(from, text.find('"', from) - from);
}

} // namespace

double secondsSinceStart(TimePoint at)
{
    return std::chrono::duration<double>(at - processStart).count();
}

Record::Record(const std::filesystem::path &file) : m_file(file) {}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", secondsSinceStart());
    m_file << time << text << std::endl;
}

std::uint16_t freePort(const std::string &ip)
{
    for (;;) {
        const int tcp = openSocket(SOCK_STREAM);
        const int udp = openSocket(SOCK_DGRAM);
        sockaddr_in address = toSocketAddress({ip, 0});
        socklen_t length = sizeof address;
        const bool bound
                = ::bind(tcp, reinterpret_cast<sockaddr *>(&address), length) == 0
                  && ::getsockname(tcp, reinterpret_cast<sockaddr *>(&address), &length) == 0
                  && ::bind(udp, reinterpret_cast<sockaddr *>(&address), length) == 0;
        ::close(tcp);
        ::close(udp);
        if (bound)
            return ntohs(address.sin_port);
    }
}

Socket::Socket(Socket &&other) noexcept : m_descriptor(std::exchange(other.m_descriptor, -1)) {}

Socket &Socket::operator=(Socket &&other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    return *this;
}

Socket Socket::connect(const Address &to, Milliseconds limit)
{
    Socket socket(openSocket(SOCK_STREAM | SOCK_NONBLOCK));
    const sockaddr_in address = toSocketAddress(to);
    const int status = ::connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address),
                                 sizeof address);
    if (status != 0 && errno != EINPROGRESS)
        return Socket();
    pollfd waiting{socket.m_descriptor, POLLOUT, 0};
    if (::poll(&waiting, 1, static_cast<int>(limit.count())) != 1)
        return Socket();
    int error = 0;
    socklen_t length = sizeof error;
    ::getsockopt(socket.m_descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0)
        return Socket();
    ::fcntl(socket.m_descriptor, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket.m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool Socket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<std::string> Socket::receive(Milliseconds limit)
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (m_descriptor < 0 || ::poll(&waiting, 1, static_cast<int>(limit.count())) != 1)
        return std::nullopt;
    std::string bytes(64U << 10U, '\0');
    const ssize_t size = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (size < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size));
    return bytes;
}

void Socket::shutdown()
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
}

void Socket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[other, value] : fields) {
        if (lowerCase(other) == lowerCase(name))
            return value;
    }
    return "";
}

int Message::status() const
{
    return startLine.starts_with("HTTP/") && startLine.size() >= 12
                   ? std::atoi(startLine.substr(9, 3).c_str())
                   : 0;
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

bool MessageReader::fill(TimePoint deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    if (left <= 0ms)
        return false;
    const auto bytes = m_socket.receive(left);
    if (!bytes || bytes->empty())
        return false;
    m_buffer += *bytes;
    return true;
}

std::optional<Message> MessageReader::read(Milliseconds limit)
{
    const TimePoint deadline = Clock::now() + limit;
    Message message;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return m_buffer.empty() ? std::nullopt : std::optional(message);
    }
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::getline(head, message.startLine);
    if (message.startLine.ends_with('\r'))
        message.startLine.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (line.ends_with('\r'))
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
    }
    if (lowerCase(message.field("Transfer-Encoding")) == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(deadline))
                    return message;
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(deadline))
                    return message;
            }
            message.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = message.field("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (m_buffer.size() < size) {
            if (!fill(deadline))
                return message;
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
    }
    message.complete = true;
    return message;
}

Listener::Listener(const std::string &ip, Handler handler)
    : m_handler(std::move(handler)), m_address{ip, 0}, m_descriptor(openSocket(SOCK_STREAM))
{
    sockaddr_in address = toSocketAddress(m_address);
    socklen_t length = sizeof address;
    if (::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), length) != 0
        || ::listen(m_descriptor, 512) != 0) {
        std::cerr << "can't listen on " << ip << '\n';
        std::exit(NotRun);
    }
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    m_address.port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] {
        for (;;) {
            const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (m_stopping || descriptor < 0) {
                if (descriptor >= 0)
                    ::close(descriptor);
                return;
            }
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(m_mutex);
            Socket &socket = m_sockets.emplace_back(descriptor);
            m_threads.emplace_back([this, &socket] {
                m_handler(socket);
                const std::lock_guard closing(m_mutex);
                socket.close();
            });
        }
    });
}

void Listener::stop()
{
    if (m_stopping.exchange(true))
        return;
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_acceptThread.join();
    ::close(m_descriptor);
    {
        const std::lock_guard lock(m_mutex);
        for (Socket &socket : m_sockets)
            socket.shutdown();
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void Listener::resetAll()
{
    const std::lock_guard lock(m_mutex);
    ::shutdown(m_descriptor, SHUT_RDWR);
    for (Socket &socket : m_sockets) {
        if (!socket.isOpen())
            continue;
        const linger immediate{1, 0};
        ::setsockopt(socket.descriptor(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        // Wakes the thread of the connection, which closes it.
        ::shutdown(socket.descriptor(), SHUT_RD);
    }
}

Store::Store(Record &record) : m_record(record)
{
    m_listener = std::make_unique<Listener>("127.0.0.1", [this](Socket &socket) { serve(socket); });
}

void Store::serve(Socket &socket)
{
    MessageReader reader(socket);
    for (;;) {
        const auto request = reader.read(10min);
        if (!request || !request->complete)
            return;
        if (!socket.send(answer(*request)))
            return;
    }
}

std::string Store::toJson(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":)" + json::serialize(json::string(name)) + R"(,"revision":)"
           + std::to_string(object.revision) + R"(,"create_revision":)"
           + std::to_string(object.createRevision) + R"(,"finalizers":[],"deleting":false},"spec":)"
           + object.spec + R"(,"status":null})";
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects[kind][name];
        if (object.revision > 0 && object.spec == spec)
            return;
        object.spec = spec;
        object.revision = ++m_revision;
        if (object.createRevision == 0)
            object.createRevision = m_revision;
        m_history.push_back({m_revision, kind, toJson(name, object), false});
    }
    m_record.line("store: " + kind + '/' + name + " is written");
    m_changed.notify_all();
}

void Store::remove(const std::string &kind, const std::string &name)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        found->second.revision = ++m_revision;
        m_history.push_back({m_revision, kind, toJson(name, found->second), true});
        m_objects[kind].erase(found);
    }
    m_record.line("store: " + kind + '/' + name + " is removed");
    m_changed.notify_all();
}

void Store::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_listener->stop();
}

std::string Store::answer(const Message &request)
{
    const std::string target = request.target();
    const std::size_t queryAt = std::min(target.find('?'), target.size());
    const std::string query = queryAt < target.size() ? target.substr(queryAt + 1) : "";
    std::string path = target.substr(0, queryAt);
    const std::string prefix = "/v1/objects/";
    if (!path.starts_with(prefix))
        return jsonResponse("404 Not Found", "{}");
    path.erase(0, prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.method() != "GET")
        return answerWrite(request, kind, name);
    if (const auto since = queryValue(query, "watch")) {
        const auto wait = queryValue(query, "wait_ms").value_or("0");
        return jsonResponse("200 OK",
                            watch(kind, std::stoull(*since), Milliseconds(std::stol(wait))));
    }
    if (name.empty())
        return jsonResponse("200 OK", list(kind));
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return jsonResponse("404 Not Found", "{}");
    return jsonResponse("200 OK", toJson(name, found->second));
}

std::string Store::answerWrite(const Message &request, const std::string &kind,
                               const std::string &name)
{
    if (request.method() == "DELETE") {
        remove(kind, name);
        return jsonResponse("200 OK", "{}");
    }
    const json::value body = json::parse(request.body);
    const bool isNew = request.method() == "POST";
    const std::string written
            = isNew ? std::string(body.at("metadata").at("name").as_string()) : name;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_objects[kind].find(written);
        const bool exists = found != m_objects[kind].end();
        if (isNew && exists)
            return jsonResponse("409 Conflict", toJson(written, found->second));
        if (!isNew && !exists)
            return jsonResponse("404 Not Found", "{}");
        const json::value *revision = body.at("metadata").as_object().if_contains("revision");
        if (revision && exists && revision->to_number<std::uint64_t>() != found->second.revision)
            return jsonResponse("409 Conflict", toJson(written, found->second));
    }
    put(kind, written, json::serialize(body.at("spec")));
    const std::lock_guard lock(m_mutex);
    return jsonResponse("200 OK", toJson(written, m_objects[kind][written]));
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + toJson(name, object);
    return R"({"items":[)" + items + R"(],"more_pages":false,"current_rev":)"
           + std::to_string(m_revision) + '}';
}

std::string Store::watch(const std::string &kind, std::uint64_t since, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    m_changed.wait_for(lock, wait, [&] {
        events.clear();
        for (const Change &change : m_history) {
            if (change.revision > since && change.kind == kind)
                events += std::string(events.empty() ? "" : ",") + R"({"removed":)"
                          + (change.removed ? "true" : "false") + R"(,"object":)" + change.object
                          + '}';
        }
        return m_stopping || !events.empty();
    });
    return R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(m_revision) + '}';
}

void Runs::add(const Arrival &arrival)
{
    const std::lock_guard lock(m_mutex);
    m_arrivals.push_back(arrival);
}

std::vector<Arrival> Runs::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

std::size_t Runs::count(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_arrivals.begin(), m_arrivals.end(),
                          [&](const Arrival &arrival) { return arrival.id == id; }));
}

Server::Server(std::string id, std::string service, std::string zone, Runs &runs, Record &record,
               Hook hook)
    : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)), m_runs(runs),
      m_record(record), m_hook(std::move(hook))
{
    m_listener = std::make_unique<Listener>("127.0.0.1", [this](Socket &socket) { serve(socket); });
}

std::string Server::entry(const std::string &state) const
{
    return R"({"service":")" + m_service + R"(","address":")" + m_listener->address().text()
           + R"(","zone":")" + m_zone + R"(","version":"v1","slots":6,"state":")" + state
           + R"(","warmup_left_ms":0,"sequence":4,"born":1700000000000})";
}

void Server::crash()
{
    m_crashed = true;
    m_record.line("server " + m_id + " CRASHES");
    m_listener->resetAll();
}

void Server::serve(Socket &socket)
{
    MessageReader reader(socket);
    for (;;) {
        const auto request = reader.read(10min);
        if (!request || !request->complete)
            return;
        const std::string id = request->field(idField);
        const std::string echo = std::string(idField) + ": " + id + "\r\n";
        const std::string instance = request->field("Bilberrystile-Target-Instance");
        if (!instance.empty() && instance != m_id) {
            m_record.line("server " + m_id + ": request " + id + " is for " + instance + ", 421");
            if (!socket.send(httpResponse("421 Misdirected Request", echo, "")))
                return;
            continue;
        }
        m_runs.add({id, Clock::now(), m_id});
        m_record.line("server " + m_id + " runs request " + id);
        if (m_hook && m_hook(socket, *request))
            return;
        std::this_thread::sleep_for(5ms);
        if (m_crashed)
            return;
        const std::string answer
                = httpResponse("200 OK",
                               echo + "Bilberrystile-Response-Signature: sig." + m_id + '.' + id
                                       + "\r\nKeep-Alive: timeout=5\r\n",
                               "answer to " + id);
        if (!socket.send(answer))
            return;
    }
}

Proxy::Proxy(const std::string &ip, Address target) : m_target(std::move(target))
{
    m_listener = std::make_unique<Listener>(ip, [this](Socket &socket) { forward(socket); });
}

int Proxy::silenceOpen()
{
    ++m_generation;
    return m_open;
}

void Proxy::stop()
{
    m_stopping = true;
    m_listener->stop();
}

void Proxy::forward(Socket &caller)
{
    const int generation = m_generation;
    ++m_open;
    Socket target = Socket::connect(m_target);
    while (target.isOpen() && !m_stopping) {
        pollfd both[] = {{caller.descriptor(), POLLIN, 0}, {target.descriptor(), POLLIN, 0}};
        ::poll(both, 2, 20);
        if (generation != m_generation) {
            // Nothing passes any more in either direction, not even the end of the connection.
            while (!m_stopping)
                std::this_thread::sleep_for(20ms);
            break;
        }
        bool ended = false;
        for (int side = 0; side < 2; ++side) {
            if (both[side].revents == 0)
                continue;
            const auto bytes = (side == 0 ? caller : target).receive(0ms);
            ended = ended || !bytes || bytes->empty()
                    || !(side == 0 ? target : caller).send(*bytes);
        }
        if (ended)
            break;
    }
    --m_open;
}

Router::Router(Place place, const Address &store, const std::filesystem::path &folder,
               Record &record)
    : m_place(std::move(place)), m_record(record), m_front{m_place.ip, freePort(m_place.ip)},
      m_readiness{m_place.ip, freePort(m_place.ip)},
      m_settings(folder / (m_place.name + "-settings.yaml")),
      m_log(folder / (m_place.name + ".log"))
{
    std::string settings = readFile(repository() / deployValue("template"));
    replaceAll(settings, "{{node_name}}", m_place.name);
    replaceAll(settings, "{{zone}}", m_place.zone);
    replaceAll(settings, "{{ip}}", m_place.ip);
    replaceAll(settings, "{{listen.front}}", m_front.text());
    replaceAll(settings, "{{listen.readiness}}", m_readiness.text());
    replaceAll(settings, "{{port_range.0}}", std::to_string(freePort(m_place.ip)));
    replaceAll(settings, "{{provider.address}}", store.text());
    replaceAll(settings, "{{#bounds.revoke_ms}}", "");
    replaceAll(settings, "{{/bounds.revoke_ms}}", "");
    replaceAll(settings, "{{bounds.revoke_ms}}", "5000");
    if (settings.empty() || settings.find("{{") != std::string::npos) {
        std::cerr << "the template of the settings has a placeholder that is not known here\n";
        std::exit(NotRun);
    }
    std::ofstream(m_settings) << settings;
    start();
    m_supervisor = std::thread([this] { supervise(); });
}

void Router::start()
{
    std::vector<std::string> words;
    std::istringstream command(deployValue("run"));
    for (std::string word; command >> word;)
        words.push_back(word == "/etc/bilberrystile/settings.yaml" ? m_settings.string() : word);
    std::vector<char *> arguments;
    for (std::string &word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string folder = repository().string();
    const std::string file = "BILBERRYSTILE_NODE_FILE=" + m_settings.string();
    char path[] = "PATH=/usr/bin:/bin";
    char *environment[] = {path, const_cast<char *>(file.c_str()), nullptr};
    const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const pid_t process = ::fork();
    if (process == 0) {
        // A case that is stopped from outside leaves no router behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, 1);
        ::dup2(log, 2);
        if (::chdir(folder.c_str()) == 0)
            ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
    ::close(log);
    m_process = process;
    ++m_starts;
    m_record.line("router " + m_place.name + " starts as process " + std::to_string(process)
                  + ", front " + m_front.text());
}

void Router::supervise()
{
    while (!m_stopping) {
        int status = 0;
        if (::waitpid(m_process, &status, WNOHANG) != m_process) {
            std::this_thread::sleep_for(10ms);
            continue;
        }
        m_process = -1;
        if (m_stopping)
            return;
        const bool asked = m_isTerminated.exchange(false);
        m_ends += asked ? 0 : 1;
        m_record.line("router " + m_place.name
                      + (asked ? " has ended after SIGTERM, " : " HAS ENDED BY ITSELF, ")
                      + (WIFSIGNALED(status)
                                 ? "by signal " + std::to_string(WTERMSIG(status))
                                 : "with exit code " + std::to_string(WEXITSTATUS(status))));
        std::this_thread::sleep_for(restartDelay);
        if (!m_stopping)
            start();
    }
}

void Router::terminate()
{
    m_isTerminated = true;
    m_record.line("router " + m_place.name + " gets SIGTERM");
    ::kill(m_process, SIGTERM);
}

bool Router::isReady() const
{
    Socket socket = Socket::connect(m_readiness);
    if (!socket.isOpen() || !socket.send("GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n"))
        return false;
    const auto answer = MessageReader(socket).read(1s);
    return answer && answer->status() == 200;
}

void Router::stop()
{
    if (m_stopping.exchange(true))
        return;
    m_supervisor.join();
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

Fleet::Fleet(const std::filesystem::path &caseFolder)
    : record(caseFolder / "record.txt"), folder([] {
          std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
          return std::filesystem::path(::mkdtemp(name.data()));
      }()),
      store(record)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!std::filesystem::exists(repository() / "target/bin/bilberryd")) {
        std::cerr << "target/bin/bilberryd is missing: build the deploy file first\n";
        std::exit(NotRun);
    }
    store.put("config", "main", configuration(7, std::string("[") + tenant + "]"));
}

Fleet::~Fleet()
{
    for (const auto &router : routers)
        router->stop();
    for (const auto &proxy : proxies)
        proxy->stop();
    store.stop();
    const char *kept = std::getenv("KEEP");
    if (!kept)
        std::filesystem::remove_all(folder);
}

void Fleet::startRouters(int count, bool throughProxy)
{
    static const char *const zones[] = {"adum", "suame", "bantama"};
    for (int i = 0; i < count; ++i) {
        const std::string ip = "127.0.77." + std::to_string(i + 1);
        const std::string zone = zones[i % 3];
        if (throughProxy)
            proxies.push_back(std::make_unique<Proxy>(ip, store.address()));
        const Address &address = throughProxy ? proxies.back()->address() : store.address();
        routers.push_back(std::make_unique<Router>(
                Router::Place{"edge-" + zone + '-' + std::to_string(i / 3 + 1), zone, ip}, address,
                folder, record));
    }
}

bool Fleet::awaitReady() const
{
    const TimePoint deadline = Clock::now() + 20s;
    while (Clock::now() < deadline) {
        if (std::all_of(routers.begin(), routers.end(),
                        [](const auto &router) { return router->isReady(); }))
            return true;
        std::this_thread::sleep_for(50ms);
    }
    std::cerr << "the routers are not ready\n";
    return false;
}

std::string Fleet::configuration(int version, const std::string &tenants)
{
    const auto route = [](const std::string &name, const std::string &prefix,
                          const std::string &kind, int attempts) {
        return R"({"name":")" + name + R"(","host":"ficu95.example","path_prefix":")" + prefix
               + R"(","kind":")" + kind
               + R"(","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"wuno96b",)"
               + R"("max_attempts":)" + std::to_string(attempts)
               + R"(,"public":false,"sticky":false,"resumable":false})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
           + route("r-mvtdhbj", "/puxa403/", "non_idempotent", 1) + ','
           + route("r-3j6q5rm", "/cufi504/", "idempotent", 2)
           + R"(],"services":[{"name":"wuno96b","health_path":"/healthz","max_connections":100,)"
           + R"("protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}],)"
           + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)" + tenants + '}';
}

Traffic::Traffic(Fleet &fleet, int perRouter, Milliseconds pause, bool bookings) : m_fleet(fleet)
{
    for (const auto &router : fleet.routers) {
        for (int i = 0; i < perRouter; ++i)
            m_threads.emplace_back(
                    [this, &router, pause, bookings] { run(*router, pause, bookings); });
    }
}

void Traffic::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void Traffic::run(const Router &router, Milliseconds pause, bool bookings)
{
    Socket socket;
    for (bool isBooking = false; !m_stopping; isBooking = bookings && !isBooking) {
        std::this_thread::sleep_for(pause);
        if (!socket.isOpen())
            socket = Socket::connect(router.front());
        if (!socket.isOpen())
            continue;
        const std::string id = newRequestId();
        const TimePoint sentAt = Clock::now();
        const bool sent = socket.send(
                isBooking ? requestText("POST", bookingPath, id, apiKey, 2500, "pallets=2")
                          : requestText("GET", readPath, id, apiKey, 2500));
        const auto answer = sent ? MessageReader(socket).read(4s) : std::nullopt;
        const bool whole = answer && answer->complete;
        m_fleet.record.line(std::string("client: ") + (isBooking ? "booking " : "read ") + id
                            + " at " + router.name() + " gets "
                            + (whole ? std::to_string(answer->status()) : "no whole answer"));
        if (!whole || answer->field("Connection") == "close")
            socket.close();
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back({sentAt, whole ? answer->status() : 0});
    }
}

Traffic::Counts Traffic::countSince(TimePoint from) const
{
    Counts counts;
    const std::lock_guard lock(m_mutex);
    for (const Outcome &outcome : m_outcomes) {
        if (outcome.sentAt < from)
            continue;
        ++counts.sent;
        if (outcome.status == 200)
            ++counts.served;
        else if (outcome.status == 503)
            ++counts.refused;
        else if (outcome.status > 0)
            ++counts.failed;
        else
            ++counts.unanswered;
    }
    return counts;
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> next = std::random_device()();
    char text[24];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(0x1000000000000000ULL + ++next));
    return text;
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &key, int deadlineMs, const std::string &body)
{
    std::string text
            = method + ' ' + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" + idField + ": " + id
              + "\r\nBilberrystile-Deadline-Remaining: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty())
        text += "Authorization: Bearer " + key + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace bilberry::review
