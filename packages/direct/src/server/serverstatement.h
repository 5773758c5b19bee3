#ifndef BILBERRY_DIRECT_SERVERSTATEMENT_H
#define BILBERRY_DIRECT_SERVERSTATEMENT_H

#include "server/serverattempt.h"

#include "bilberry/base/time.h"
#include "bilberry/direct/headernames.h"

#include <optional>
#include <string>
#include <vector>

namespace bilberry::direct {

/// What a server says of itself in the header of an answer.
struct ServerStatement
{
    bool leaving = false;             ///< it wants no further requests
    std::optional<double> perSecond;  ///< requests a second that it takes from all routers
    bool endsLimit = false;           ///< a success without a limit: the server has none any more
    std::optional<Duration> wait;     ///< it wants no request from this router for so long
    std::vector<std::string> invalid; ///< names of fields that were ignored for their values
    bool operator==(const ServerStatement &) const = default;
};

/// @param header of an answer to this router's request, final or interim
ServerStatement readServerStatement(const ResponseHeader &header, const HeaderNames &names);

} // namespace bilberry::direct

#endif
