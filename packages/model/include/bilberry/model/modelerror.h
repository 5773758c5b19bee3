#ifndef BILBERRY_MODEL_MODELERROR_H
#define BILBERRY_MODEL_MODELERROR_H

#include "bilberry/base/result.h"

#include <string>
#include <vector>

namespace bilberry {

/// Rules that a configuration or a release note can break.
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
};

std::error_code make_error_code(ModelErrc error);

/// One broken rule and the entry that broke it.
struct ModelFault
{
    ModelErrc error{};
    std::string subject; ///< such as "customer celje-kitchens"
    bool operator==(const ModelFault &) const = default;
};

/// All rules broken by one document; empty means valid.
using ModelFaults = std::vector<ModelFault>;

} // namespace bilberry

template <>
struct std::is_error_code_enum<bilberry::ModelErrc> : std::true_type
{
};

#endif
