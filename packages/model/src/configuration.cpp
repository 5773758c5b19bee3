#include "bilberry/model/configuration.h"

#include "bilberry/base/digest.h"
#include "bilberry/base/settings.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

constexpr std::size_t digestLength = 64;

bool isKeyDigest(const std::string &text)
{
    return text.size() == digestLength
           && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Matches whole path segments, so that "/v1" does not match "/v10".
bool matchesPrefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    if (path.size() == prefix.size() || prefix.ends_with('/'))
        return true;
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

void checkIdentifier(const std::string &id, const std::string &subject, ModelFaults &faults)
{
    if (!isIdentifier(id))
        faults.push_back({ModelErrc::InvalidIdentifier, subject});
}

void checkReferences(const ConfigurationParts &parts, ModelFaults &faults)
{
    for (const auto &[id, pool] : parts.pools) {
        for (const ZoneId &zone : pool.zones) {
            if (!parts.zones.contains(zone))
                faults.push_back({ModelErrc::UnknownZone, "pool " + id.text()});
        }
    }
    for (const auto &[prefix, route] : parts.routes) {
        if (!prefix.starts_with('/'))
            faults.push_back({ModelErrc::InvalidPrefix, "route " + prefix});
        if (!parts.pools.contains(route.pool))
            faults.push_back({ModelErrc::UnknownPool, "route " + prefix});
    }
}

void checkUniqueKeys(const ConfigurationParts &parts, ModelFaults &faults)
{
    std::map<std::string, CustomerId> owners;
    for (const auto &[id, customer] : parts.customers) {
        for (const std::string &digest : customer.keyDigests) {
            if (!owners.emplace(digest, id).second)
                faults.push_back({ModelErrc::DuplicateEntry, "API key of customer " + id.text()});
        }
    }
}

} // namespace

void check(const Customer &customer, ModelFaults &faults)
{
    const std::string subject = "customer " + customer.id.text();
    checkIdentifier(customer.id.text(), subject, faults);
    if (!(customer.share >= minShare && customer.share <= maxShare))
        faults.push_back({ModelErrc::InvalidShare, subject});
    for (const std::string &digest : customer.keyDigests) {
        if (!isKeyDigest(digest))
            faults.push_back({ModelErrc::InvalidKeyDigest, subject});
    }
}

void check(const BackendPool &pool, ModelFaults &faults)
{
    const std::string subject = "pool " + pool.id.text();
    checkIdentifier(pool.id.text(), subject, faults);
    const bool limitsValid
            = pool.coldLimit >= 1 && pool.coldLimit <= pool.fullLimit && pool.queueLimit >= 1;
    if (!limitsValid)
        faults.push_back({ModelErrc::InvalidLimit, subject});
    if (!std::isfinite(pool.tokenCost) || pool.tokenCost <= 0)
        faults.push_back({ModelErrc::InvalidTokenCost, subject});
    const Objective &objective = pool.objective;
    const bool objectiveValid = objective.firstByteMilliseconds > 0 && objective.goodFraction > 0
                                && objective.goodFraction < 1;
    if (!objectiveValid)
        faults.push_back({ModelErrc::InvalidObjective, subject});
}

ModelFaults check(const ConfigurationParts &parts)
{
    ModelFaults faults;
    for (const auto &[id, zone] : parts.zones)
        checkIdentifier(id.text(), "zone " + id.text(), faults);
    for (const auto &[id, pool] : parts.pools)
        check(pool, faults);
    for (const auto &[id, customer] : parts.customers)
        check(customer, faults);
    checkReferences(parts, faults);
    checkUniqueKeys(parts, faults);
    return faults;
}

Result<Configuration> Configuration::create(Revision revision, ConfigurationParts parts)
{
    const ModelFaults faults = check(parts);
    if (!faults.empty())
        return faults.front().error;
    return Configuration(revision, std::move(parts));
}

Configuration::Configuration(Revision revision, ConfigurationParts parts)
    : m_revision(revision), m_parts(std::move(parts))
{
    for (const auto &[id, customer] : m_parts.customers) {
        for (const std::string &digest : customer.keyDigests)
            m_customerByDigest.emplace(digest, id);
    }
}

const Route *Configuration::routeFor(std::string_view path) const
{
    const Route *best = nullptr;
    for (const auto &[prefix, route] : m_parts.routes) {
        if (matchesPrefix(prefix, path) && (!best || prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

const Customer *Configuration::customerByKeyDigest(std::string_view keyDigest) const
{
    // The look-up is by digest, so that its duration reveals nothing about a key. The final
    // comparison is constant-time as an additional protection.
    const auto found = m_customerByDigest.find(keyDigest);
    if (found == m_customerByDigest.end() || !equalConstantTime(found->first, keyDigest))
        return nullptr;
    return customer(found->second);
}

const BackendPool *Configuration::pool(const PoolId &id) const
{
    const auto found = m_parts.pools.find(id);
    return found == m_parts.pools.end() ? nullptr : &found->second;
}

const Customer *Configuration::customer(const CustomerId &id) const
{
    const auto found = m_parts.customers.find(id);
    return found == m_parts.customers.end() ? nullptr : &found->second;
}

bool Configuration::isZoneOutOfService(const ZoneId &id) const
{
    const auto found = m_parts.zones.find(id);
    return found == m_parts.zones.end() || !found->second.inService;
}

bool Configuration::operator==(const Configuration &other) const
{
    return m_revision == other.m_revision && m_parts == other.m_parts;
}

} // namespace bilberry
