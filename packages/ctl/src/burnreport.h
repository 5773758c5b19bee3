#ifndef BILBERRY_CTL_BURNREPORT_H
#define BILBERRY_CTL_BURNREPORT_H

#include "bilberry/decision/burnmeter.h"
#include "bilberry/model/configuration.h"

#include <array>
#include <map>
#include <string>

namespace bilberry::ctl {

/// Alert level of an error budget's burn rate. A level requires its burn rate in two windows: the
/// long one shows that the loss is significant, the short one that it continues.
enum class BurnLevel {
    None,
    Notice,   ///< burn rate of 1 or more over 6 h and 1 h: the budget runs out early
    Urgent,   ///< burn rate of 6 or more over 6 h and 30 min
    Critical, ///< 14.4 or more over 1 h and 5 min: 2% of a month's budget per hour
};

/// Request counts per window, in the order of decision::burnWindowSeconds.
using WindowCounts = std::array<decision::BurnCount, decision::burnWindowSeconds.size()>;

/// Request counts and burn rates of one customer in one pool.
struct BurnRow
{
    decision::ServiceKey key;
    WindowCounts counts{};
    std::array<double, decision::burnWindowSeconds.size()> rates{}; ///< burn rate per window
    BurnLevel level = BurnLevel::None;
    bool operator==(const BurnRow &) const = default;
};

/// @param rates burn rate per window, in the order of decision::burnWindowSeconds
/// @return the highest level that the rates reach
BurnLevel burnLevel(const std::array<double, decision::burnWindowSeconds.size()> &rates);

const char *toText(BurnLevel level);

/// Sums the request counts of several routers and computes their burn rates.
class BurnReport
{
public:
    /// Adds the body of a router's answer to /v1/burn.
    /// @return StoreErrc::Malformed when it can't be parsed; nothing is added then
    Status add(const std::string &text);

    /// @param parts objectives of the pools; a pool that is not in them has the default objective
    /// @return rows ordered by level, most severe first, then by customer and pool
    std::vector<BurnRow> rows(const ConfigurationParts &parts) const;

private:
    std::map<decision::ServiceKey, WindowCounts> m_counts;
};

} // namespace bilberry::ctl

#endif
