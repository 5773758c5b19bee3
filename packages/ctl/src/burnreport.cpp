#include "burnreport.h"

#include "bilberry/store/storeerror.h"

#include <boost/json.hpp>

#include <algorithm>

namespace bilberry::ctl {

namespace json = boost::json;

namespace {

constexpr double criticalBurn = 14.4;
constexpr double urgentBurn = 6.0;
constexpr double noticeBurn = 1.0;

/// Positions in decision::burnWindowSeconds.
enum Window { FiveMinutes, HalfHour, OneHour, SixHours };

WindowCounts readWindows(const json::array &windows)
{
    WindowCounts counts{};
    for (const json::value &window : windows) {
        const int seconds = window.at("seconds").to_number<int>();
        const auto &all = decision::burnWindowSeconds;
        const auto *const known = std::find(all.begin(), all.end(), seconds);
        if (known == all.end())
            continue;
        decision::BurnCount &count = counts.at(static_cast<std::size_t>(known - all.begin()));
        count.good = window.at("good").to_number<std::uint64_t>();
        count.bad = window.at("bad").to_number<std::uint64_t>();
    }
    return counts;
}

decision::ServiceKey readKey(const json::value &row)
{
    decision::ServiceKey key;
    key.customer = CustomerId(json::value_to<std::string>(row.at("customer")));
    key.pool = PoolId(json::value_to<std::string>(row.at("pool")));
    return key;
}

Objective objectiveOf(const PoolId &pool, const ConfigurationParts &parts)
{
    const auto found = parts.pools.find(pool);
    return found == parts.pools.end() ? Objective() : found->second.objective;
}

} // namespace

BurnLevel burnLevel(const std::array<double, decision::burnWindowSeconds.size()> &rates)
{
    const auto both = [&](Window longWindow, Window shortWindow, double limit) {
        return rates.at(longWindow) >= limit && rates.at(shortWindow) >= limit;
    };
    if (both(OneHour, FiveMinutes, criticalBurn))
        return BurnLevel::Critical;
    if (both(SixHours, HalfHour, urgentBurn))
        return BurnLevel::Urgent;
    if (both(SixHours, OneHour, noticeBurn))
        return BurnLevel::Notice;
    return BurnLevel::None;
}

const char *toText(BurnLevel level)
{
    switch (level) {
    case BurnLevel::Critical:
        return "critical";
    case BurnLevel::Urgent:
        return "urgent";
    case BurnLevel::Notice:
        return "notice";
    case BurnLevel::None:
        break;
    }
    return "none";
}

Status BurnReport::add(const std::string &text)
{
    std::map<decision::ServiceKey, WindowCounts> read;
    try {
        const json::value document = json::parse(text);
        for (const json::value &row : document.as_array())
            read[readKey(row)] = readWindows(row.at("windows").as_array());
    } catch (const std::exception &) {
        return store::StoreErrc::Malformed;
    }
    for (const auto &[key, counts] : read) {
        WindowCounts &sum = m_counts[key];
        for (std::size_t i = 0; i < sum.size(); ++i) {
            sum.at(i).good += counts.at(i).good;
            sum.at(i).bad += counts.at(i).bad;
        }
    }
    return success();
}

std::vector<BurnRow> BurnReport::rows(const ConfigurationParts &parts) const
{
    std::vector<BurnRow> rows;
    for (const auto &[key, counts] : m_counts) {
        BurnRow row{key, counts, {}, BurnLevel::None};
        const double goodFraction = objectiveOf(key.pool, parts).goodFraction;
        for (std::size_t i = 0; i < counts.size(); ++i)
            row.rates.at(i) = decision::burnRate(counts.at(i), goodFraction);
        row.level = burnLevel(row.rates);
        rows.push_back(row);
    }
    std::stable_sort(rows.begin(), rows.end(), [](const BurnRow &left, const BurnRow &right) {
        return left.level > right.level;
    });
    return rows;
}

} // namespace bilberry::ctl
