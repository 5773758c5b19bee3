#ifndef BILBERRY_DECISION_CLAIM_H
#define BILBERRY_DECISION_CLAIM_H

#include <cstdint>
#include <string>

namespace bilberry::decision {

/// Where a request that may not be repeated stands.
enum class ClaimState {
    Creating,   ///< the claim object is being created
    Settling,   ///< the answer to the creation was lost; the object is being read
    Held,       ///< this attempt holds the claim and may be dispatched under its grant
    Releasing,  ///< nothing ran: the claim is being deleted
    Dispatched, ///< the request may have run; the claim stays
    Refused,    ///< nothing ran and nothing is held
    Taken,      ///< another attempt holds the claim
};

/// What the platform said.
enum class ClaimAnswer {
    Created,      ///< the object was created by this call
    Exists,       ///< there is an object of that name
    NotDone,      ///< the call had no effect
    Lost,         ///< the call may have had an effect
    TokenIsOurs,  ///< the object read carries this attempt's token
    TokenDiffers, ///< the object read carries another token
    Absent,       ///< there is no object
};

/// What has to be done next.
enum class ClaimStep { Create, Read, Dispatch, Delete, Refuse, TellState, None };

/// Order of steps of a request that may not be repeated: claim, dispatch, keep or release. Pure;
/// the caller carries the steps out and reports what came of them.
class Claim
{
public:
    /// @return the first step
    ClaimStep begin();
    /// @param answer of the platform to the last step
    /// @return the next step
    ClaimStep answered(ClaimAnswer answer);
    /// The dispatch was sent.
    void dispatched();
    /// The agent refused before it called its server.
    /// @return the next step
    ClaimStep refusedByAgent();

    ClaimState state() const { return m_state; }

private:
    ClaimStep settle(ClaimAnswer answer);

    ClaimState m_state = ClaimState::Creating;
    std::uint32_t m_rounds = 0;
};

} // namespace bilberry::decision

#endif
