#ifndef BILBERRY_MODEL_AVAILABILITYZONE_H
#define BILBERRY_MODEL_AVAILABILITYZONE_H

#include "bilberry/model/ids.h"

namespace bilberry {

/// A zone that operators take out and bring back as a whole.
struct AvailabilityZone
{
    ZoneId id;
    bool inService = true; ///< false: no server in it receives new work
    bool operator==(const AvailabilityZone &) const = default;
};

} // namespace bilberry

#endif
