#include "bilberry/decision/planproofs.h"

#include "bilberry/decision/rendezvous.h"

#include <algorithm>

namespace bilberry::decision {

namespace {

/// Questions whose answers are still accepted.
constexpr std::size_t maxOpenQueries = 8;
/// Key by which the routers that ask the store are chosen.
constexpr const char *watcherKey = "plan-proofs";

Duration fallbackDelay(const PlanProofSettings &settings)
{
    constexpr std::uint64_t steps = 1000;
    const auto step = static_cast<double>(stableHash(settings.router.text()) % steps);
    return std::chrono::duration_cast<Duration>(settings.fallbackSpread * (step / steps));
}

bool contains(const std::vector<RouterId> &routers, const RouterId &router)
{
    return std::find(routers.begin(), routers.end(), router) != routers.end();
}

} // namespace

PlanProofs::PlanProofs(PlanProofSettings settings, std::uint64_t firstQuery)
    : m_settings(std::move(settings)),
      m_fallbackAge(m_settings.fallbackAge + fallbackDelay(m_settings)), m_nextQuery(firstQuery)
{
}

void PlanProofs::record(const PlanProof &proof)
{
    if (!m_newest) {
        m_newest = proof;
        return;
    }
    // While the previous version was the newest one, no version above this one existed.
    if (proof.planVersion > m_newest->planVersion)
        m_newest = {proof.planVersion, proof.storeRevision, std::max(proof.at, m_newest->at)};
    else if (proof.planVersion == m_newest->planVersion && proof.at > m_newest->at)
        m_newest = proof;
}

PlanProofs::Step PlanProofs::nextStep(const std::vector<RouterId> &others, BootTime now)
{
    Step step;
    const Duration proofAge = age(now);
    if (proofAge < std::min(m_settings.refreshAge, m_settings.watcherRefreshAge))
        return step;
    const std::vector<RouterId> watching = watchers(others);
    const bool isWatcher = contains(watching, m_settings.router);
    if (!isWatcher && proofAge < m_settings.refreshAge)
        return step;
    const bool isLate = proofAge >= m_fallbackAge;
    if ((isWatcher || isLate) && now - m_lastStoreCallAt >= m_settings.storeInterval) {
        step.askStore = true;
        m_lastStoreCallAt = now;
    }
    // The store may turn away some routers, among them those that ask for the others.
    const std::vector<RouterId> &asked = isLate ? others : watching;
    if (asked.empty() || (isWatcher && !isLate) || now - m_lastQueryAt < m_settings.queryInterval)
        return step;
    m_lastQueryAt = now;
    step.query = m_nextQuery++;
    step.askRouter = asked[step.query % asked.size()];
    m_queries.push_back({step.query, now});
    if (m_queries.size() > maxOpenQueries)
        m_queries.pop_front();
    return step;
}

bool PlanProofs::isWatcher(const std::vector<RouterId> &others) const
{
    return contains(watchers(others), m_settings.router);
}

std::optional<PlanProofAnswer> PlanProofs::answer(std::uint64_t query, BootTime now) const
{
    if (!m_newest)
        return std::nullopt;
    return PlanProofAnswer{query, m_newest->planVersion, m_newest->storeRevision, age(now)};
}

PlanProofs::AnswerResult PlanProofs::handleAnswer(const PlanProofAnswer &answer,
                                                  std::uint64_t ownVersion)
{
    const auto query = std::find_if(m_queries.begin(), m_queries.end(),
                                    [&](const Query &open) { return open.number == answer.query; });
    if (query == m_queries.end() || answer.age < Duration::zero())
        return AnswerResult::Ignored;
    const BootTime at = query->sentAt - answer.age;
    m_queries.erase(query);
    if (answer.planVersion > ownVersion)
        return AnswerResult::NewerPlan;
    if (answer.planVersion < ownVersion)
        return AnswerResult::Ignored;
    record({answer.planVersion, answer.storeRevision, at});
    return AnswerResult::Confirmed;
}

Duration PlanProofs::age(BootTime now) const
{
    return m_newest ? now - m_newest->at : Duration::max();
}

std::vector<RouterId> PlanProofs::watchers(const std::vector<RouterId> &others) const
{
    const std::uint64_t key = stableHash(watcherKey);
    std::vector<std::pair<std::uint64_t, RouterId>> weighted;
    weighted.reserve(others.size() + 1);
    const auto add = [&](const RouterId &router) {
        weighted.emplace_back(rendezvousWeight(key, stableHash(router.text())), router);
    };
    add(m_settings.router);
    for (const RouterId &router : others)
        add(router);
    const std::size_t count = std::min(m_settings.watcherCount, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), std::greater<>());
    std::vector<RouterId> chosen;
    for (std::size_t i = 0; i < count; ++i)
        chosen.push_back(weighted[i].second);
    return chosen;
}

} // namespace bilberry::decision
