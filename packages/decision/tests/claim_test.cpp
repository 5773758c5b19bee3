#include "bilberry/decision/claim.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace bilberry::decision;

namespace {

/// What an attempt's caller has heard.
enum class Heard { Nothing, NotRun, Unknown };

struct Attempt
{
    ClaimAcquisition claim;
    ClaimStep step = ClaimStep::Create;
    bool crashed = false;
    bool ran = false;
    Heard heard = Heard::Nothing;
    std::optional<ClaimRelease> release;
    int version = 0; ///< of the object as the attempt knows it; 0: not known
    auto operator<=>(const Attempt &) const = default;
};

/// A write whose answer was lost before it took effect; it takes effect later or never.
struct Delayed
{
    int attempt = 0;
    int deletes = 0; ///< version to delete; 0: creates
    auto operator<=>(const Delayed &) const = default;
};

/// Two attempts with the same key, the object and the writes on their way.
struct World
{
    int owner = -1; ///< attempt whose token the object carries; -1: no object
    int version = 0;
    int lastVersion = 0;
    int faults = 0;
    std::vector<Delayed> delayed;
    std::array<Attempt, 2> attempts;
    auto operator<=>(const World &) const = default;
};

constexpr int maxFaults = 4;

/// Explores every order of calls, lost answers, delayed effects, crashes and refusals.
class Explorer
{
public:
    void visit(const World &world)
    {
        if (!m_seen.insert(world).second)
            return;
        check(world);
        for (int i = 0; i < 2; ++i) {
            if (!world.attempts[i].crashed)
                act(world, i);
        }
        for (std::size_t i = 0; i < world.delayed.size(); ++i)
            arrive(world, i);
    }

    std::size_t ends() const { return m_ends; }
    std::size_t bothRan() const { return m_bothRan; }
    std::size_t falseNotRun() const { return m_falseNotRun; }
    std::size_t blockedAfterNotRun() const { return m_blockedAfterNotRun; }
    std::size_t blockedByCrash() const { return m_blockedByCrash; }

private:
    void check(const World &world)
    {
        const auto &[first, second] = world.attempts;
        m_bothRan += first.ran && second.ran ? 1 : 0;
        for (const Attempt &attempt : world.attempts)
            m_falseNotRun += attempt.ran && attempt.heard == Heard::NotRun ? 1 : 0;
        const bool over = isOver(first) && isOver(second) && world.delayed.empty();
        if (!over)
            return;
        ++m_ends;
        if (world.owner < 0 || first.ran || second.ran)
            return;
        if (first.crashed || second.crashed)
            ++m_blockedByCrash;
        else
            ++m_blockedAfterNotRun;
    }

    static bool isOver(const Attempt &attempt)
    {
        return attempt.crashed || (attempt.heard != Heard::Nothing && !attempt.release);
    }

    void act(const World &world, int index)
    {
        const Attempt &attempt = world.attempts[index];
        if (isOver(attempt))
            return;
        World crashed = world;
        crashed.attempts[index].crashed = true;
        visit(crashed);
        switch (attempt.step) {
        case ClaimStep::Create:
            write(world, index, world.owner < 0, {index, 0});
            break;
        case ClaimStep::Delete:
            write(world, index, world.owner >= 0 && world.version == attempt.version,
                  {index, attempt.version});
            break;
        case ClaimStep::Read:
            read(world, index);
            break;
        case ClaimStep::Dispatch:
            dispatch(world, index);
            break;
        default:
            FAIL("unexpected step");
        }
    }

    /// A conditional write, answered or not, now or later.
    void write(const World &world, int index, bool possible, const Delayed &call)
    {
        World done = world;
        if (possible)
            apply(done, call);
        World lost = done;
        if (possible && call.deletes == 0)
            done.attempts[index].version = done.version;
        answer(done, index, answerOf(world, possible, call));
        if (world.faults >= maxFaults)
            return;
        ++lost.faults;
        World without = world;
        ++without.faults;
        World later = without;
        later.delayed.push_back(call);
        std::sort(later.delayed.begin(), later.delayed.end());
        answer(lost, index, ClaimCallResult::OutcomeUnknown);
        answer(later, index, ClaimCallResult::OutcomeUnknown);
        answer(without, index, ClaimCallResult::NoEffect);
    }

    static ClaimCallResult answerOf(const World &world, bool possible, const Delayed &call)
    {
        if (call.deletes == 0)
            return possible ? ClaimCallResult::Created : ClaimCallResult::Exists;
        if (possible)
            return ClaimCallResult::Deleted;
        return world.owner < 0 ? ClaimCallResult::Absent : ClaimCallResult::Exists;
    }

    static void apply(World &world, const Delayed &call)
    {
        world.owner = call.deletes == 0 ? call.attempt : -1;
        world.version = call.deletes == 0 ? ++world.lastVersion : 0;
    }

    void read(const World &world, int index)
    {
        World seen = world;
        ClaimCallResult result = ClaimCallResult::Absent;
        if (world.owner == index) {
            result = ClaimCallResult::TokenMatches;
            seen.attempts[index].version = world.version;
        } else if (world.owner >= 0) {
            result = ClaimCallResult::TokenDiffers;
        }
        answer(seen, index, result);
        if (world.faults >= maxFaults)
            return;
        World failed = world;
        ++failed.faults;
        answer(failed, index, ClaimCallResult::NoEffect);
    }

    /// The grant may have expired meanwhile; then the agent refuses.
    void dispatch(const World &world, int index)
    {
        World ran = world;
        ran.attempts[index].ran = true;
        ran.attempts[index].heard = Heard::Unknown;
        visit(ran);
        World refused = world;
        startRelease(refused, index, true);
        visit(refused);
    }

    static void startRelease(World &world, int index, bool held)
    {
        Attempt &attempt = world.attempts[index];
        attempt.heard = Heard::NotRun;
        attempt.release.emplace(held, attempt.claim.inDoubt());
        attempt.step = attempt.release->begin();
        if (attempt.step == ClaimStep::None)
            attempt.release.reset();
    }

    void answer(World &world, int index, ClaimCallResult result)
    {
        Attempt &attempt = world.attempts[index];
        if (attempt.release) {
            // The doubt period is longer than any delay.
            const auto ours = [&](const Delayed &call) { return call.attempt == index; };
            if (std::none_of(world.delayed.begin(), world.delayed.end(), ours))
                attempt.release->clearDoubt();
            attempt.step = attempt.release->handleResult(result);
            if (attempt.step == ClaimStep::None)
                attempt.release.reset();
            visit(world);
            return;
        }
        attempt.step = attempt.claim.handleResult(result);
        if (attempt.step == ClaimStep::Refuse)
            startRelease(world, index, false);
        if (attempt.step == ClaimStep::ReportState) {
            startRelease(world, index, false);
            attempt.heard = Heard::Unknown;
        }
        visit(world);
    }

    /// A delayed write takes effect, or never.
    void arrive(const World &world, std::size_t index)
    {
        World dropped = world;
        const Delayed call = world.delayed[index];
        dropped.delayed.erase(dropped.delayed.begin() + static_cast<std::ptrdiff_t>(index));
        World applied = dropped;
        const bool possible
                = call.deletes == 0 ? applied.owner < 0 : applied.version == call.deletes;
        if (possible)
            apply(applied, call);
        visit(applied);
        visit(dropped);
    }

    std::set<World> m_seen;
    std::size_t m_ends = 0;
    std::size_t m_bothRan = 0;
    std::size_t m_falseNotRun = 0;
    std::size_t m_blockedAfterNotRun = 0;
    std::size_t m_blockedByCrash = 0;
};

struct ClaimRow
{
    const char *name;
    std::vector<ClaimCallResult> answers;
    ClaimStep last;
    ClaimState state;
    bool inDoubt;
};

struct ReleaseRow
{
    const char *name;
    bool held;
    bool inDoubt;
    std::vector<ClaimCallResult> answers;
    ClaimStep last;
};

} // namespace

SCENARIO("a claim is taken, refused or found taken")
{
    using enum ClaimCallResult;
    const ClaimRow rows[] = {
            {"created", {Created}, ClaimStep::Dispatch, ClaimState::Held, false},
            {"no effect", {NoEffect}, ClaimStep::Refuse, ClaimState::Refused, false},
            {"exists", {Exists, TokenDiffers}, ClaimStep::ReportState, ClaimState::Taken, false},
            {"released meanwhile",
             {Exists, Absent, Created},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"answer lost",
             {OutcomeUnknown, TokenMatches},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"write lost",
             {OutcomeUnknown, Absent, Created},
             ClaimStep::Dispatch,
             ClaimState::Held,
             true},
            {"lost, then without effect",
             {OutcomeUnknown, Absent, NoEffect},
             ClaimStep::Refuse,
             ClaimState::Refused,
             true},
            {"delayed until the second creation",
             {OutcomeUnknown, Absent, Exists, TokenMatches},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"overtaken",
             {OutcomeUnknown, TokenDiffers},
             ClaimStep::ReportState,
             ClaimState::Taken,
             true},
            {"never settled",
             {OutcomeUnknown, NoEffect, NoEffect, NoEffect, NoEffect, NoEffect},
             ClaimStep::Refuse,
             ClaimState::Refused,
             true},
    };
    for (const ClaimRow &row : rows) {
        GIVEN(row.name)
        {
            ClaimAcquisition claim;
            ClaimStep step = claim.begin();
            for (const ClaimCallResult answer : row.answers)
                step = claim.handleResult(answer);
            CHECK(step == row.last);
            CHECK(claim.state() == row.state);
            CHECK(claim.inDoubt() == row.inDoubt);
        }
    }
}

SCENARIO("the claim of an attempt that did not run is released")
{
    using enum ClaimCallResult;
    const ReleaseRow rows[] = {
            {"nothing to release", false, false, {}, ClaimStep::None},
            {"held", true, false, {}, ClaimStep::Delete},
            {"deleted", true, false, {Deleted}, ClaimStep::None},
            {"delete lost", true, false, {OutcomeUnknown}, ClaimStep::Read},
            {"delete lost but done", true, false, {OutcomeUnknown, Absent}, ClaimStep::None},
            {"delete lost, not done",
             true,
             false,
             {OutcomeUnknown, TokenMatches},
             ClaimStep::Delete},
            {"platform down", true, false, {NoEffect, NoEffect, NoEffect}, ClaimStep::Read},
            {"a later attempt's", true, false, {Exists, TokenDiffers}, ClaimStep::None},
            {"creation in doubt", false, true, {Absent}, ClaimStep::Read},
            {"in doubt behind another attempt's",
             false,
             true,
             {TokenDiffers, TokenMatches},
             ClaimStep::Delete},
            {"late creation", false, true, {Absent, TokenMatches}, ClaimStep::Delete},
    };
    for (const ReleaseRow &row : rows) {
        GIVEN(row.name)
        {
            ClaimRelease release(row.held, row.inDoubt);
            ClaimStep step = release.begin();
            for (const ClaimCallResult answer : row.answers)
                step = release.handleResult(answer);
            CHECK(step == row.last);
        }
    }
}

SCENARIO("two attempts with the same key meet every fault in every order")
{
    GIVEN("all orders of up to four lost, failed or delayed calls, of crashes and refusals")
    {
        Explorer explorer;
        explorer.visit({});

        THEN("no two of them ran and no refusal was false")
        {
            CHECK(explorer.ends() > 0);
            CHECK(explorer.bothRan() == 0);
            CHECK(explorer.falseNotRun() == 0);
        }
        THEN("no claim is left where nothing ran, unless a router was lost")
        {
            CHECK(explorer.blockedAfterNotRun() == 0);
            // The limit of the guarantee: the record of a lost router says nothing about it.
            CHECK(explorer.blockedByCrash() > 0);
        }
    }
}
