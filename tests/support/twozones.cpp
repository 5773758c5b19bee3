#include "support/twozones.h"

#include "bilberry/base/digest.h"

#include <algorithm>

namespace bilberry::tests {

std::string twoZonesNote()
{
    return "added:\n"
           "  zones: { a: {}, b: {} }\n"
           "  pools:\n"
           "    models: { zones: [a, b], coldLimit: 4, fullLimit: 8 }\n"
           "  customers:\n"
           "    kitchen: { share: 1, keyDigests: ["
           + sha256Hex("kitchen-key")
           + "] }\n"
             "  routes:\n"
             "    /v1: { pool: models, repeatable: always }\n";
}

Call steadyRequest()
{
    Call request;
    request.target = "/v1/chat";
    request.headers = {{"X-Api-Key", "kitchen-key"}, {"X-Tag", "steady"}, {"X-Ms", "10"}};
    request.limit = std::chrono::seconds(2);
    return request;
}

std::size_t startsSince(Fleet &fleet, const std::string &server, TimePoint since)
{
    const auto journal = fleet.backend(server).journal();
    return static_cast<std::size_t>(
            std::count_if(journal.begin(), journal.end(),
                          [&](const JournalEntry &entry) { return entry.startedAt >= since; }));
}

} // namespace bilberry::tests
