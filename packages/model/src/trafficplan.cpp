#include "bilberry/model/trafficplan.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace bilberry {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos || host.ends_with(']'))
        return host;
    return host.substr(0, colon);
}

std::error_code check(const DirectRoute &route, const TrafficPlanParts &parts)
{
    if (!route.prefix.starts_with('/'))
        return ModelErrc::InvalidPrefix;
    if (!route.prefix.ends_with('/'))
        return ModelErrc::UnterminatedPrefix;
    if (route.pools.empty() || route.maxAttempts == 0 || route.timeLimit <= Duration::zero())
        return ModelErrc::InvalidLimit;
    for (const PoolWeight &poolWeight : route.pools) {
        if (!parts.pools.contains(poolWeight.pool))
            return ModelErrc::UnknownPool;
        if (!(poolWeight.weight >= 0.0))
            return ModelErrc::InvalidShare;
    }
    return {};
}

std::error_code check(const TrafficPlanParts &parts)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const DirectRoute &route : parts.routes) {
        if (const std::error_code error = check(route, parts))
            return error;
        if (!seen.emplace(lowerCase(route.host), route.prefix).second)
            return ModelErrc::DuplicateEntry;
    }
    return {};
}

} // namespace

Result<TrafficPlan> TrafficPlan::create(std::uint64_t version, TrafficPlanParts parts)
{
    if (const std::error_code error = check(parts))
        return error;
    return TrafficPlan(version, std::move(parts));
}

TrafficPlan::TrafficPlan(std::uint64_t version, TrafficPlanParts parts)
    : m_version(version), m_parts(std::move(parts))
{
    for (std::size_t i = 0; i < m_parts.routes.size(); ++i)
        m_routesByHost[lowerCase(m_parts.routes[i].host)].push_back(i);
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [this](std::size_t left, std::size_t right) {
            return m_parts.routes[left].prefix.size() > m_parts.routes[right].prefix.size();
        });
    }
    if (!m_parts.customers)
        return;
    for (const CustomerKeys &customer : *m_parts.customers) {
        for (const std::string &digest : customer.keyDigests)
            m_customerByDigest.emplace(digest, customer.id);
    }
}

const DirectRoute *TrafficPlan::routeFor(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(lowerCase(withoutPort(host)));
    if (routes == m_routesByHost.end())
        return nullptr;
    for (const std::size_t index : routes->second) {
        if (path.starts_with(m_parts.routes[index].prefix))
            return &m_parts.routes[index];
    }
    return nullptr;
}

const CustomerId *TrafficPlan::customerByKeyDigest(std::string_view keyDigest) const
{
    const auto found = m_customerByDigest.find(keyDigest);
    return found == m_customerByDigest.end() ? nullptr : &found->second;
}

const DirectPool *TrafficPlan::pool(const PoolId &id) const
{
    const auto found = m_parts.pools.find(id);
    return found == m_parts.pools.end() ? nullptr : &found->second;
}

} // namespace bilberry
