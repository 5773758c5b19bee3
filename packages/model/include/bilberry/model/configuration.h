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

/// The contents of a configuration, not yet validated.
struct ConfigurationParts
{
    std::map<ZoneId, AvailabilityZone> zones;
    std::map<PoolId, BackendPool> pools;
    std::map<CustomerId, Customer> customers;
    std::map<std::string, Route> routes; ///< by prefix
    bool operator==(const ConfigurationParts &) const = default;
};

/// Validates each part and the references between parts.
/// @return all violations; when empty, Configuration::create succeeds
ModelFaults check(const ConfigurationParts &parts);

/// One immutable, valid revision of the configuration that applies to the whole fleet.
class Configuration
{
public:
    /// @return the configuration, or the error of the first violation
    static Result<Configuration> create(Revision revision, ConfigurationParts parts);

    Revision revision() const { return m_revision; }
    const ConfigurationParts &parts() const { return m_parts; }

    /// @param path request path; a query may follow
    /// @return the route with the longest prefix that matches whole path segments, or nullptr
    const Route *routeFor(std::string_view path) const;

    /// @param keyDigest SHA-256 of the API key, lower-case hexadecimal
    /// @return the customer with this key, or nullptr
    const Customer *customerByKeyDigest(std::string_view keyDigest) const;

    /// @return the pool, or nullptr
    const BackendPool *pool(const PoolId &id) const;
    /// @return the customer, or nullptr
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
