#ifndef BILBERRY_BASE_NAME_H
#define BILBERRY_BASE_NAME_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bilberry {

/// Strongly typed identifier: names of different kinds don't convert to each other.
/// @tparam Tag distinguishes the kinds; may be incomplete
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text)) {}

    const std::string &text() const { return m_text; }
    bool empty() const { return m_text.empty(); }
    auto operator<=>(const Name &) const = default;

    /// Serializes the text (cereal's member function for both directions).
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_text);
    }

private:
    std::string m_text;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const Name<Tag> &name)
{
    return out << name.text();
}

} // namespace bilberry

template <typename Tag>
struct std::hash<bilberry::Name<Tag>>
{
    std::size_t operator()(const bilberry::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};

#endif
