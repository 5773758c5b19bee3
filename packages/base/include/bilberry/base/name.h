#ifndef BILBERRY_BASE_NAME_H
#define BILBERRY_BASE_NAME_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bilberry {

/// An identifier that can't be mixed up with one of another kind.
/// @tparam Tag the kind
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text)) {}

    /// @return the identifier's text
    const std::string &text() const { return m_text; }
    bool empty() const { return m_text.empty(); }
    auto operator<=>(const Name &) const = default;

    /// Reads or writes the text; the shape that cereal asks for.
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
