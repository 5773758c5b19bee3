#ifndef BILBERRY_MODEL_MODELERROR_H
#define BILBERRY_MODEL_MODELERROR_H

#include "bilberry/base/result.h"

#include <string>
#include <vector>

namespace bilberry {

/// Errors of a configuration, a traffic plan or a release note.
enum class ModelErrc {
    MalformedDocument = 1,
    InvalidIdentifier,
    InvalidShare,
    InvalidKeyDigest,
    InvalidLimit,
    InvalidObjective,
    InvalidPrefix,
    DuplicateEntry,
    UnknownZone,
    UnknownPool,
    UnknownEntry,
    StillReferenced,
    UnknownField,
    DigestMismatch,
    UnterminatedPrefix,
    InvalidTokenCost,
};

std::error_code make_error_code(ModelErrc error);

/// A violated rule and the entry that violates it.
struct ModelFault
{
    ModelErrc error{};
    std::string subject; ///< such as "customer celje-kitchens"
    bool operator==(const ModelFault &) const = default;
};

/// All violations in one document; empty when it is valid.
using ModelFaults = std::vector<ModelFault>;

} // namespace bilberry

template <>
struct std::is_error_code_enum<bilberry::ModelErrc> : std::true_type
{
};

#endif
