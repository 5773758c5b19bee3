#ifndef BILBERRY_DIRECT_REQUESTADMISSION_H
#define BILBERRY_DIRECT_REQUESTADMISSION_H

#include "caller/callerconnection.h"
#include "request/requestcontext.h"

#include <variant>

namespace bilberry::direct {

/// What the plan says of a valid request.
struct AdmittedRequest
{
    TrafficPlanPtr plan; ///< holds the route
    const DirectRoute *route = nullptr;
    CustomerId customer; ///< empty when the request needs no key
    TimePoint deadline{};
    bool previouslyRefused = false; ///< its caller has used up some of its time
};

/// Validates a request, and finds its route and customer.
/// @return what the plan says of it, or why it is refused
std::variant<AdmittedRequest, RefusalReason>
admitRequest(const RequestContext &context, const CallerRequest &request, TimePoint receivedAt);

/// Determines the properties by which a server is chosen for an admitted request, and counts the
/// request for its customer and pool.
decision::RequestTraits takeTraits(RequestContext &context, const CallerRequest &request,
                                   const AdmittedRequest &admitted, TimePoint receivedAt);

/// @return cost of a request in prompt tokens, the unit of customers' shares
double requestCost(const decision::RequestTraits &traits);

} // namespace bilberry::direct

#endif
