#include "bilberry/store/heldstates.h"

#include <utility>

namespace bilberry::store {

void HeldStates::hold(const std::string &name, ItemState copy, std::optional<TimePoint> until)
{
    m_items[name] = {std::move(copy), until};
}

bool HeldStates::isCopy(const std::string &name, const ItemState &listed) const
{
    const auto found = m_items.find(name);
    return found != m_items.end() && found->second.copy == listed;
}

void HeldStates::releaseUnlisted(const std::set<std::string> &listedNames)
{
    std::erase_if(m_items, [&](const auto &item) {
        return item.second.copy && !listedNames.contains(item.first);
    });
}

std::optional<TimePoint> HeldStates::nextEnd() const
{
    std::optional<TimePoint> next;
    for (const auto &[name, held] : m_items) {
        if (held.until && (!next || *held.until < *next))
            next = held.until;
    }
    return next;
}

std::map<std::string, HeldStates::ItemState> HeldStates::takeEnded(TimePoint now)
{
    std::map<std::string, ItemState> ended;
    for (const auto &[name, held] : m_items) {
        if (held.until && *held.until <= now)
            ended.emplace(name, held.copy);
    }
    for (const auto &[name, copy] : ended)
        m_items.erase(name);
    return ended;
}

} // namespace bilberry::store
