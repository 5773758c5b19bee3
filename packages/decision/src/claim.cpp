#include "bilberry/decision/claim.h"

namespace bilberry::decision {

namespace {

constexpr std::uint32_t maxRounds = 5;

} // namespace

ClaimStep ClaimAcquisition::begin()
{
    m_state = ClaimState::Creating;
    return ClaimStep::Create;
}

ClaimStep ClaimAcquisition::handleResult(ClaimCallResult answer)
{
    if (m_state == ClaimState::Settling)
        return settle(answer);
    if (m_state != ClaimState::Creating)
        return ClaimStep::None;
    switch (answer) {
    case ClaimCallResult::Created:
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimCallResult::NoEffect:
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    case ClaimCallResult::OutcomeUnknown:
        ++m_lostCreations;
        [[fallthrough]];
    default:
        // An existing object may be this attempt's own, when an earlier answer was lost.
        m_state = ClaimState::Settling;
        return ClaimStep::Read;
    }
}

ClaimStep ClaimAcquisition::settle(ClaimCallResult answer)
{
    switch (answer) {
    case ClaimCallResult::TokenMatches:
        // One of the lost creations took effect; the others may find the name free again later.
        --m_lostCreations;
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimCallResult::TokenDiffers:
        m_state = ClaimState::Taken;
        return ClaimStep::ReportState;
    default:
        break;
    }
    if (++m_rounds >= maxRounds) {
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    }
    // The lost creation may still be on its way. Creating again with the same token settles it:
    // whichever of the two takes effect is this attempt's own.
    if (answer == ClaimCallResult::Absent) {
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

ClaimStep ClaimRelease::handleResult(ClaimCallResult answer)
{
    switch (answer) {
    case ClaimCallResult::TokenMatches:
        return ClaimStep::Delete;
    // Another attempt's object keeps a late creation out only until it is released itself.
    case ClaimCallResult::TokenDiffers:
    case ClaimCallResult::Deleted:
    case ClaimCallResult::Absent:
        return m_inDoubt ? ClaimStep::Read : ClaimStep::None;
    default:
        return ClaimStep::Read;
    }
}

} // namespace bilberry::decision
