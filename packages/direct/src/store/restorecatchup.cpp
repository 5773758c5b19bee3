#include "store/restorecatchup.h"

#include "headerfields.h"

#include "bilberry/base/digest.h"

#include <algorithm>
#include <set>

namespace bilberry::direct {

namespace {

/// Era of a store that was never restored.
constexpr std::uint64_t firstEra = 1;
/// Limit of the items in one part of an answer, which must fit into a datagram.
constexpr std::size_t maxPartBytes = 16U << 10U;
/// Difference in age within which routers count as equally well informed: proofs are renewed each
/// second, and restores are noticed one after the other.
constexpr Duration knowledgeSlack = std::chrono::seconds(5);
/// Ages above this one are not told apart.
constexpr Duration maxKnowledgeAge = std::chrono::hours(1);

wire::HeldItemNotice toNotice(const std::string &collection, const store::HeldItem &item)
{
    wire::HeldItemNotice notice;
    notice.collection = collection;
    notice.name = item.name;
    notice.exists = item.known.has_value();
    notice.value = item.known.value_or("");
    notice.isInCopy = item.copy.has_value();
    notice.copiedValue = item.copy.value_or("");
    notice.ends = item.remaining.has_value();
    if (item.remaining)
        notice.remainingMs = static_cast<std::uint32_t>(toMilliseconds(*item.remaining));
    return notice;
}

store::HeldItem toHeldItem(const wire::HeldItemNotice &notice)
{
    store::HeldItem item;
    item.name = notice.name;
    if (notice.exists)
        item.known = notice.value;
    if (notice.isInCopy)
        item.copy = notice.copiedValue;
    if (notice.ends)
        item.remaining = std::chrono::milliseconds(notice.remainingMs);
    return item;
}

std::size_t sizeOf(const wire::HeldItemNotice &notice)
{
    return sizeof notice + notice.collection.size() + notice.name.size() + notice.value.size()
           + notice.copiedValue.size();
}

} // namespace

RestoreCatchUp::RestoreCatchUp(PeerExchange &peers, std::function<std::uint64_t()> planVersion,
                               std::function<Duration()> planAge, Log &log)
    : m_peers(peers), m_planVersion(std::move(planVersion)), m_planAge(std::move(planAge)),
      m_log(log), m_inquiry({}, randomId()), m_knowledgeAge(maxKnowledgeAge)
{
    m_peers.onRestoredStateQuery = [this](const wire::RestoredStateQuery &query) { answer(query); };
    m_peers.onRestoredStateReply
            = [this](const wire::RestoredStateReply &reply) { handleReply(reply); };
}

void RestoreCatchUp::add(const std::string &collection, store::CollectionWatcher &watcher)
{
    m_collections.push_back({collection, &watcher});
}

/// @return the lowest revision up to which a collection is known; 0 before all of them are listed
StoreRevision RestoreCatchUp::knownRevision() const
{
    StoreRevision lowest = planRevision();
    for (const Collection &collection : m_collections)
        lowest = std::min(lowest, collection.watcher->revision());
    return lowest;
}

std::uint64_t RestoreCatchUp::newestEra() const
{
    std::uint64_t newest = m_era;
    for (const Collection &collection : m_collections)
        newest = std::max(newest, collection.watcher->revision().era);
    return newest;
}

/// @return true when all collections are known, and none is to be listed again after a restore
bool RestoreCatchUp::isListed() const
{
    return knownRevision() != 0 && knownRevision().era == newestEra();
}

bool RestoreCatchUp::isStarting() const
{
    return m_stage == Stage::AskingAtStart
           || (m_stage == Stage::Unlisted && newestEra() > firstEra);
}

void RestoreCatchUp::recordRestore(std::uint64_t era)
{
    m_era = era;
    if (m_stage != Stage::Unlisted)
        startInquiry(isStarting() ? Stage::AskingAtStart : Stage::Asking);
}

void RestoreCatchUp::startInquiry(Stage stage)
{
    m_stage = stage;
    m_knowledgeAge = std::min(m_planAge(), maxKnowledgeAge);
    m_newerPlanAt = {};
    m_answers.clear();
    // The copy may lack routers that this one has never heard of.
    m_inquiry.start(stage == Stage::AskingAtStart, Clock::now());
}

void RestoreCatchUp::update()
{
    const bool hasList = isListed();
    if (m_stage == Stage::Unlisted && hasList) {
        if (isStarting())
            startInquiry(Stage::AskingAtStart);
        else
            m_stage = Stage::Settled;
    }
    if (!m_inquiry.isOpen())
        return;
    const TimePoint now = Clock::now();
    const std::vector<RouterId> others = m_peers.routers();
    const bool isComplete = hasList && m_inquiry.isComplete(others, now);
    // The newer plan that another router has may have been written again.
    const bool isBehind = planRevision() < m_newerPlanAt;
    if (!isBehind && (isComplete || m_inquiry.isOverdue(now))) {
        endInquiry();
        return;
    }
    // What others hold can be compared with the restored items only.
    if (!hasList)
        return;
    const auto round = m_inquiry.nextRound(m_peers.liveRouters(), others, now);
    for (const RouterId &router : round.routers)
        m_peers.queryRestoredState(router, round.query, knownRevision());
}

void RestoreCatchUp::endInquiry()
{
    adoptHeldItems();
    std::size_t heldItems = 0;
    for (const Collection &collection : m_collections)
        heldItems += collection.watcher->heldItems().size();
    m_log.decision("Asked the other routers what the restored store lacks.",
                   {{"answers", std::to_string(m_inquiry.answerCount())},
                    {"heldItems", std::to_string(heldItems)},
                    {"knowledgeAgeMs", toMillisecondsText(m_knowledgeAge)},
                    {"starting", isStarting() ? "true" : "false"}});
    m_answers.clear();
    m_inquiry.end();
    m_stage = Stage::Settled;
    onEnd();
}

/// Holds what the routers hold that knew the store best before it was restored. One that was cut
/// off may hold items that have changed since.
void RestoreCatchUp::adoptHeldItems()
{
    Duration youngest = m_knowledgeAge;
    for (const auto &[router, answer] : m_answers) {
        if (!answer.isStarting)
            youngest = std::min(youngest, answer.knowledgeAge);
    }
    const bool isOutdated = m_knowledgeAge > youngest + knowledgeSlack;
    std::map<std::string, std::vector<store::HeldItem>> items;
    std::map<std::string, std::set<std::string>> names;
    for (const auto &[router, answer] : m_answers) {
        if (answer.isStarting || answer.knowledgeAge > youngest + knowledgeSlack)
            continue;
        for (const auto &[part, notices] : answer.parts) {
            for (const wire::HeldItemNotice &notice : notices) {
                items[notice.collection].push_back(toHeldItem(notice));
                names[notice.collection].insert(notice.name);
            }
        }
    }
    for (const Collection &collection : m_collections) {
        if (isOutdated)
            collection.watcher->releaseHeldExcept(names[collection.name]);
        collection.watcher->adoptHeldItems(items[collection.name]);
    }
    m_knowledgeAge = youngest;
}

/// Answers when all collections of the restored store are known here, so that what it lacks is.
void RestoreCatchUp::answer(const wire::RestoredStateQuery &query)
{
    for (const Collection &collection : m_collections)
        collection.watcher->recordReachedRevision(query.storeRevision);
    if (!isListed() || knownRevision().era < query.storeRevision.era)
        return;
    wire::RestoredStateReply reply;
    reply.query = query.query;
    reply.isStarting = isStarting();
    reply.knowledgeAgeMs = static_cast<std::uint32_t>(toMilliseconds(m_knowledgeAge));
    reply.planVersion = m_planVersion();
    reply.storeRevision = planRevision();
    const auto parts = heldItemParts();
    reply.partCount = static_cast<std::uint32_t>(parts.size());
    for (const auto &part : parts) {
        reply.items = part;
        m_peers.sendRestoredState(query.sender.router, reply);
        ++reply.part;
    }
}

/// @return all held items, in parts that fit into a datagram; one part at least
std::vector<std::vector<wire::HeldItemNotice>> RestoreCatchUp::heldItemParts() const
{
    std::vector<std::vector<wire::HeldItemNotice>> parts(1);
    std::size_t bytes = 0;
    for (const Collection &collection : m_collections) {
        for (const store::HeldItem &item : collection.watcher->heldItems()) {
            const wire::HeldItemNotice notice = toNotice(collection.name, item);
            bytes += sizeOf(notice);
            if (bytes > maxPartBytes && !parts.back().empty()) {
                parts.emplace_back();
                bytes = sizeOf(notice);
            }
            parts.back().push_back(notice);
        }
    }
    return parts;
}

void RestoreCatchUp::handleReply(const wire::RestoredStateReply &reply)
{
    // What the other router holds is of no use for another era's copy.
    if (!m_inquiry.isOwnQuery(reply.query) || !isListed()
        || knownRevision().era != reply.storeRevision.era)
        return;
    const RouterId &router = reply.sender.router;
    Answer &answer = m_answers[router];
    if (answer.query != reply.query)
        answer = {
                reply.query, std::chrono::milliseconds(reply.knowledgeAgeMs), reply.isStarting, {}};
    answer.parts[reply.part] = reply.items;
    if (answer.parts.size() < reply.partCount)
        return;
    m_inquiry.recordAnswer(router, reply.isStarting, Clock::now());
    if (reply.planVersion > m_planVersion()) {
        m_newerPlanAt = std::max(m_newerPlanAt, reply.storeRevision);
        onPlanElsewhere(reply.planVersion, reply.storeRevision);
    }
    update();
}

} // namespace bilberry::direct
