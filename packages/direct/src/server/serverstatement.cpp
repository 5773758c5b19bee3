#include "server/serverstatement.h"

#include "headerfields.h"

namespace bilberry::direct {

namespace http = boost::beast::http;

namespace {

/// Longest wait that a server may ask for, in seconds; longer ones are mistakes.
constexpr double maxWaitS = 3600.0;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;

} // namespace

ServerStatement readServerStatement(const ResponseHeader &header, const HeaderNames &names)
{
    ServerStatement statement;
    // Another server answers 421.
    if (header.result_int() == misdirected)
        return statement;
    const auto isPresent = [&](const std::string &name) { return header.count(name) > 0; };
    if (isPresent(names.leaving)) {
        statement.leaving = header.count(names.leaving) == 1 && header[names.leaving] == "1";
        if (!statement.leaving)
            statement.invalid.push_back(names.leaving);
    }
    statement.perSecond = parseDecimalField(header, names.requestLimit);
    if (isPresent(names.requestLimit) && !statement.perSecond)
        statement.invalid.push_back(names.requestLimit);
    statement.endsLimit = !isPresent(names.requestLimit) && header.result_int() / 100 == 2;
    if (header.result_int() != unavailable || header.count(http::field::retry_after) == 0)
        return statement;
    const std::string name(http::to_string(http::field::retry_after));
    const auto seconds = parseDecimalField(header, name);
    constexpr double msPerS = 1000.0;
    if (seconds && *seconds <= maxWaitS)
        statement.wait = fromMilliseconds(msPerS * *seconds);
    else
        statement.invalid.push_back(name);
    return statement;
}

} // namespace bilberry::direct
