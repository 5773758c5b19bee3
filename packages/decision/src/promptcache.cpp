#include "bilberry/decision/promptcache.h"

#include <xxhash.h>

#include <array>

namespace bilberry::decision {

Prompt::Prompt(const std::string &model, const std::vector<PromptPart> &parts)
{
    std::uint64_t key = XXH64(model.data(), model.size(), 0);
    m_prefixes.reserve(parts.size());
    for (const PromptPart &part : parts) {
        const std::array<std::uint64_t, 2> chained{key, part.id};
        key = XXH64(chained.data(), sizeof chained, 0);
        m_prefixes.push_back({key, part.tokens});
        m_tokens += part.tokens;
    }
}

std::uint64_t Prompt::sharedPrefixKey() const
{
    return m_prefixes.size() < 2 ? 0 : m_prefixes[m_prefixes.size() - 2].key;
}

std::uint32_t Prompt::sharedPrefixTokens() const
{
    return m_prefixes.empty() ? 0 : m_tokens - m_prefixes.back().tokens;
}

std::uint32_t PromptCache::cachedTokens(const Prompt &prompt) const
{
    std::uint32_t tokens = 0;
    for (const Prompt::Prefix &prefix : prompt.prefixes()) {
        if (!m_entriesByKey.contains(prefix.key))
            break;
        tokens += prefix.tokens;
    }
    return tokens;
}

void PromptCache::insert(const Prompt &prompt)
{
    for (const Prompt::Prefix &prefix : prompt.prefixes()) {
        const auto found = m_entriesByKey.find(prefix.key);
        if (found != m_entriesByKey.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            continue;
        }
        m_entries.push_front({prefix.key, prefix.tokens});
        m_entriesByKey[prefix.key] = m_entries.begin();
        m_tokens += prefix.tokens;
    }
    while (m_tokens > m_capacity && !m_entries.empty()) {
        m_tokens -= m_entries.back().tokens;
        m_entriesByKey.erase(m_entries.back().key);
        m_entries.pop_back();
    }
}

void PromptCache::clear()
{
    m_entries.clear();
    m_entriesByKey.clear();
    m_tokens = 0;
}

} // namespace bilberry::decision
