#include "bilberry/model/modelerror.h"

#include "bilberry/base/errorcategory.h"

namespace bilberry {

namespace {

const char *describe(int code)
{
    switch (static_cast<ModelErrc>(code)) {
    case ModelErrc::MalformedDocument:
        return "the document or one of its values is malformed";
    case ModelErrc::InvalidIdentifier:
        return "an identifier must have 1 to 64 characters of a-z, 0-9, dot, dash and underscore";
    case ModelErrc::InvalidShare:
        return "a share must be between 0.001 and 1000000";
    case ModelErrc::InvalidKeyDigest:
        return "a key digest must have 64 lower-case hexadecimal digits";
    case ModelErrc::InvalidLimit:
        return "limits must be at least 1, and the cold limit at most the full limit";
    case ModelErrc::InvalidObjective:
        return "an objective must have a time above 0 and a fraction between 0 and 1";
    case ModelErrc::InvalidPrefix:
        return "the prefix of a route must start with a slash";
    case ModelErrc::DuplicateEntry:
        return "the entry exists already";
    case ModelErrc::UnknownZone:
        return "unknown availability zone";
    case ModelErrc::UnknownPool:
        return "unknown backend pool";
    case ModelErrc::UnknownEntry:
        return "the entry does not exist";
    case ModelErrc::StillReferenced:
        return "the entry is still referenced";
    case ModelErrc::UnknownField:
        return "unknown field";
    case ModelErrc::DigestMismatch:
        return "the content does not match its digest";
    case ModelErrc::UnterminatedPrefix:
        return "the prefix of a route must end with a slash";
    case ModelErrc::InvalidTokenCost:
        return "the cost of a token must be a number above 0";
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
