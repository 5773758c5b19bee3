#ifndef BILBERRY_WIRE_TESTS_RANDOMMESSAGE_H
#define BILBERRY_WIRE_TESTS_RANDOMMESSAGE_H

#include "serialization.h"

#include <cmath>
#include <random>

namespace bilberry::wire {

/// Fills the fields of a message with random values; passed to serialize() in place of an archive.
class RandomMessage
{
public:
    explicit RandomMessage(std::uint64_t seed) : m_engine(seed) {}

    template <typename... T>
    void operator()(T &...fields)
    {
        (fill(fields), ...);
    }

    /// @return a random number below the bound
    std::size_t below(std::size_t bound) { return m_engine() % bound; }

    /// @return a random message of the variant's alternative with the given index
    template <typename Variant, std::size_t Index = 0>
    Variant make(std::size_t index)
    {
        if constexpr (Index + 1 < std::variant_size_v<Variant>) {
            if (index != Index)
                return make<Variant, Index + 1>(index);
        }
        std::variant_alternative_t<Index, Variant> message;
        serialize(*this, message);
        return message;
    }

private:
    template <typename T>
    requires std::is_integral_v<T>
    void fill(T &value) { value = static_cast<T>(m_engine() >> below(64)); }
    void fill(bool &value) { value = below(2) == 1; }
    void fill(double &value) { value = std::ldexp(static_cast<double>(m_engine()), -20); }
    void fill(RefusalReason &value) { value = static_cast<RefusalReason>(below(7)); }
    void fill(AttemptEnd &value) { value = static_cast<AttemptEnd>(below(4)); }
    void fill(std::string &value)
    {
        value.resize(below(40));
        for (char &c : value)
            c = static_cast<char>(below(256));
    }
    template <typename T>
    void fill(std::vector<T> &values)
    {
        values.resize(below(5));
        for (T &value : values)
            fill(value);
    }
    template <typename Tag>
    void fill(Name<Tag> &name)
    {
        name.serialize(*this);
    }
    template <typename T>
    requires std::is_class_v<T>
    void fill(T &value) { serialize(*this, value); }

    std::mt19937_64 m_engine;
};

} // namespace bilberry::wire

#endif
