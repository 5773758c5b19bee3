#include "bilberry/decision/claim.h"

namespace bilberry::decision {

namespace {

constexpr std::uint32_t maxVerifications = 5;

} // namespace

ClaimStep ClaimAcquisition::begin()
{
    m_state = ClaimState::Creating;
    return ClaimStep::Create;
}

ClaimStep ClaimAcquisition::handleResult(ClaimCallResult result)
{
    if (m_state == ClaimState::Verifying)
        return handleVerification(result);
    if (m_state != ClaimState::Creating)
        return ClaimStep::None;
    switch (result) {
    case ClaimCallResult::Created:
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimCallResult::NoEffect:
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    case ClaimCallResult::OutcomeUnknown:
        ++m_unresolvedCreations;
        [[fallthrough]];
    default:
        // The object may have been created by this attempt when an earlier result was lost.
        m_state = ClaimState::Verifying;
        return ClaimStep::Read;
    }
}

ClaimStep ClaimAcquisition::handleVerification(ClaimCallResult result)
{
    switch (result) {
    case ClaimCallResult::TokenMatches:
        // One of the unresolved creations took effect; the others can still do so after a deletion.
        m_unresolvedCreations -= m_unresolvedCreations > 0 ? 1 : 0;
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimCallResult::TokenDiffers:
        m_state = ClaimState::Taken;
        return ClaimStep::ReportState;
    default:
        break;
    }
    if (++m_verifications >= maxVerifications) {
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    }
    // The unresolved creation may still be in transit. Creating again with the same token resolves
    // this: whichever creation takes effect, the claim belongs to this attempt.
    if (result == ClaimCallResult::Absent) {
        m_state = ClaimState::Creating;
        return ClaimStep::Create;
    }
    return ClaimStep::Read;
}

ClaimStep ClaimRelease::begin() const
{
    if (m_held)
        return ClaimStep::Delete;
    return m_inDoubt ? ClaimStep::Read : ClaimStep::None;
}

ClaimStep ClaimRelease::handleResult(ClaimCallResult result)
{
    switch (result) {
    case ClaimCallResult::TokenMatches:
        return ClaimStep::Delete;
    // Another attempt's object blocks a late creation only until that object is deleted.
    case ClaimCallResult::TokenDiffers:
    case ClaimCallResult::Deleted:
    case ClaimCallResult::Absent:
        return m_inDoubt ? ClaimStep::Read : ClaimStep::None;
    default:
        return ClaimStep::Read;
    }
}

} // namespace bilberry::decision
