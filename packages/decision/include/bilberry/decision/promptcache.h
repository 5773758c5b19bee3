#ifndef BILBERRY_DECISION_PROMPTCACHE_H
#define BILBERRY_DECISION_PROMPTCACHE_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// Part of a prompt. Requests with the same leading parts share the cached prefix on a server.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

/// A prompt as a sequence of prefixes. Each part is identified by a hash of all parts up to and
/// including it, as in a server's prefix cache.
class Prompt
{
public:
    struct Prefix
    {
        std::uint64_t key = 0;    ///< hash of the model and of all parts up to this one
        std::uint32_t tokens = 0; ///< of this part alone
        bool operator==(const Prefix &) const = default;
    };

    Prompt() = default;
    /// @param model name of the model; cached prefixes are not shared between models
    /// @param parts parts in order; the last one is specific to the request or its session
    Prompt(const std::string &model, const std::vector<PromptPart> &parts);

    const std::vector<Prefix> &prefixes() const { return m_prefixes; }
    /// @return memory that the prefixes take
    std::size_t heldBytes() const { return m_prefixes.capacity() * sizeof(Prefix); }
    std::uint32_t tokens() const { return m_tokens; }
    /// @return key of the prefix without the last part, by which prompts are assigned to servers; 0
    ///         when there is none
    std::uint64_t sharedPrefixKey() const;
    /// @return number of tokens without the last part
    std::uint32_t sharedPrefixTokens() const;
    bool operator==(const Prompt &) const = default;

private:
    std::vector<Prefix> m_prefixes;
    std::uint32_t m_tokens = 0;
};

/// Estimates a server's prefix cache from the prompts sent to it. Evicts the least recently used
/// parts when the capacity is exceeded, or when there are too many of them.
class PromptCache
{
public:
    /// @param capacity size of the server's prefix cache, in tokens
    explicit PromptCache(std::uint64_t capacity) : m_capacity(capacity) {}

    /// @return number of parts that are remembered
    std::size_t size() const { return m_entries.size(); }

    /// @return number of tokens in the longest prefix that the server is expected to have cached
    std::uint32_t cachedTokens(const Prompt &prompt) const;

    /// Records that the prompt is sent to the server.
    void insert(const Prompt &prompt);

    /// Records that another router sent a prompt to the server.
    /// @param prefix the prompt's shared prefix, as a whole
    /// @param ownTokens size of its last part, which occupies memory as well
    void insertShared(const Prompt::Prefix &prefix, std::uint32_t ownTokens);

    /// Changes the capacity, and evicts what is over it.
    void setCapacity(std::uint64_t tokens);

    /// Records that the server's cache was lost, for example in a restart.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };

    void touch(std::uint64_t key, std::uint32_t tokens);
    void evict();

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_anonymousParts = 0; ///< last parts of other routers' prompts; their keys
    std::list<Entry> m_entries;         ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_entriesByKey;
};

} // namespace bilberry::decision

#endif
