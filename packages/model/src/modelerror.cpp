#include "bilberry/model/modelerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry {

namespace {

const char *describe(int code)
{
    switch (static_cast<ModelErrc>(code)) {
    case ModelErrc::MalformedDocument:
        return "malformed document";
    case ModelErrc::InvalidIdentifier:
        return "an identifier has 1 to 64 of a-z, 0-9, dot, dash and underscore";
    case ModelErrc::InvalidShare:
        return "a share lies between 0.001 and 1000000";
    case ModelErrc::InvalidKeyDigest:
        return "a key digest has 64 hexadecimal digits";
    case ModelErrc::InvalidLimit:
        return "limits are at least 1, and the cold limit is at most the full limit";
    case ModelErrc::InvalidObjective:
        return "an objective has a positive time and a fraction between 0 and 1";
    case ModelErrc::InvalidPrefix:
        return "a route's prefix starts with a slash";
    case ModelErrc::DuplicateEntry:
        return "the entry exists already";
    case ModelErrc::UnknownZone:
        return "unknown availability zone";
    case ModelErrc::UnknownPool:
        return "unknown backend pool";
    case ModelErrc::UnknownEntry:
        return "there is no such entry";
    case ModelErrc::StillReferenced:
        return "the entry is still referenced";
    case ModelErrc::UnknownField:
        return "unknown field";
    case ModelErrc::DigestMismatch:
        return "content does not match its digest";
    }
    return "unknown model error";
}

const ErrorCategory category("model", describe);

} // namespace

std::error_code make_error_code(ModelErrc error)
{
    return {static_cast<int>(error), category};
}

} // namespace bilberry
