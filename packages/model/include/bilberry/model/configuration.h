#ifndef BILBERRY_MODEL_CONFIGURATION_H
#define BILBERRY_MODEL_CONFIGURATION_H

#include "bilberry/model/availabilityzone.h"
#include "bilberry/model/backendpool.h"
#include "bilberry/model/customer.h"
#include "bilberry/model/modelerror.h"
#include "bilberry/model/route.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace bilberry {

/// The parts of a configuration before their rules are checked.
struct ConfigurationParts
{
    std::map<ZoneId, AvailabilityZone> zones;
    std::map<PoolId, BackendPool> pools;
    std::map<CustomerId, Customer> customers;
    std::map<std::string, Route> routes; ///< by prefix
    bool operator==(const ConfigurationParts &) const = default;
};

/// Checks every rule within and between the parts.
/// @return all broken rules; empty means that Configuration::create succeeds
ModelFaults check(const ConfigurationParts &parts);

/// What the whole fleet obeys: one immutable, valid revision.
class Configuration
{
public:
    /// @param revision number of this revision
    /// @param parts zones, pools, customers and routes
    /// @return the configuration, or the first broken rule
    static Result<Configuration> create(Revision revision, ConfigurationParts parts);

    Revision revision() const { return m_revision; }
    const ConfigurationParts &parts() const { return m_parts; }

    /// @param path path of a request
    /// @return the route with the longest matching prefix, or nullptr
    const Route *routeFor(std::string_view path) const;

    /// @param keyDigest SHA-256 of the presented API key, hexadecimal
    /// @return the key's owner, or nullptr
    const Customer *customerByKeyDigest(std::string_view keyDigest) const;

    const BackendPool *pool(const PoolId &id) const;
    const Customer *customer(const CustomerId &id) const;

    /// @return true when the zone is unknown or out of service
    bool isZoneOutOfService(const ZoneId &id) const;

    bool operator==(const Configuration &other) const;

private:
    Configuration(Revision revision, ConfigurationParts parts);

    Revision m_revision;
    ConfigurationParts m_parts;
    std::map<std::string, CustomerId, std::less<>> m_customerByDigest;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace bilberry

#endif
