#ifndef BILBERRY_CTL_BURNREPORT_H
#define BILBERRY_CTL_BURNREPORT_H

#include "bilberry/decision/burnmeter.h"
#include "bilberry/model/configuration.h"

#include <array>
#include <map>
#include <string>

namespace bilberry::ctl {

/// How fast an error budget is being spent, by burn in two windows at once: the long one shows
/// that it matters, the short one that it goes on.
enum class BurnLevel {
    None,
    Notice,   ///< burn of 1 or more over 6 h and 1 h: the budget will not last
    Urgent,   ///< burn of 6 or more over 6 h and 30 min
    Critical, ///< burn of 14.4 or more over 1 h and 5 min: 2% of a month's budget in an hour
};

/// Counts over decision::burnWindowSeconds, in that order.
using WindowCounts = std::array<decision::BurnCount, decision::burnWindowSeconds.size()>;

/// Burn of one customer in one pool.
struct BurnRow
{
    decision::ServiceKey key;
    WindowCounts counts{};
    std::array<double, decision::burnWindowSeconds.size()> rates{};
    BurnLevel level = BurnLevel::None;
    bool operator==(const BurnRow &) const = default;
};

/// @param rates burn over decision::burnWindowSeconds
BurnLevel burnLevel(const std::array<double, decision::burnWindowSeconds.size()> &rates);

const char *toText(BurnLevel level);

/// Sums the burn of several routers.
class BurnReport
{
public:
    /// Adds a router's answer to /v1/burn.
    /// @return Malformed when it is not understood; nothing is added then
    Status add(const std::string &text);

    /// @param parts objectives of the pools; a pool that is gone counts by the default objective
    /// @return rows ordered by level, worst first, then by customer and pool
    std::vector<BurnRow> rows(const ConfigurationParts &parts) const;

private:
    std::map<decision::ServiceKey, WindowCounts> m_counts;
};

} // namespace bilberry::ctl

#endif
