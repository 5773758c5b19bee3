#ifndef BILBERRY_DIRECT_TESTS_ROUTERFIXTURE_H
#define BILBERRY_DIRECT_TESTS_ROUTERFIXTURE_H

#include "bilberry/base/digest.h"

#include "support/inprocessrouter.h"
#include "support/scriptedserver.h"

#include <sstream>

namespace bilberry::tests {

/// @return a route to the test plan's pool, with a time limit of 2 s
inline DirectRoute route(const std::string &prefix, RequestKind kind, std::uint32_t attempts)
{
    DirectRoute directRoute;
    directRoute.name = prefix;
    directRoute.host = "h.example";
    directRoute.prefix = prefix;
    directRoute.kind = kind;
    directRoute.maxAttempts = attempts;
    directRoute.pools = {{PoolId("pool"), 1.0}};
    directRoute.timeLimit = std::chrono::seconds(2);
    directRoute.latencyObjective = std::chrono::milliseconds(100);
    return directRoute;
}

/// @return a plan with a route of each kind, one pool and one customer with the key "key"
inline TrafficPlan testPlan()
{
    TrafficPlanParts parts;
    parts.routes = {route("/read/", RequestKind::Idempotent, 2),
                    route("/book/", RequestKind::NonIdempotent, 1),
                    route("/resume/", RequestKind::Stream, 2),
                    route("/stream/", RequestKind::Stream, 1),
                    route("/open/", RequestKind::Idempotent, 1),
                    route("/open-resume/", RequestKind::Stream, 2)};
    parts.routes[2].resumable = true;
    parts.routes[4].isPublic = true;
    parts.routes[5].isPublic = true;
    parts.routes[5].resumable = true;
    parts.pools[PoolId("pool")].id = PoolId("pool");
    parts.customers = {CustomerKeys{CustomerId("kitchen"), {sha256Hex("key")}}};
    return TrafficPlan::create(1, parts).value();
}

/// A router in this process with scripted servers.
class RouterFixture : public InProcessRouter
{
public:
    explicit RouterFixture(const std::vector<ScriptedServer *> &servers,
                           const ChangeSettings &change = {}, const Collections &stored = {},
                           const StartOptions &options = {})
        : InProcessRouter(testPlan(), entriesOf(servers), change, stored, options)
    {
    }

private:
    static std::vector<DirectServer> entriesOf(const std::vector<ScriptedServer *> &servers)
    {
        std::vector<DirectServer> entries;
        for (std::size_t i = 0; i < servers.size(); ++i)
            entries.push_back(loopbackServer("s" + std::to_string(i), servers[i]->port()));
        return entries;
    }
};

/// Accepts a proof of the plan of any age in a test, so that a busy machine refuses no request for
/// it.
inline void acceptOldPlans(direct::DirectSettings &settings)
{
    settings.maxPlanStaleness = std::chrono::seconds(20);
}

/// @return a complete answer to the request r1
inline std::string answer(const std::string &status, const std::string &body,
                          const std::string &fields = "Bilberry-Signature: sig\r\n")
{
    return "HTTP/1.1 " + status + "\r\nBilberry-Request-Id: r1\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return a script that answers each request with the same bytes
inline ScriptedServer::Script always(const std::string &bytes,
                                     ScriptedAnswer::Then then = ScriptedAnswer::Then::KeepOpen)
{
    return [=](const ScriptedRequest &) { return ScriptedAnswer{bytes, then}; };
}

/// Head of a stream in answer to the request r1.
inline const std::string streamHead
        = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
          "Bilberry-Signature: sig\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";

/// The same for a stream whose body has neither a length nor chunks and ends with its connection.
inline const std::string unframedStreamHead
        = "HTTP/1.1 200 OK\r\nBilberry-Request-Id: r1\r\n"
          "Bilberry-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n";

/// @return the data as one chunk of a chunked body
inline std::string chunk(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

} // namespace bilberry::tests

#endif
