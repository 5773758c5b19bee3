#ifndef BILBERRY_MODEL_AVAILABILITYZONE_H
#define BILBERRY_MODEL_AVAILABILITYZONE_H

#include "bilberry/model/ids.h"

namespace bilberry {

/// An availability zone. Operators take a zone out of service, or bring it back, as a whole.
struct AvailabilityZone
{
    ZoneId id;
    bool inService = true; ///< false: its servers receive no new requests
    bool operator==(const AvailabilityZone &) const = default;
};

} // namespace bilberry

#endif
