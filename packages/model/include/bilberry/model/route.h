#ifndef BILBERRY_MODEL_ROUTE_H
#define BILBERRY_MODEL_ROUTE_H

#include "bilberry/model/ids.h"

#include <string>
#include <string_view>

namespace bilberry {

/// Whether a request on a route may run more than once.
enum class Repeatability {
    ByMethod, ///< by HTTP semantics: POST and PATCH must not be repeated
    Always,
    Never,
};

/// Maps a path prefix to a backend pool.
struct Route
{
    std::string prefix; ///< starts with a slash; the longest match wins
    PoolId pool;
    Repeatability repeatability = Repeatability::ByMethod;
    bool operator==(const Route &) const = default;
};

/// @param method HTTP method in upper case
/// @return true when the request may run more than once
bool mayRepeat(const Route &route, std::string_view method);

} // namespace bilberry

#endif
