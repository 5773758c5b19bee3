#include "crashes/requestfeatures.h"

#include "headerfields.h"

#include "bilberry/decision/rendezvous.h"

#include <string>

namespace bilberry::direct {

namespace {

decision::RequestFeature wholeRequestFeature(const CustomerId &customer,
                                             const CallerRequest &request,
                                             std::string_view promptParts)
{
    std::string text = customer.text();
    for (const std::string_view field : {std::string_view(request.method_string()),
                                         std::string_view(request.target()), promptParts})
        text.append(1, '\n').append(field);
    // The body's hash in place of the body, which may be large.
    text += '\n' + std::to_string(decision::stableHash(request.body()));
    return decision::makeFeature(decision::FeatureKind::WholeRequest, decision::stableHash(text));
}

decision::RequestFeature routeFeature(const DirectRoute &route)
{
    return decision::makeFeature(decision::FeatureKind::Route,
                                 decision::stableHash(route.host + '\n' + route.prefix));
}

} // namespace

std::vector<decision::RequestFeature> sharedPartFeatures(std::string_view promptParts)
{
    std::vector<decision::RequestFeature> features;
    for (const std::string_view part : split(promptParts, ','))
        features.push_back(
                decision::makeFeature(decision::FeatureKind::PromptPart,
                                      decision::stableHash(part.substr(0, part.find(':')))));
    if (!features.empty())
        features.pop_back();
    return features;
}

std::vector<decision::RequestFeature> requestFeatures(const DirectRoute &route,
                                                      const CustomerId &customer,
                                                      const CallerRequest &request,
                                                      const HeaderNames &names)
{
    const std::string_view parts = request[names.promptParts];
    std::vector<decision::RequestFeature> features = sharedPartFeatures(parts);
    features.push_back(wholeRequestFeature(customer, request, parts));
    features.push_back(routeFeature(route));
    return features;
}

} // namespace bilberry::direct
