#ifndef BILBERRY_DECISION_CLAIM_H
#define BILBERRY_DECISION_CLAIM_H

#include <compare>
#include <cstdint>

namespace bilberry::decision {

/// State of the claim of a request that must not run twice.
enum class ClaimState {
    Creating,  ///< creating the claim object
    Verifying, ///< reading the object, because its creator is not known
    Held,      ///< the claim belongs to this attempt, which may be dispatched under its grant
    Refused,   ///< the attempt did not run; the object may still exist, see
               ///< ClaimAcquisition::inDoubt()
    Taken,     ///< the claim belongs to another attempt
};

/// Result of a call to the platform's object store.
enum class ClaimCallResult {
    Created,        ///< the object was created by this call
    Exists,         ///< an object of that name exists, or its version differs
    Deleted,        ///< the object was deleted by this call
    NoEffect,       ///< the call failed without effect
    OutcomeUnknown, ///< the call failed; it may have taken effect or may do so later
    TokenMatches,   ///< the object that was read has this attempt's token
    TokenDiffers,   ///< the object that was read has another token
    Absent,         ///< no such object exists
};

/// Next action of the caller. ReportState answers with the state of the other attempt's request.
enum class ClaimStep { Create, Read, Dispatch, Delete, Refuse, ReportState, None };

/// State machine that acquires the claim of one attempt. Performs no I/O: the caller executes the
/// steps and reports their results. Invariant: Dispatch is returned at most once, and only while
/// the object has this attempt's token.
class ClaimAcquisition
{
public:
    /// @return the first step
    ClaimStep begin();
    /// @param result of the last step
    /// @return the next step
    ClaimStep handleResult(ClaimCallResult result);

    ClaimState state() const { return m_state; }
    /// @return true while a creation with unknown outcome may still take effect
    bool inDoubt() const { return m_unresolvedCreations > 0; }

    auto operator<=>(const ClaimAcquisition &) const = default;

private:
    ClaimStep handleVerification(ClaimCallResult result);

    ClaimState m_state = ClaimState::Creating;
    std::uint32_t m_verifications = 0;
    std::uint32_t m_unresolvedCreations = 0;
};

/// State machine that deletes the claim of an attempt that did not run, so that a repeated request
/// may run. Performs no I/O, like ClaimAcquisition.
class ClaimRelease
{
public:
    /// @param held the object exists and its version is known
    /// @param inDoubt a creation may still take effect
    ClaimRelease(bool held, bool inDoubt) : m_held(held), m_inDoubt(inDoubt) {}

    /// @return the first step; None when there is nothing to delete
    ClaimStep begin() const;
    /// @param result of the last step
    /// @return the next step; None when the release is complete
    ClaimStep handleResult(ClaimCallResult result);
    /// Ends the doubt. A creation takes effect within the doubt period or never, so an object that
    /// is absent afterwards stays absent.
    void clearDoubt() { m_inDoubt = false; }

    auto operator<=>(const ClaimRelease &) const = default;

private:
    bool m_held = false;
    bool m_inDoubt = false;
};

} // namespace bilberry::decision

#endif
