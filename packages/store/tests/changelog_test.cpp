#include "bilberry/store/changelog.h"

#include <catch2/catch.hpp>

using namespace bilberry;
using namespace bilberry::store;
using namespace std::chrono_literals;

SCENARIO("a change log relays the newest changes and says from where on they are all")
{
    const TimePoint now = TimePoint() + 1h;
    const ItemChange first{{"a", "1"}, false};
    const ItemChange second{{"b", ""}, true};
    ChangeLog log(3s, 100);
    GIVEN("a log that has just started to relay at revision 10")
    {
        CHECK(log.relay(10, now) == RelayedChanges{10, 10, {}});
        WHEN("changes follow")
        {
            log.add(first, 12, now);
            log.add(second, 15, now + 1s);
            THEN("they are relayed together, and repeated for their lifetime")
            {
                const RelayedChanges both{10, 15, {{12, first}, {15, second}}};
                CHECK(log.relay(15, now + 1s) == both);
                CHECK(log.relay(15, now + 2s) == both);
                CHECK(log.relay(20, now + 3500ms) == RelayedChanges{12, 20, {{15, second}}});
                CHECK(log.relay(20, now + 5s) == RelayedChanges{15, 20, {}});
            }
        }
        WHEN("a change is larger than a message may be")
        {
            log.add(first, 12, now);
            log.add({{"big", std::string(200, 'x')}, false}, 13, now);
            log.add(second, 14, now);
            THEN("what lies before it has to be asked for")
            {
                CHECK(log.relay(14, now) == RelayedChanges{13, 14, {{14, second}}});
            }
        }
    }
    GIVEN("a log that is to relay no values")
    {
        ChangeLog noticeOnly(3s, 0);
        noticeOnly.relay(10, now);
        noticeOnly.add(first, 12, now);
        THEN("only the fact of the change is relayed")
        {
            CHECK(noticeOnly.relay(14, now) == RelayedChanges{12, 14, {}});
        }
    }
}
