#ifndef BILBERRY_MODEL_STOREREVISION_H
#define BILBERRY_MODEL_STOREREVISION_H

#include <compare>
#include <cstdint>

namespace bilberry {

/// Revision of a whole store, which increases with each change. When the store is restored from a
/// copy, an era begins: the numbers of the lost changes are given out again, and each revision of
/// the new era is newer than all of the eras before.
struct StoreRevision
{
    std::uint64_t era = 0; ///< 0: the store tells none
    std::uint64_t number = 0;

    constexpr StoreRevision() = default;
    /// A revision of a store that tells no era.
    constexpr StoreRevision(std::uint64_t number) : number(number) {}
    constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : era(era), number(number) {}

    constexpr StoreRevision &operator++()
    {
        ++number;
        return *this;
    }

    auto operator<=>(const StoreRevision &) const = default;
};

} // namespace bilberry

#endif
