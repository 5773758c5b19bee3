#ifndef BILBERRY_MODEL_CUSTOMER_H
#define BILBERRY_MODEL_CUSTOMER_H

#include "bilberry/model/ids.h"
#include "bilberry/model/modelerror.h"

#include <string>
#include <vector>

namespace bilberry {

constexpr double minShare = 0.001;
constexpr double maxShare = 1e6;

/// A customer with its share of every pool that it uses.
struct Customer
{
    CustomerId id;
    double share = 1.0;                  ///< weight against other customers, no unit
    std::vector<std::string> keyDigests; ///< SHA-256 of each API key, hexadecimal
    bool operator==(const Customer &) const = default;
};

/// Checks one customer's own rules.
/// @param customer the customer
/// @param faults receives the broken rules
void check(const Customer &customer, ModelFaults &faults);

} // namespace bilberry

#endif
