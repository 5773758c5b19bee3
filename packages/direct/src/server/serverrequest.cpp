#include "server/serverrequest.h"

#include "headerfields.h"

#include "bilberry/http/requestrules.h"

#include <algorithm>
#include <sstream>

namespace bilberry::direct {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

bool isSetByRouter(beast::string_view name, const HeaderNames &names)
{
    const auto matches = [&](const std::string &other) { return beast::iequals(name, other); };
    return matches(names.remainingMs) || matches(names.targetServer) || matches(names.customer)
           || matches(names.notRun) || matches(names.signature)
           || std::any_of(names.reserved.begin(), names.reserved.end(), matches);
}

} // namespace

std::string serializeServerRequestHeader(const CallerRequest &request,
                                         const ServerRequestFields &fields,
                                         const HeaderNames &names)
{
    http::request_header<> header;
    header.version(11);
    header.method_string(request.method_string());
    header.target(request.target());
    for (const auto &field : request) {
        const beast::string_view name = field.name_string();
        if (field.name() == http::field::authorization || isSetByRouter(name, names)
            || bilberry::http::isHopByHop(request, field.name(), name))
            continue;
        header.insert(field.name(), name, field.value());
    }
    header.set(names.remainingMs, toMillisecondsText(fields.remainingTime));
    header.set(names.targetServer, fields.server.text());
    if (!fields.customer.empty())
        header.set(names.customer, fields.customer.text());
    if (fields.lastEventId)
        header.set(names.lastEventId, std::to_string(*fields.lastEventId));
    const bool hasLength = request.count(http::field::content_length) > 0
                           || request.count(http::field::transfer_encoding) > 0;
    if (hasLength || !request.body().empty())
        header.set(http::field::content_length, std::to_string(request.body().size()));
    std::ostringstream text;
    text << header;
    return text.str();
}

} // namespace bilberry::direct
