#include "soakfleet.h"

#include "support/fleet.h"
#include "support/rawcaller.h"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace bilberry::soak {

using namespace std::chrono_literals;
using tests::ScriptedAnswer;
using tests::ScriptedRequest;

namespace {

constexpr std::size_t serverCount = 4;
constexpr std::size_t routerCount = 3;
constexpr auto readyTimeout = 15s;

RequestKind kindOf(const std::string &head)
{
    if (head.find(" /book/") != std::string::npos)
        return RequestKind::Booking;
    return head.find(" /watch/") != std::string::npos ? RequestKind::Stream : RequestKind::Read;
}

std::string chunk(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

std::string head(const std::string &status, const std::string &id, const std::string &more)
{
    return "HTTP/1.1 " + status + "\r\nBilberrystile-Attempt-Id: " + id + "\r\n" + more;
}

std::string route(const char *name, const char *kind, int attempts, const char *more)
{
    return R"({"name":")" + std::string(name) + R"(","host":"h.example","path_prefix":"/)" + name
           + R"(/","kind":")" + kind
           + R"(","timeout_ms":2000,"target_latency_ms":200,"service":"orders","max_attempts":)"
           + std::to_string(attempts) + more + "}";
}

} // namespace

SoakServer::SoakServer(std::size_t number, std::uint64_t seed, InvariantChecker &checker)
    : m_number(number), m_checker(checker), m_random(seed + number),
      m_server(std::make_unique<tests::ScriptedServer>(
              [this](const ScriptedRequest &request) { return answer(request); })),
      m_proxy(std::make_unique<tests::TcpProxy>(m_server->port()))
{
}

std::string SoakServer::name() const
{
    return "s" + std::to_string(m_number);
}

std::string SoakServer::zone() const
{
    return m_number % 2 == 0 ? "a" : "b";
}

std::string SoakServer::spec(bool draining) const
{
    return R"({"service":"orders","slots":8,"zone":")" + zone() + R"(","state":")"
           + (draining ? "draining" : "ready") + R"(","born":)" + std::to_string(m_startCount)
           + R"(,"address":"127.0.0.1:)" + std::to_string(m_proxy->port()) + "\"}";
}

double SoakServer::randomFraction()
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

bool SoakServer::pathIsFaultless()
{
    const tests::ProxyFaults &faults = m_proxy->faults();
    return !faults.cut && !faults.mute && !faults.muteToClient && !faults.muteToServer
           && faults.delayMs == 0;
}

ScriptedAnswer SoakServer::answer(const ScriptedRequest &request)
{
    const std::string id = request.field("Bilberrystile-Attempt-Id");
    const std::string signature = "Bilberrystile-Response-Signature: sig\r\n";
    const bool faulty = randomFraction() < m_faultShare;
    const double faultKind = randomFraction();
    if (request.field("Bilberrystile-Target-Instance") != name())
        return {head("421 x", id, "Content-Length: 0\r\n\r\n")};
    if (faulty && faultKind < 0.3)
        return {head("503 x", id, "Bilberrystile-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")};
    const bool faultless = pathIsFaultless();
    m_checker.recordRun(id, {m_number, Clock::now(), faultless && !faulty});
    std::this_thread::sleep_for(
            std::chrono::milliseconds(2 + static_cast<int>(10 * randomFraction())));
    if (faulty && faultKind < 0.5)
        return {"", ScriptedAnswer::Then::Reset};
    const RequestKind kind = kindOf(request.head);
    if (kind == RequestKind::Stream) {
        const std::string last = request.field("Last-Event-Id");
        return streamFrom(id, last.empty() ? 1 : std::stoi(last) + 1, faulty);
    }
    if (faulty && faultKind < 0.7)
        return {head("500 x", id, signature + "Content-Length: 4\r\n\r\noops")};
    const std::string body = expectedBody(kind, id);
    std::string text = head("200 OK", id,
                            signature + "Content-Length: " + std::to_string(body.size())
                                    + "\r\n\r\n" + body);
    if (!faulty)
        return {text};
    text.resize(text.size() - body.size() / 2);
    return {text, ScriptedAnswer::Then::Close};
}

ScriptedAnswer SoakServer::streamFrom(const std::string &id, int first, bool breakOff) const
{
    std::string text = head("200 OK", id,
                            "Bilberrystile-Response-Signature: sig\r\n"
                            "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = first; i <= streamEvents; ++i) {
        const std::string event = streamEvent(id, i);
        // Breaks off in the middle of an event.
        if (breakOff && i > streamEvents / 2)
            return {text + chunk(event.substr(0, event.size() / 2)), ScriptedAnswer::Then::Reset};
        text += chunk(event);
    }
    return {text + "0\r\n\r\n"};
}

SoakRouter::SoakRouter(std::size_t number, std::uint16_t storePort, std::filesystem::path folder)
    : m_folder(std::move(folder)), m_callers(tests::freePort()), m_readiness(tests::freePort()),
      m_storeProxy(std::make_unique<tests::TcpProxy>(storePort))
{
    std::filesystem::create_directories(m_folder);
    const auto listen = [](std::uint16_t port) {
        return "  listen: 127.0.0.1:" + std::to_string(port) + "\n";
    };
    std::ofstream(m_folder / "settings.yaml")
            << "role: direct-router\nname: r" << number << "\nzone: " << (number % 2 ? "b" : "a")
            << "\nlog:\n  format: json\ncallers:\n"
            << listen(m_callers) << "readiness:\n"
            << listen(m_readiness) << "  path: /v1/readyz\n  balancerLagMs: 300\nmetrics:\n"
            << listen(tests::freePort()) << "peers:\n"
            << listen(tests::freePort()) << "store:\n  address: 127.0.0.1:" << m_storeProxy->port()
            << "\n";
    start();
}

void SoakRouter::start()
{
    m_process = std::make_unique<tests::Process>(
            BILBERRY_BIN "/bilberryd",
            std::vector<std::string>{"--settings", (m_folder / "settings.yaml").string()},
            (m_folder / "log").string());
}

bool SoakRouter::ready() const
{
    // Connections are refused until the process listens on the port.
    try {
        tests::RawCaller caller(m_readiness);
        caller.send("GET /v1/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        return caller.readAnswer().status() == 200;
    } catch (const std::exception &) {
        return false;
    }
}

SoakFleet::SoakFleet(std::uint64_t seed, InvariantChecker &checker,
                     const std::filesystem::path &folder)
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        m_servers.push_back(std::make_unique<SoakServer>(i, seed, checker));
        putServer(*m_servers.back(), false);
    }
    configure(true);
    for (std::size_t i = 0; i < routerCount; ++i)
        m_routers.push_back(std::make_unique<SoakRouter>(i, m_store.port(),
                                                         folder / ("r" + std::to_string(i))));
    if (!tests::eventually([this] { return allReady(); }, readyTimeout))
        throw std::runtime_error("the routers did not become ready");
}

bool SoakFleet::allReady() const
{
    return std::all_of(m_routers.begin(), m_routers.end(),
                       [](const auto &router) { return router->ready(); });
}

std::set<std::size_t> SoakFleet::serversOf(const std::string &zone) const
{
    std::set<std::size_t> found;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (m_servers[i]->zone() == zone)
            found.insert(i);
    }
    return found;
}

void SoakFleet::putServer(SoakServer &server, bool draining)
{
    m_store.put("servers", server.name(), server.spec(draining));
}

void SoakFleet::configure(bool withKey)
{
    m_version += 2;
    m_store.put("config", "main",
                R"({"version":)" + std::to_string(m_version) + R"(,"routes":[)"
                        + route("book", "non_idempotent", 2, "") + ","
                        + route("read", "idempotent", 2, "") + ","
                        + route("watch", "streaming", 3, R"(,"resumable":true)")
                        + R"(],"services":[{"name":"orders","max_connections":200}],)"
                        + R"("tenants":[{"name":"kitchen","api_keys":["steady"]},)"
                        + R"({"name":"guest","api_keys":[)" + (withKey ? R"("guest")" : "")
                        + "]}]}");
}

} // namespace bilberry::soak
