#ifndef BILBERRY_DECISION_PROMPTCACHE_H
#define BILBERRY_DECISION_PROMPTCACHE_H

#include "bilberry/base/time.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry::decision {

/// A part of a prompt; requests with the same leading parts can share what a server read of them.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const PromptPart &) const = default;
};

/// A prompt whose parts are named by everything up to their end, as a server caches them.
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
    /// @param model what the prompt is read by; servers share nothing between models
    /// @param parts in order; the last one belongs to the request or its session
    Prompt(const std::string &model, const std::vector<PromptPart> &parts);

    const std::vector<Prefix> &prefixes() const { return m_prefixes; }
    std::uint32_t tokens() const { return m_tokens; }
    /// @return key of the last part that requests share, by which the prompt is placed; 0: none
    std::uint64_t sharedKey() const;
    /// @return tokens of all parts but the last
    std::uint32_t sharedTokens() const;
    bool operator==(const Prompt &) const = default;

private:
    std::vector<Prefix> m_prefixes;
    std::uint32_t m_tokens = 0;
};

/// Estimates which parts a server holds, from what was sent to it: the least recently used parts
/// leave when its memory is full.
class PromptCache
{
public:
    /// @param capacity tokens that the server keeps
    explicit PromptCache(std::uint64_t capacity) : m_capacity(capacity) {}

    /// @return tokens of the longest leading run of parts that the server is taken to hold
    std::uint32_t held(const Prompt &prompt) const;

    /// The server reads the prompt.
    void read(const Prompt &prompt);

    /// The server lost its memory.
    void clear();

private:
    struct Entry
    {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::list<Entry> m_entries; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byKey;
};

} // namespace bilberry::decision

#endif
