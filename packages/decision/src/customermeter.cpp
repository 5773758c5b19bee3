#include "bilberry/decision/customermeter.h"

#include <algorithm>
#include <vector>

namespace bilberry::decision {

void CustomerMeter::asked(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).asked.add(cost, now);
}

void CustomerMeter::given(const CustomerId &customer, double cost, TimePoint now)
{
    account(customer).given.add(cost, now);
}

double CustomerMeter::use(const CustomerId &customer, TimePoint now)
{
    const double given = account(customer).given.sum(now);
    const double level = fairLevel(now);
    return level > 0.0 ? given / level : 0.0;
}

CustomerMeter::Account &CustomerMeter::account(const CustomerId &customer)
{
    return m_accounts.try_emplace(customer, Account{SlidingSum(m_window), SlidingSum(m_window)})
            .first->second;
}

/// Water filling: who asked for less than the level gets it all, the others share the rest evenly.
double CustomerMeter::fairLevel(TimePoint now)
{
    std::vector<double> asked;
    double rest = 0.0;
    for (auto &[customer, account] : m_accounts) {
        rest += account.given.sum(now);
        const double amount = account.asked.sum(now);
        if (amount > 0.0)
            asked.push_back(amount);
    }
    std::sort(asked.begin(), asked.end());
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const double even = rest / static_cast<double>(asked.size() - i);
        if (asked[i] >= even)
            return even;
        rest -= asked[i];
    }
    return asked.empty() ? 0.0 : asked.back();
}

} // namespace bilberry::decision
