#include "bilberry/decision/promptcache.h"

#include <xxhash.h>

#include <array>

namespace bilberry::decision {

namespace {

/// Parts of a server's cache that are remembered at most: callers choose the sizes of parts, and
/// ones without tokens would never fill the capacity.
constexpr std::size_t maxEntries = 2048;

} // namespace

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

/// Looks for the longest prefix first: of another router's prompt only the whole shared prefix is
/// known.
std::uint32_t PromptCache::cachedTokens(const Prompt &prompt) const
{
    std::uint32_t tokens = prompt.tokens();
    const auto &prefixes = prompt.prefixes();
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
        if (m_entriesByKey.contains(prefix->key))
            return tokens;
        tokens -= prefix->tokens;
    }
    return 0;
}

void PromptCache::insert(const Prompt &prompt)
{
    for (const Prompt::Prefix &prefix : prompt.prefixes())
        touch(prefix.key, prefix.tokens);
    evict();
}

void PromptCache::insertShared(const Prompt::Prefix &prefix, std::uint32_t ownTokens)
{
    touch(prefix.key, prefix.tokens);
    touch(++m_anonymousParts, ownTokens);
    evict();
}

void PromptCache::touch(std::uint64_t key, std::uint32_t tokens)
{
    const auto found = m_entriesByKey.find(key);
    if (found != m_entriesByKey.end()) {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return;
    }
    m_entries.push_front({key, tokens});
    m_entriesByKey[key] = m_entries.begin();
    m_tokens += tokens;
}

void PromptCache::evict()
{
    while (!m_entries.empty() && (m_tokens > m_capacity || m_entries.size() > maxEntries)) {
        m_tokens -= m_entries.back().tokens;
        m_entriesByKey.erase(m_entries.back().key);
        m_entries.pop_back();
    }
}

void PromptCache::setCapacity(std::uint64_t tokens)
{
    m_capacity = tokens;
    evict();
}

void PromptCache::clear()
{
    m_entries.clear();
    m_entriesByKey.clear();
    m_tokens = 0;
}

} // namespace bilberry::decision
