#include "support/storestandin.h"

#include <boost/json.hpp>

#include <thread>

namespace bilberry::tests {

namespace json = boost::json;

namespace {

constexpr std::string_view objectsPath = "/v1/objects/";
constexpr Duration slowDelay = std::chrono::milliseconds(400);

std::string httpResponse(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
           + " x\r\nContent-Type: application/json\r\n"
             "Content-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string objectJson(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"("},"spec":)" + (spec.empty() ? "{}" : spec) + "}";
}

/// @return value of a key in the query; the fallback when it is absent
std::uint64_t queryNumber(const std::string &query, const std::string &key, std::uint64_t fallback)
{
    const std::size_t at = query.find(key + "=");
    return at == std::string::npos ? fallback : std::stoull(query.substr(at + key.size() + 1));
}

} // namespace

StoreStandIn::StoreStandIn()
    : m_server(std::make_unique<ScriptedServer>(
            [this](const ScriptedRequest &request) { return answer(request); }))
{
}

StoreStandIn::~StoreStandIn()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

void StoreStandIn::setMode(Mode mode)
{
    {
        const std::lock_guard lock(m_mutex);
        m_mode = mode;
    }
    m_changed.notify_all();
}

void StoreStandIn::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    m_forgotten = m_revision;
    m_history.clear();
}

void StoreStandIn::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    change(kind, name, spec, false);
}

void StoreStandIn::remove(const std::string &kind, const std::string &name)
{
    change(kind, name, "", true);
}

bool StoreStandIn::contains(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_objects[kind].contains(name);
}

void StoreStandIn::change(const std::string &kind, const std::string &name, const std::string &spec,
                          bool removed)
{
    {
        const std::lock_guard lock(m_mutex);
        if (removed && m_objects[kind].erase(name) == 0)
            return;
        if (!removed)
            m_objects[kind][name] = spec;
        m_history.push_back({++m_revision, kind, name, spec, removed});
    }
    m_changed.notify_all();
}

ScriptedAnswer StoreStandIn::answer(const ScriptedRequest &request)
{
    Mode mode = Mode::Healthy;
    {
        const std::lock_guard lock(m_mutex);
        mode = m_mode;
    }
    if (mode == Mode::Silent)
        return {"", ScriptedAnswer::Then::StaySilent};
    if (mode == Mode::Unavailable)
        return {httpResponse(503, "{}")};
    if (mode == Mode::Slow)
        std::this_thread::sleep_for(slowDelay);
    const std::size_t methodEnd = request.head.find(' ');
    const std::string method = request.head.substr(0, methodEnd);
    std::string target = request.head.substr(methodEnd + 1,
                                             request.head.find(' ', methodEnd + 1) - methodEnd - 1);
    const std::size_t queryAt = std::min(target.find('?'), target.size());
    const std::string query = target.substr(queryAt);
    target.resize(queryAt);
    if (!target.starts_with(objectsPath))
        return {httpResponse(404, "{}")};
    target.erase(0, objectsPath.size());
    const std::size_t slash = target.find('/');
    const std::string kind = target.substr(0, slash);
    if (method == "GET" && query.find("watch=") != std::string::npos) {
        const std::string changes
                = watch(kind, queryNumber(query, "watch", 0),
                        std::chrono::milliseconds(queryNumber(query, "wait_ms", 1000)));
        if (changes == "silent")
            return {"", ScriptedAnswer::Then::StaySilent};
        return {changes.empty() ? httpResponse(410, "{}") : httpResponse(200, changes)};
    }
    if (method == "GET")
        return {httpResponse(200, list(kind))};
    if (method == "DELETE") {
        remove(kind, target.substr(slash + 1));
        return {httpResponse(200, "{}")};
    }
    const json::value body = json::parse(request.body);
    put(kind, std::string(body.at("metadata").at("name").as_string()),
        json::serialize(body.at("spec")));
    return {httpResponse(200, "{}")};
}

std::string StoreStandIn::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[name, spec] : m_objects[kind])
        items += (items.empty() ? "" : ",") + objectJson(name, spec);
    return R"({"items":[)" + items + R"(],"more_pages":false,"current_rev":)"
           + std::to_string(m_revision) + "}";
}

/// @return the changes as JSON; empty when the history no longer has them, "silent" when the store
///         is in silent mode
std::string StoreStandIn::watch(const std::string &kind, std::uint64_t since, Duration wait)
{
    std::unique_lock lock(m_mutex);
    if (since < m_forgotten)
        return "";
    std::string events;
    const auto collect = [&] {
        for (const Change &change : m_history) {
            if (change.revision <= since || change.kind != kind)
                continue;
            events += (events.empty() ? "" : ",")
                      + (R"({"object":)" + objectJson(change.name, change.spec)) + R"(,"removed":)"
                      + (change.removed ? "true" : "false") + "}";
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, wait,
                       [&] { return m_stopping || m_mode == Mode::Silent || collect(); });
    if (m_mode == Mode::Silent)
        return "silent";
    return R"({"events":[)" + events + R"(],"current_rev":)" + std::to_string(m_revision) + "}";
}

} // namespace bilberry::tests
