#ifndef BILBERRY_MODEL_TESTS_GENERATORS_H
#define BILBERRY_MODEL_TESTS_GENERATORS_H

#include "bilberry/base/digest.h"
#include "bilberry/model/configuration.h"

#include <rapidcheck.h>

#include <set>

namespace bilberry::tests {

/// @return a generator of identifiers from a small set, so that two configurations overlap
inline rc::Gen<std::string> anyIdentifier()
{
    return rc::gen::element<std::string>("a", "b", "c", "0", "true", "null", "1.5", "x-y_z");
}

inline Customer makeCustomer(const std::string &id)
{
    // Digests are derived from the identifier, because two customers must not have the same key.
    const int keyCount = *rc::gen::inRange(0, 3);
    Customer customer{CustomerId(id), *rc::gen::inRange(1, 1000000) / 1000.0, {}};
    for (int i = 0; i < keyCount; ++i)
        customer.keyDigests.push_back(sha256Hex(id + std::to_string(i)));
    return customer;
}

inline BackendPool makePool(const std::string &id, const std::map<ZoneId, AvailabilityZone> &zones)
{
    BackendPool pool;
    pool.id = PoolId(id);
    for (const auto &[zone, unused] : zones) {
        if (*rc::gen::arbitrary<bool>())
            pool.zones.push_back(zone);
    }
    pool.coldLimit = *rc::gen::inRange(1U, 5U);
    pool.fullLimit = pool.coldLimit + *rc::gen::inRange(0U, 100U);
    pool.queueLimit = *rc::gen::inRange(1U, 5000U);
    pool.costUnit = *rc::gen::element(CostUnit::SlotTime, CostUnit::Tokens);
    pool.tokenCost = *rc::gen::inRange(1, 100000) / 7.0;
    pool.objective.firstByteMilliseconds = *rc::gen::inRange(1, 100000) / 3.0;
    pool.objective.goodFraction = *rc::gen::inRange(1, 1000) / 1001.0;
    return pool;
}

/// @return a generator of valid configurations
inline rc::Gen<ConfigurationParts> anyParts()
{
    return rc::gen::exec([] {
        const auto names
                = rc::gen::map(rc::gen::container<std::vector<std::string>>(anyIdentifier()),
                               [](const auto &drawn) {
                                   return std::set<std::string>(drawn.begin(), drawn.end());
                               });
        ConfigurationParts parts;
        for (const std::string &id : *names)
            parts.zones[ZoneId(id)] = {ZoneId(id), *rc::gen::arbitrary<bool>()};
        for (const std::string &id : *names)
            parts.pools[PoolId(id)] = makePool(id, parts.zones);
        for (const std::string &id : *names)
            parts.customers[CustomerId(id)] = makeCustomer(id);
        for (const auto &[id, pool] : parts.pools) {
            const std::string prefix = "/" + id.text();
            parts.routes[prefix] = {prefix, id,
                                    *rc::gen::element(Repeatability::ByMethod,
                                                      Repeatability::Always, Repeatability::Never)};
        }
        return parts;
    });
}

} // namespace bilberry::tests

#endif
