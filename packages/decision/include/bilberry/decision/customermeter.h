#ifndef BILBERRY_DECISION_CUSTOMERMETER_H
#define BILBERRY_DECISION_CUSTOMERMETER_H

#include "bilberry/decision/slidingsum.h"
#include "bilberry/model/ids.h"

#include <map>

namespace bilberry::decision {

/// Compares what each customer asked for and was given in the newest window with its max-min fair
/// part of what all were given.
class CustomerMeter
{
public:
    /// @param window length of the window
    explicit CustomerMeter(Duration window) : m_window(window) {}

    /// A request arrived.
    /// @param cost its expected cost, in any unit
    void asked(const CustomerId &customer, double cost, TimePoint now);

    /// The request was sent to a server.
    void given(const CustomerId &customer, double cost, TimePoint now);

    /// @return what the customer was given, relative to the fair level; 1 is the level itself. 0
    /// when nothing was given to it.
    double use(const CustomerId &customer, TimePoint now);

private:
    struct Account
    {
        SlidingSum asked;
        SlidingSum given;
    };

    Account &account(const CustomerId &customer);
    double fairLevel(TimePoint now);

    Duration m_window;
    std::map<CustomerId, Account> m_accounts;
};

} // namespace bilberry::decision

#endif
