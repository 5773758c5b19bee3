#include "bilberry/decision/claim.h"

namespace bilberry::decision {

namespace {

constexpr std::uint32_t maxRounds = 5;

} // namespace

ClaimStep Claim::begin()
{
    m_state = ClaimState::Creating;
    return ClaimStep::Create;
}

ClaimStep Claim::answered(ClaimAnswer answer)
{
    if (m_state == ClaimState::Releasing) {
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    }
    if (m_state == ClaimState::Settling)
        return settle(answer);
    if (m_state != ClaimState::Creating)
        return ClaimStep::None;
    switch (answer) {
    case ClaimAnswer::Created:
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimAnswer::NotDone:
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    default:
        // An existing object may be this attempt's own, when an earlier answer was lost.
        m_state = ClaimState::Settling;
        return ClaimStep::Read;
    }
}

ClaimStep Claim::settle(ClaimAnswer answer)
{
    switch (answer) {
    case ClaimAnswer::TokenIsOurs:
        m_state = ClaimState::Held;
        return ClaimStep::Dispatch;
    case ClaimAnswer::TokenDiffers:
        m_state = ClaimState::Taken;
        return ClaimStep::TellState;
    default:
        break;
    }
    if (++m_rounds >= maxRounds) {
        m_state = ClaimState::Refused;
        return ClaimStep::Refuse;
    }
    // The lost creation may still be on its way. Creating again with the same token settles it:
    // whichever of the two takes effect is this attempt's own.
    if (answer == ClaimAnswer::Absent) {
        m_state = ClaimState::Creating;
        return ClaimStep::Create;
    }
    return ClaimStep::Read;
}

void Claim::dispatched()
{
    m_state = ClaimState::Dispatched;
}

ClaimStep Claim::refusedByAgent()
{
    m_state = ClaimState::Releasing;
    return ClaimStep::Delete;
}

} // namespace bilberry::decision
