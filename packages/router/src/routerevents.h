#ifndef BILBERRY_ROUTER_ROUTEREVENTS_H
#define BILBERRY_ROUTER_ROUTEREVENTS_H

#include "bilberry/decision/virtualtimetracker.h"
#include "bilberry/model/configuration.h"
#include "bilberry/router/callerevents.h"
#include "bilberry/router/claimevents.h"
#include "bilberry/store/objectstore.h"

#include <optional>

/// Items of the event queues between the threads of a router.
namespace bilberry::router {

struct AgentDisconnected
{
    ServerId server;
};
struct MessageFromAgent
{
    ServerId server;
    wire::LinkMessage message;
};
struct RemoteServiceUpdate
{
    decision::ServiceKey key;
    decision::RemoteService remote;
    bool aggregatorChanged = false;
};
using CoreEvent = std::variant<CallerEvent, OpenClaimReply, wire::AgentHello, AgentDisconnected,
                               MessageFromAgent, ConfigurationPtr, RemoteServiceUpdate,
                               wire::QuarantineNotice>;

struct MessageToAgent
{
    ServerId server;
    wire::LinkMessage message;
};
struct StampUpdate
{
    wire::ConfigurationStamp stamp;
    TimePoint createdAt;
};
using LinksEvent
        = std::variant<MessageToAgent, StampUpdate, ConfigurationPtr, std::vector<store::Vm>>;

struct ConfigurationProof
{
    Revision revision = 0;
    TimePoint provenAt;
};
struct PlatformCallFailed
{
};
struct LinkedServers
{
    std::vector<ServerId> servers;
};
struct RevisionActivated
{
    Revision revision = 0;
    std::optional<TimePoint> provenAt;
};
struct AgentStamp
{
    wire::ConfigurationStamp stamp;
};
using GossipEvent = std::variant<AgentStamp, std::vector<decision::LocalServiceCounter>,
                                 wire::QuarantineNotice, ConfigurationProof, PlatformCallFailed,
                                 LinkedServers, RevisionActivated, std::vector<store::Vm>>;

using PlatformEvent = std::variant<ClaimCommand, ConfigurationPtr>;

using CallerServerEvent = std::variant<CallerReply, ConfigurationPtr>;

} // namespace bilberry::router

#endif
