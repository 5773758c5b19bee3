#ifndef BILBERRY_MODEL_CUSTOMER_H
#define BILBERRY_MODEL_CUSTOMER_H

#include "bilberry/model/ids.h"
#include "bilberry/model/modelerror.h"

#include <string>
#include <vector>

namespace bilberry {

constexpr double minShare = 0.001;
constexpr double maxShare = 1e6;

/// A customer, its keys and its share, which applies in every pool that it uses.
struct Customer
{
    CustomerId id;
    double share = 1.0; ///< weight relative to other customers, from minShare to maxShare
    std::vector<std::string> keyDigests; ///< SHA-256 of each API key, lower-case hexadecimal
    bool operator==(const Customer &) const = default;
};

/// Checks a customer by itself, without comparing its keys with other customers'.
/// @param faults violations are appended
void check(const Customer &customer, ModelFaults &faults);

} // namespace bilberry

#endif
