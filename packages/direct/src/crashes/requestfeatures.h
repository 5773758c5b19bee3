#ifndef BILBERRY_DIRECT_REQUESTFEATURES_H
#define BILBERRY_DIRECT_REQUESTFEATURES_H

#include "caller/callerconnection.h"

#include "bilberry/decision/crashsuspicion.h"
#include "bilberry/direct/headernames.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/trafficplan.h"

#include <string_view>
#include <vector>

namespace bilberry::direct {

/// @param promptParts ID:TOKENS entries, comma-separated
/// @return a feature for each part that other prompts may have, all but the last one
std::vector<decision::RequestFeature> sharedPartFeatures(std::string_view promptParts);

/// What a request may have in common with others that crash servers.
/// @return the features of its prompt's shared parts, one of the whole request, which its caller
/// may
///         repeat, and one of its route
std::vector<decision::RequestFeature> requestFeatures(const DirectRoute &route,
                                                      const CustomerId &customer,
                                                      const CallerRequest &request,
                                                      const HeaderNames &names);

} // namespace bilberry::direct

#endif
