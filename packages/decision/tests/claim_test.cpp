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

/// Outcome that was reported to an attempt's caller.
enum class ReportedOutcome { None, NotRun, Unknown };

struct Attempt
{
    ClaimAcquisition claim;
    ClaimStep step = ClaimStep::Create;
    bool crashed = false;
    bool ran = false;
    ReportedOutcome reported = ReportedOutcome::None;
    std::optional<ClaimRelease> release;
    int version = 0; ///< of the object, as known to the attempt; 0: unknown
    auto operator<=>(const Attempt &) const = default;
};

/// A write whose result was lost before it took effect; it takes effect later or never.
struct DelayedWrite
{
    int attempt = 0;
    int versionToDelete = 0; ///< version to delete; 0 for a creation
    auto operator<=>(const DelayedWrite &) const = default;
};

/// State of two attempts with the same key, the claim object and the writes in transit.
struct SystemState
{
    int owner = -1; ///< attempt whose token the object has; -1: no object
    int version = 0;
    int lastVersion = 0;
    int faults = 0;
    std::vector<DelayedWrite> delayed;
    std::array<Attempt, 2> attempts;
    auto operator<=>(const SystemState &) const = default;
};

constexpr int maxFaults = 4;

/// Explores every order of calls, lost results, delayed writes, crashes and refusals.
class Explorer
{
public:
    void visit(const SystemState &world)
    {
        if (!m_visited.insert(world).second)
            return;
        check(world);
        for (int i = 0; i < 2; ++i) {
            if (!world.attempts[i].crashed)
                act(world, i);
        }
        for (std::size_t i = 0; i < world.delayed.size(); ++i)
            deliver(world, i);
    }

    std::size_t finalStates() const { return m_finalStates; }
    std::size_t bothRan() const { return m_bothRan; }
    std::size_t falseNotRun() const { return m_falseNotRun; }
    std::size_t staleClaims() const { return m_staleClaims; }
    std::size_t staleClaimsAfterCrash() const { return m_staleClaimsAfterCrash; }

private:
    void check(const SystemState &world)
    {
        const auto &[first, second] = world.attempts;
        m_bothRan += first.ran && second.ran ? 1 : 0;
        for (const Attempt &attempt : world.attempts)
            m_falseNotRun += attempt.ran && attempt.reported == ReportedOutcome::NotRun ? 1 : 0;
        const bool finished = isFinished(first) && isFinished(second) && world.delayed.empty();
        if (!finished)
            return;
        ++m_finalStates;
        if (world.owner < 0 || first.ran || second.ran)
            return;
        if (first.crashed || second.crashed)
            ++m_staleClaimsAfterCrash;
        else
            ++m_staleClaims;
    }

    static bool isFinished(const Attempt &attempt)
    {
        return attempt.crashed || (attempt.reported != ReportedOutcome::None && !attempt.release);
    }

    void act(const SystemState &world, int index)
    {
        const Attempt &attempt = world.attempts[index];
        if (isFinished(attempt))
            return;
        SystemState crashed = world;
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

    /// A conditional write that takes effect now, later or never; its result may be lost.
    void write(const SystemState &world, int index, bool possible, const DelayedWrite &call)
    {
        SystemState done = world;
        if (possible)
            apply(done, call);
        SystemState lost = done;
        if (possible && call.versionToDelete == 0)
            done.attempts[index].version = done.version;
        handleResult(done, index, resultOf(world, possible, call));
        if (world.faults >= maxFaults)
            return;
        ++lost.faults;
        SystemState noEffect = world;
        ++noEffect.faults;
        SystemState later = noEffect;
        later.delayed.push_back(call);
        std::sort(later.delayed.begin(), later.delayed.end());
        handleResult(lost, index, ClaimCallResult::OutcomeUnknown);
        handleResult(later, index, ClaimCallResult::OutcomeUnknown);
        handleResult(noEffect, index, ClaimCallResult::NoEffect);
    }

    static ClaimCallResult resultOf(const SystemState &world, bool possible,
                                    const DelayedWrite &call)
    {
        if (call.versionToDelete == 0)
            return possible ? ClaimCallResult::Created : ClaimCallResult::Exists;
        if (possible)
            return ClaimCallResult::Deleted;
        return world.owner < 0 ? ClaimCallResult::Absent : ClaimCallResult::Exists;
    }

    static void apply(SystemState &world, const DelayedWrite &call)
    {
        world.owner = call.versionToDelete == 0 ? call.attempt : -1;
        world.version = call.versionToDelete == 0 ? ++world.lastVersion : 0;
    }

    void read(const SystemState &world, int index)
    {
        SystemState seen = world;
        ClaimCallResult result = ClaimCallResult::Absent;
        if (world.owner == index) {
            result = ClaimCallResult::TokenMatches;
            seen.attempts[index].version = world.version;
        } else if (world.owner >= 0) {
            result = ClaimCallResult::TokenDiffers;
        }
        handleResult(seen, index, result);
        if (world.faults >= maxFaults)
            return;
        SystemState failed = world;
        ++failed.faults;
        handleResult(failed, index, ClaimCallResult::NoEffect);
    }

    /// The attempt runs, or the agent refuses it because its grant has expired.
    void dispatch(const SystemState &world, int index)
    {
        SystemState ran = world;
        ran.attempts[index].ran = true;
        ran.attempts[index].reported = ReportedOutcome::Unknown;
        visit(ran);
        SystemState refused = world;
        startRelease(refused, index, true);
        visit(refused);
    }

    static void startRelease(SystemState &world, int index, bool held)
    {
        Attempt &attempt = world.attempts[index];
        attempt.reported = ReportedOutcome::NotRun;
        attempt.release.emplace(held, attempt.claim.inDoubt());
        attempt.step = attempt.release->begin();
        if (attempt.step == ClaimStep::None)
            attempt.release.reset();
    }

    void handleResult(SystemState &world, int index, ClaimCallResult result)
    {
        Attempt &attempt = world.attempts[index];
        if (attempt.release) {
            // The doubt period exceeds any delay: it ends when no write is in transit.
            const auto ofThisAttempt
                    = [&](const DelayedWrite &call) { return call.attempt == index; };
            if (std::none_of(world.delayed.begin(), world.delayed.end(), ofThisAttempt))
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
            attempt.reported = ReportedOutcome::Unknown;
        }
        visit(world);
    }

    /// A delayed write takes effect, or is dropped.
    void deliver(const SystemState &world, std::size_t index)
    {
        SystemState dropped = world;
        const DelayedWrite call = world.delayed[index];
        dropped.delayed.erase(dropped.delayed.begin() + static_cast<std::ptrdiff_t>(index));
        SystemState applied = dropped;
        const bool possible = call.versionToDelete == 0 ? applied.owner < 0
                                                        : applied.version == call.versionToDelete;
        if (possible)
            apply(applied, call);
        visit(applied);
        visit(dropped);
    }

    std::set<SystemState> m_visited;
    std::size_t m_finalStates = 0;
    std::size_t m_bothRan = 0;
    std::size_t m_falseNotRun = 0;
    std::size_t m_staleClaims = 0;
    std::size_t m_staleClaimsAfterCrash = 0;
};

struct ClaimCase
{
    const char *name;
    std::vector<ClaimCallResult> results;
    ClaimStep lastStep;
    ClaimState state;
    bool inDoubt;
};

struct ReleaseCase
{
    const char *name;
    bool held;
    bool inDoubt;
    std::vector<ClaimCallResult> results;
    ClaimStep lastStep;
};

} // namespace

SCENARIO("a claim is acquired, refused or found to belong to another attempt")
{
    using enum ClaimCallResult;
    const ClaimCase cases[] = {
            {"created", {Created}, ClaimStep::Dispatch, ClaimState::Held, false},
            {"no effect", {NoEffect}, ClaimStep::Refuse, ClaimState::Refused, false},
            {"exists", {Exists, TokenDiffers}, ClaimStep::ReportState, ClaimState::Taken, false},
            {"released by another attempt meanwhile",
             {Exists, Absent, Created},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"creation done, result lost",
             {OutcomeUnknown, TokenMatches},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"the object has the claim's token although no creation is in doubt",
             {Exists, TokenMatches},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"creation lost",
             {OutcomeUnknown, Absent, Created},
             ClaimStep::Dispatch,
             ClaimState::Held,
             true},
            {"creation lost, then a call without effect",
             {OutcomeUnknown, Absent, NoEffect},
             ClaimStep::Refuse,
             ClaimState::Refused,
             true},
            {"delayed until the second creation",
             {OutcomeUnknown, Absent, Exists, TokenMatches},
             ClaimStep::Dispatch,
             ClaimState::Held,
             false},
            {"creation lost, another attempt was first",
             {OutcomeUnknown, TokenDiffers},
             ClaimStep::ReportState,
             ClaimState::Taken,
             true},
            {"creation lost, never verified",
             {OutcomeUnknown, NoEffect, NoEffect, NoEffect, NoEffect, NoEffect},
             ClaimStep::Refuse,
             ClaimState::Refused,
             true},
    };
    for (const ClaimCase &example : cases) {
        GIVEN(example.name)
        {
            ClaimAcquisition claim;
            ClaimStep step = claim.begin();
            for (const ClaimCallResult result : example.results)
                step = claim.handleResult(result);
            CHECK(step == example.lastStep);
            CHECK(claim.state() == example.state);
            CHECK(claim.inDoubt() == example.inDoubt);
        }
    }
}

SCENARIO("the claim of an attempt that did not run is released")
{
    using enum ClaimCallResult;
    const ReleaseCase cases[] = {
            {"nothing to release", false, false, {}, ClaimStep::None},
            {"held", true, false, {}, ClaimStep::Delete},
            {"deleted", true, false, {Deleted}, ClaimStep::None},
            {"deletion with unknown outcome", true, false, {OutcomeUnknown}, ClaimStep::Read},
            {"deletion done, result lost", true, false, {OutcomeUnknown, Absent}, ClaimStep::None},
            {"deletion lost", true, false, {OutcomeUnknown, TokenMatches}, ClaimStep::Delete},
            {"platform unavailable", true, false, {NoEffect, NoEffect, NoEffect}, ClaimStep::Read},
            {"the object belongs to a later attempt",
             true,
             false,
             {Exists, TokenDiffers},
             ClaimStep::None},
            {"creation in doubt", false, true, {Absent}, ClaimStep::Read},
            {"creation in doubt while another attempt's object exists",
             false,
             true,
             {TokenDiffers, TokenMatches},
             ClaimStep::Delete},
            {"late creation found", false, true, {Absent, TokenMatches}, ClaimStep::Delete},
    };
    for (const ReleaseCase &example : cases) {
        GIVEN(example.name)
        {
            ClaimRelease release(example.held, example.inDoubt);
            ClaimStep step = release.begin();
            for (const ClaimCallResult result : example.results)
                step = release.handleResult(result);
            CHECK(step == example.lastStep);
        }
    }
}

SCENARIO("two attempts with the same key run at most once under all faults")
{
    GIVEN("all orders of up to four lost, failed or delayed calls, of crashes and refusals")
    {
        Explorer explorer;
        explorer.visit({});

        THEN("never do both run, and no attempt that ran is reported as not run")
        {
            CHECK(explorer.finalStates() > 0);
            CHECK(explorer.bothRan() == 0);
            CHECK(explorer.falseNotRun() == 0);
        }
        THEN("no claim remains when nothing ran, unless a router crashed")
        {
            CHECK(explorer.staleClaims() == 0);
            // Limit of the guarantee: the claim of a crashed router does not show whether it ran.
            CHECK(explorer.staleClaimsAfterCrash() > 0);
        }
    }
}
