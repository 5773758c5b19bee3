#include "bilberry/model/route.h"

namespace bilberry {

bool mayRepeat(const Route &route, std::string_view method)
{
    switch (route.repeatability) {
    case Repeatability::Always:
        return true;
    case Repeatability::Never:
        return false;
    case Repeatability::ByMethod:
        break;
    }
    return method != "POST" && method != "PATCH";
}

} // namespace bilberry
