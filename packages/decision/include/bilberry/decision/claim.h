#ifndef BILBERRY_DECISION_CLAIM_H
#define BILBERRY_DECISION_CLAIM_H

#include <compare>
#include <cstdint>

namespace bilberry::decision {

/// Where the claim of a request that may not be repeated stands.
enum class ClaimState {
    Creating, ///< the claim object is being created
    Settling, ///< the answer to the creation was lost; the object is being read
    Held,     ///< this attempt holds the claim and may be dispatched under its grant
    Refused,  ///< nothing ran; the object may exist all the same, see Claim::inDoubt()
    Taken,    ///< another attempt holds the claim
};

/// What the platform said.
enum class ClaimCallResult {
    Created,        ///< the object was created by this call
    Exists,         ///< there is an object of that name, or it has another version
    Deleted,        ///< the object was deleted by this call
    NoEffect,       ///< the call had no effect
    OutcomeUnknown, ///< the call may have had an effect, or may have it later
    TokenMatches,   ///< the object read carries this attempt's token
    TokenDiffers,   ///< the object read carries another token
    Absent,         ///< there is no object
};

/// What has to be done next.
enum class ClaimStep { Create, Read, Dispatch, Delete, Refuse, ReportState, None };

/// Takes the claim of one attempt. Pure; the caller carries the steps out and reports what came
/// of them. Invariant: Dispatch is returned at most once, and only while the object carries this
/// attempt's token.
class ClaimAcquisition
{
public:
    /// @return the first step
    ClaimStep begin();
    /// @param answer of the platform to the last step
    /// @return the next step
    ClaimStep handleResult(ClaimCallResult answer);

    ClaimState state() const { return m_state; }
    /// @return true while a creation may still take effect that was never seen to do so
    bool inDoubt() const { return m_lostCreations > 0; }

    auto operator<=>(const ClaimAcquisition &) const = default;

private:
    ClaimStep settle(ClaimCallResult answer);

    ClaimState m_state = ClaimState::Creating;
    std::uint32_t m_rounds = 0;
    std::uint32_t m_lostCreations = 0;
};

/// Deletes the claim of an attempt that did not run, so that a repeat may run. Pure, like Claim.
class ClaimRelease
{
public:
    /// @param held the object exists and its version is known
    /// @param inDoubt a creation may still take effect
    ClaimRelease(bool held, bool inDoubt) : m_held(held), m_inDoubt(inDoubt) {}

    /// @return the first step; None when there is nothing to delete
    ClaimStep begin() const;
    /// @param answer of the platform to the last step
    /// @return the next step; None when the release is over
    ClaimStep handleResult(ClaimCallResult answer);
    /// Creations take effect within the doubt period or never: an absent object stays absent.
    void clearDoubt() { m_inDoubt = false; }

    auto operator<=>(const ClaimRelease &) const = default;

private:
    bool m_held = false;
    bool m_inDoubt = false;
};

} // namespace bilberry::decision

#endif
