#ifndef BILBERRY_TESTS_MUTATOR_H
#define BILBERRY_TESTS_MUTATOR_H

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

namespace bilberry::tests {

/// Damages texts at random, the same way for the same seed.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed) : m_random(seed) {}

    /// @return the text with one to four damages
    std::string damage(std::string text);

    /// @return a random number below the bound
    std::size_t below(std::size_t bound) { return m_random() % bound; }

private:
    std::string token();

    std::mt19937_64 m_random;
};

/// @return seed of a fuzz test: BILBERRY_FUZZ_SEED, or 1
inline std::uint64_t fuzzSeed()
{
    const char *seed = std::getenv("BILBERRY_FUZZ_SEED");
    return seed ? std::strtoull(seed, nullptr, 10) : 1;
}

/// @return number of inputs of a fuzz test: BILBERRY_FUZZ_COUNT, or the given one
inline int fuzzCount(int usual)
{
    const char *count = std::getenv("BILBERRY_FUZZ_COUNT");
    return count ? std::atoi(count) : usual;
}

} // namespace bilberry::tests

#endif
