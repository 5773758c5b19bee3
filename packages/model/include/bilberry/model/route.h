#ifndef BILBERRY_MODEL_ROUTE_H
#define BILBERRY_MODEL_ROUTE_H

#include "bilberry/model/ids.h"

#include <string>
#include <string_view>

namespace bilberry {

/// Whether requests on a route may be repeated.
enum class Repeatability {
    ByMethod, ///< as HTTP defines it: POST and PATCH may not be repeated
    Always,
    Never,
};

/// Maps a path prefix to a pool.
struct Route
{
    std::string prefix; ///< starts with a slash; the longest match wins
    PoolId pool;
    Repeatability repeatability = Repeatability::ByMethod;
    bool operator==(const Route &) const = default;
};

/// @param route the matched route
/// @param method HTTP method in upper case
/// @return true when the request may run more than once
bool mayRepeat(const Route &route, std::string_view method);

} // namespace bilberry

#endif
