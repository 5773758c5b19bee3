#include "bilberry/base/memoryaccount.h"

#include <catch2/catch.hpp>

#include <list>
#include <string>

using namespace bilberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limitBytes = 10'000'000;
constexpr std::size_t largeLimitBytes = 7'500'000; ///< what large holders may fill
constexpr std::size_t largeBytes = 1'000'000;
constexpr std::size_t ordinaryBytes = 2'000;

/// A connection that does what it is asked for.
class Peer
{
public:
    Peer(std::shared_ptr<MemoryAccount> account, TimePoint now, const void *group = nullptr)
        : m_holder(
                std::move(account), group,
                [this](MemoryUse asked, ReleaseCause) {
                    isAsked = true;
                    askedUse = asked;
                },
                now)
    {
    }

    void hold(MemoryUse use, std::size_t bytes, std::size_t moved, TimePoint now)
    {
        m_holder.update(use, bytes, moved, now);
    }

    /// Receives a whole request of a size.
    void receive(std::size_t bytes, TimePoint now)
    {
        hold(MemoryUse::Receiving, bytes, bytes, now);
    }

    bool isAsked = false;
    MemoryUse askedUse = MemoryUse::Idle;

private:
    MemoryHolder m_holder;
};

std::size_t asked(const std::list<Peer> &peers)
{
    std::size_t count = 0;
    for (const Peer &peer : peers)
        count += peer.isAsked ? 1 : 0;
    return count;
}

} // namespace

SCENARIO("who pays when the memory of a process is full")
{
    const auto account = std::make_shared<MemoryAccount>(limitBytes);
    const TimePoint start{};

    GIVEN("large requests that fill what large ones may fill")
    {
        std::list<Peer> stalled;
        for (std::size_t held = 0; held + largeBytes <= largeLimitBytes; held += largeBytes)
            stalled.emplace_back(account, start).receive(largeBytes, start);
        REQUIRE(asked(stalled) == 0);

        WHEN("they have stopped, and another large request arrives at a good pace")
        {
            Peer moving(account, start + 5s);
            moving.receive(largeBytes, start + 5s);
            THEN("one of the stopped ones is asked, as a request that has not run")
            {
                CHECK_FALSE(moving.isAsked);
                CHECK(asked(stalled) == 1);
                CHECK(stalled.front().askedUse == MemoryUse::Receiving);
            }
        }
        WHEN("one of them sends a byte now and then, and another large request arrives")
        {
            for (int i = 1; i <= 50; ++i)
                stalled.back().hold(MemoryUse::Receiving, largeBytes + 1, 1, start + i * 100ms);
            Peer moving(account, start + 5s);
            moving.receive(largeBytes, start + 5s);
            THEN("the new one doesn't pay for it")
            {
                CHECK_FALSE(moving.isAsked);
                CHECK(asked(stalled) == 1);
            }
        }
        WHEN("ordinary requests arrive, slowly")
        {
            std::list<Peer> ordinary;
            for (int i = 0; i < 1000; ++i) {
                ordinary.emplace_back(account, start).receive(ordinaryBytes, start);
                ordinary.back().hold(MemoryUse::Receiving, ordinaryBytes + 1, 1, start + 9s);
            }
            THEN("large ones make room, and no ordinary one pays")
            {
                CHECK(asked(ordinary) == 0);
                CHECK(asked(stalled) > 0);
            }
        }
        WHEN("they are passed on, and another large request arrives")
        {
            for (Peer &peer : stalled)
                peer.hold(MemoryUse::Serving, largeBytes, 0, start);
            Peer late(account, start);
            late.receive(largeBytes, start);
            THEN("the new one is refused, since the others may run")
            {
                CHECK(late.isAsked);
                CHECK(asked(stalled) == 0);
            }
        }
        WHEN("they are passed on, and ordinary requests fill the rest of the limit")
        {
            for (Peer &peer : stalled)
                peer.hold(MemoryUse::Serving, largeBytes, 0, start);
            std::list<Peer> ordinary;
            for (std::size_t held = 0; held <= limitBytes - 7 * largeBytes; held += ordinaryBytes)
                ordinary.emplace_back(account, start).receive(ordinaryBytes, start);
            THEN("a large request that was passed on pays before an ordinary one")
            {
                CHECK(asked(ordinary) == 0);
                CHECK(asked(stalled) == 1);
                CHECK(stalled.front().askedUse == MemoryUse::Serving);
            }
        }
    }
    GIVEN("callers that don't read their large answers")
    {
        std::list<Peer> unread;
        for (std::size_t held = 0; held + largeBytes <= largeLimitBytes; held += largeBytes)
            unread.emplace_back(account, start).hold(MemoryUse::Sending, largeBytes, 0, start);

        WHEN("another answer waits for a caller that reads")
        {
            Peer reader(account, start);
            reader.hold(MemoryUse::Sending, largeBytes, 4 * largeBytes, start + 1s);
            THEN("one that doesn't read is asked")
            {
                CHECK_FALSE(reader.isAsked);
                CHECK(asked(unread) == 1);
                CHECK(account->counters().releases[static_cast<std::size_t>(MemoryUse::Sending)]
                      == 1);
            }
        }
        WHEN("they have ended")
        {
            unread.clear();
            THEN("nothing is held")
            {
                CHECK(account->counters().heldBytes == 0);
            }
        }
    }
    GIVEN("requests that nobody can release, with more than their part of the limit")
    {
        MemoryHolder fixed(account, nullptr, nullptr, start);
        fixed.update(MemoryUse::Serving, limitBytes / 2 + 1, 0, start);
        REQUIRE_FALSE(account->hasRoom());

        WHEN("a large request arrives, and all together exceed the limit")
        {
            Peer large(account, start);
            large.receive(limitBytes / 2, start);
            THEN("the one that can be released is asked")
            {
                CHECK(large.isAsked);
            }
        }
        WHEN("they shrink")
        {
            fixed.update(MemoryUse::Serving, ordinaryBytes, 0, start);
            THEN("there is room again")
            {
                CHECK(account->hasRoom());
            }
        }
    }
    GIVEN("a holder that was asked while it received, and was faster than the question")
    {
        Peer large(account, start);
        large.receive(limitBytes, start);
        REQUIRE(large.isAsked);
        large.hold(MemoryUse::Serving, limitBytes, 0, start);

        WHEN("an ordinary request arrives, which the limit has no room for")
        {
            large.isAsked = false;
            Peer ordinary(account, start);
            ordinary.receive(ordinaryBytes, start);
            THEN("the large one is asked again, by its new use")
            {
                CHECK(large.isAsked);
                CHECK(large.askedUse == MemoryUse::Serving);
                CHECK_FALSE(ordinary.isAsked);
            }
        }
    }
}

SCENARIO("who is disconnected when connections are short")
{
    const auto account = std::make_shared<MemoryAccount>(limitBytes);
    const TimePoint start{};
    const int group = 0;
    const int otherGroup = 0;
    const auto inRequest = {MemoryUse::Receiving, MemoryUse::Sending};

    GIVEN("a connection that has stopped, a moving one, a request that was passed on, and others")
    {
        Peer stopped(account, start, &group);
        Peer moving(account, start, &group);
        Peer served(account, start, &group);
        Peer idle(account, start, &group);
        Peer other(account, start, &otherGroup);
        stopped.receive(ordinaryBytes, start + 1ms);
        moving.receive(ordinaryBytes, start + 2s);
        served.hold(MemoryUse::Serving, ordinaryBytes, 0, start);
        other.receive(ordinaryBytes, start);

        WHEN("a place is needed")
        {
            REQUIRE(account->releaseSlowest(&group, inRequest, 1s, start + 2s));
            THEN("the stopped one is asked, and nobody else has stopped")
            {
                CHECK(stopped.isAsked);
                CHECK_FALSE(account->releaseSlowest(&group, inRequest, 1s, start + 2s));
                CHECK_FALSE(served.isAsked);
                CHECK_FALSE(idle.isAsked);
                CHECK_FALSE(other.isAsked);
            }
            THEN("the moving one is next where there is no other way")
            {
                CHECK(account->releaseSlowest(&group, inRequest, 0s, start + 2s));
                CHECK(moving.isAsked);
            }
        }
    }
}
