#include "callerrequest.h"

#include "bilberry/base/digest.h"

#include <charconv>

namespace bilberry::router {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr char costHintHeader[] = "Bilberry-Cost-Hint";
constexpr char idempotencyHeader[] = "Idempotency-Key";
constexpr char apiKeyHeader[] = "X-Api-Key";
constexpr std::size_t maxIdempotencyKey = 256;

/// Headers that end at this router or that it sets itself.
bool staysHere(http::field field, beast::string_view name)
{
    switch (field) {
    case http::field::authorization:
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::host:
    case http::field::keep_alive:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
        return true;
    default:
        return beast::iequals(name, apiKeyHeader) || beast::iequals(name, costHintHeader);
    }
}

/// @return true when the request's Connection header names the field
bool namedInConnection(const HttpRequest &request, beast::string_view name)
{
    const auto named = request.equal_range(http::field::connection);
    for (auto field = named.first; field != named.second; ++field) {
        if (http::token_list(field->value()).exists(name))
            return true;
    }
    return false;
}

/// Framing that another server might read in another way, so that one request hides a second.
bool isAmbiguous(const HttpRequest &request)
{
    const bool encoded = request.count(http::field::transfer_encoding) > 0;
    const bool lengthToo = encoded && request.count(http::field::content_length) > 0;
    const bool onlyChunked = beast::iequals(request[http::field::transfer_encoding], "chunked")
                             && request.count(http::field::transfer_encoding) == 1
                             && request.version() == 11;
    return lengthToo || (encoded && !onlyChunked);
}

/// A path that a backend server may take for another one than the route is chosen by.
bool hasDotSegments(std::string path)
{
    for (std::size_t at = 0; (at = path.find('%', at)) != std::string::npos;) {
        const std::string digits = path.substr(at + 1, 2);
        if (beast::iequals(digits, "2e"))
            path.replace(at, 3, ".");
        else if (beast::iequals(digits, "2f") || beast::iequals(digits, "5c"))
            path.replace(at, 3, "/");
        else
            ++at;
    }
    path += '/';
    return path.find("/./") != std::string::npos || path.find("/../") != std::string::npos;
}

std::string presentedKey(const HttpRequest &request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view authorization = request[http::field::authorization];
    if (authorization.starts_with(scheme))
        return std::string(authorization.substr(scheme.size()));
    return std::string(request[apiKeyHeader]);
}

std::optional<double> costHint(const HttpRequest &request)
{
    const std::string_view text = request[costHintHeader];
    double hint = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), hint);
    if (text.empty() || parsed.ec != std::errc() || !(hint > 0.0))
        return std::nullopt;
    return hint;
}

std::string pathOf(const HttpRequest &request)
{
    const std::string target(request.target());
    return target.substr(0, target.find('?'));
}

wire::Headers passedOn(const HttpRequest &request)
{
    wire::Headers headers;
    for (const auto &field : request.base()) {
        const beast::string_view name = field.name_string();
        if (!staysHere(field.name(), name) && !namedInConnection(request, name))
            headers.push_back({std::string(name), std::string(field.value())});
    }
    return headers;
}

} // namespace

bool isWellFormed(const HttpRequest &request)
{
    const std::size_t hosts = request.count(http::field::host);
    const bool oneHost = hosts == 1 || (request.version() < 11 && hosts == 0);
    return oneHost && !isAmbiguous(request) && !hasDotSegments(pathOf(request))
           && request.count(idempotencyHeader) <= 1
           && request[idempotencyHeader].size() <= maxIdempotencyKey;
}

std::optional<RefusalKind> authorize(const HttpRequest &request, const Configuration *configuration,
                                     Submit &submit)
{
    const std::string key = presentedKey(request);
    if (key.empty())
        return RefusalKind::MissingKey;
    if (!configuration || configuration->revision() == 0)
        return RefusalKind::NoConfiguration;
    const Customer *customer = configuration->customerByKey(sha256Hex(key));
    if (!customer)
        return RefusalKind::UnknownKey;
    const Route *route = configuration->routeFor(pathOf(request));
    if (!route)
        return RefusalKind::UnknownRoute;
    submit.customer = customer->id;
    submit.pool = route->pool;
    submit.method = std::string(request.method_string());
    submit.mayRepeat = mayRepeat(*route, submit.method);
    submit.idempotencyKey = std::string(request[idempotencyHeader]);
    submit.costHint = costHint(request);
    submit.target = std::string(request.target());
    submit.headers = passedOn(request);
    submit.body = request.body();
    return std::nullopt;
}

bool hasNoBody(std::uint16_t status, http::verb method)
{
    return method == http::verb::head || status == 204 || status == 304;
}

} // namespace bilberry::router
