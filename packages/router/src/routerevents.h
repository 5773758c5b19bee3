#ifndef BILBERRY_ROUTER_ROUTEREVENTS_H
#define BILBERRY_ROUTER_ROUTEREVENTS_H

#include "bilberry/decision/virtualtimetracker.h"
#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"
#include "bilberry/router/claimevents.h"
#include "bilberry/store/objectstore.h"

#include <optional>

/// What the rings between the duties of a router carry.
namespace bilberry::router {

struct AgentDown
{
    ServerId server;
};
struct AgentReceived
{
    ServerId server;
    wire::LinkMessage message;
};
struct RemoteTotal
{
    decision::ServiceKey key;
    decision::RemoteService remote;
    bool aggregatorChanged = false;
};
using CoreEvent = std::variant<CallerEvent, ClaimOpened, wire::AgentHello, AgentDown, AgentReceived,
                               ConfigurationPtr, RemoteTotal, wire::QuarantineNotice>;

struct AgentSend
{
    ServerId server;
    wire::LinkMessage message;
};
struct Stamp
{
    wire::ConfigurationStamp stamp;
    TimePoint madeAt;
};
using LinksEvent = std::variant<AgentSend, Stamp, ConfigurationPtr, std::vector<store::Vm>>;

struct Proof
{
    Revision revision = 0;
    TimePoint at;
};
struct PlatformFailed
{
};
struct LinkedServers
{
    std::vector<ServerId> servers;
};
struct InForce
{
    Revision revision = 0;
    std::optional<TimePoint> provenAt;
};
struct AgentStamp
{
    wire::ConfigurationStamp stamp;
};
using GossipEvent = std::variant<AgentStamp, std::vector<decision::LocalServiceCounter>,
                                 wire::QuarantineNotice, Proof, PlatformFailed, LinkedServers,
                                 InForce, std::vector<store::Vm>>;

using PlatformEvent = std::variant<ClaimCommand, ConfigurationPtr>;

using ServerEvent = std::variant<CallerReply, ConfigurationPtr>;

} // namespace bilberry::router

#endif
