#ifndef BILBERRY_TESTS_TWOZONES_H
#define BILBERRY_TESTS_TWOZONES_H

#include "support/fleet.h"

#include <string>

namespace bilberry::tests {

/// @return a release note with zones a and b, one pool of repeatable requests in both, and one
///         customer whose key is "kitchen-key"
std::string twoZonesNote();

/// @return a short request of that customer, tagged "steady"
Call steadyRequest();

/// @return number of requests that a server started at or after a time
std::size_t startsSince(Fleet &fleet, const std::string &server, TimePoint since);

} // namespace bilberry::tests

#endif
