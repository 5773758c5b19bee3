#ifndef BILBERRY_DECISION_PLANPROOFS_H
#define BILBERRY_DECISION_PLANPROOFS_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"
#include "bilberry/model/storerevision.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace bilberry::decision {

struct PlanProofSettings
{
    RouterId router; ///< this router
    /// Age of the newest proof from which on the router asks for another one.
    Duration refreshAge = std::chrono::milliseconds(1000);
    /// The same for a router that asks the store for the others: what it learns shows them what
    /// their own watch calls may have missed.
    Duration watcherRefreshAge = std::chrono::milliseconds(700);
    /// Age from which on a router that relies on others asks the store itself.
    Duration fallbackAge = std::chrono::milliseconds(1800);
    /// Spread of that age over the routers, so that they don't ask the store all at once.
    Duration fallbackSpread = std::chrono::milliseconds(500);
    Duration queryInterval = std::chrono::milliseconds(300); ///< between two questions to routers
    Duration storeInterval = std::chrono::milliseconds(600); ///< between two questions to the store
    std::size_t watcherCount = 2; ///< routers that ask the store for the others
    bool operator==(const PlanProofSettings &) const = default;
};

/// Shows that no plan above a version existed at some time.
struct PlanProof
{
    std::uint64_t planVersion = 0;
    StoreRevision storeRevision; ///< of the whole store at that time
    BootTime at{};
    bool operator==(const PlanProof &) const = default;
};

/// A router's answer to another one's question for a proof. Holds a duration, as routers' clocks
/// can't be compared.
struct PlanProofAnswer
{
    std::uint64_t query = 0; ///< number of the question
    std::uint64_t planVersion = 0;
    StoreRevision storeRevision;
    Duration age{}; ///< of the proof when the answer was created
    bool operator==(const PlanProofAnswer &) const = default;
};

/// Keeps the proof that the router's plan is the newest one, with few calls to the store: some
/// routers, chosen by rendezvous hashing, ask the store, the others ask these. A proof from another
/// router counts from the moment at which the question was sent, so that delays of the answer, and
/// pauses of either router, only add to its age.
class PlanProofs
{
public:
    /// What to do next to keep the proof young.
    struct Step
    {
        bool askStore = false;
        std::optional<RouterId> askRouter;
        std::uint64_t query = 0; ///< number of the question to that router
        bool operator==(const Step &) const = default;
    };

    /// What an answer of another router shows.
    enum class AnswerResult {
        Ignored,   ///< it belongs to no open question, or the other router's plan is older
        Confirmed, ///< the own plan was the newest one
        NewerPlan, ///< the other router has a newer plan
    };

    /// @param firstQuery number of the first question; random, so that answers to an earlier
    ///        incarnation of this router match none
    PlanProofs(PlanProofSettings settings, std::uint64_t firstQuery);

    /// Records a proof from the store. Older ones are ignored.
    void record(const PlanProof &proof);

    /// @param others the other routers, in any order
    Step nextStep(const std::vector<RouterId> &others, BootTime now);

    /// @param others the other routers, in any order
    /// @return true when this router asks the store for the others
    bool isWatcher(const std::vector<RouterId> &others) const;

    /// @param query number of another router's question
    /// @return the answer, absent when this router has no proof
    std::optional<PlanProofAnswer> answer(std::uint64_t query, BootTime now) const;

    /// @param ownVersion version of the plan in force here
    AnswerResult handleAnswer(const PlanProofAnswer &answer, std::uint64_t ownVersion);

    const std::optional<PlanProof> &newest() const { return m_newest; }
    /// @return age of the newest proof; Duration::max() when there is none
    Duration age(BootTime now) const;

private:
    struct Query
    {
        std::uint64_t number = 0;
        BootTime sentAt{};
    };

    std::vector<RouterId> watchers(const std::vector<RouterId> &others) const;

    PlanProofSettings m_settings;
    Duration m_fallbackAge; ///< with this router's part of the spread
    std::optional<PlanProof> m_newest;
    std::deque<Query> m_queries;
    std::uint64_t m_nextQuery;
    BootTime m_lastQueryAt{};
    BootTime m_lastStoreCallAt{};
};

} // namespace bilberry::decision

#endif
