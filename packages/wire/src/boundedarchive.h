#ifndef BILBERRY_WIRE_BOUNDEDARCHIVE_H
#define BILBERRY_WIRE_BOUNDEDARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cmath>
#include <istream>
#include <streambuf>
#include <string_view>

namespace bilberry::wire {

/// Reads from bytes that stay where they are.
class ViewSource : public std::streambuf
{
public:
    explicit ViewSource(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    /// @return bytes that were not read yet
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Input archive for bytes of a peer. Refuses, by a cereal::Exception, lengths beyond the bytes
/// that are left, flags that are neither 0 nor 1, and numbers that are not finite. Invariant: the
/// memory that a message takes stays in proportion to its bytes. The only input archive of this
/// package, so that the functions below may rely on it.
class BoundedInputArchive : public cereal::PortableBinaryInputArchive
{
public:
    BoundedInputArchive(std::istream &stream, const ViewSource &source)
        : cereal::PortableBinaryInputArchive(stream), m_source(source)
    {
    }

    /// @param length of a container that follows
    void checkLength(std::uint64_t length) const
    {
        // Each element takes a byte at the least.
        if (length > m_source.remaining())
            throw cereal::Exception("length exceeds the message");
    }

private:
    const ViewSource &m_source;
};

} // namespace bilberry::wire

/// Overloads that cereal prefers to its own ones for this archive.
namespace cereal {

/// Lengths take seven bits a byte, the lowest first; the top bit says that another byte follows.
constexpr std::uint8_t lengthBits = 7;
constexpr std::uint8_t moreFollows = 0x80;

template <typename T>
void serialize(PortableBinaryOutputArchive &archive, SizeTag<T> &tag)
{
    std::uint64_t rest = tag.size;
    while (rest >= moreFollows) {
        archive(static_cast<std::uint8_t>(rest | moreFollows));
        rest >>= lengthBits;
    }
    archive(static_cast<std::uint8_t>(rest));
}

template <typename T>
void serialize(PortableBinaryInputArchive &archive, SizeTag<T> &tag)
{
    std::uint64_t size = 0;
    std::uint8_t byte = moreFollows;
    for (unsigned shift = 0; byte >= moreFollows; shift += lengthBits) {
        if (shift >= 64)
            throw Exception("length out of range");
        archive(byte);
        size |= static_cast<std::uint64_t>(byte & (moreFollows - 1)) << shift;
    }
    tag.size = size;
    static_cast<const bilberry::wire::BoundedInputArchive &>(archive).checkLength(tag.size);
}

/// More elements than any message has. An element may take thirty times its bytes in memory.
constexpr std::uint64_t maxElements = 1U << 16U;

/// Makes room element by element, since an element may take more memory than bytes.
template <typename T, typename Allocator>
void load(PortableBinaryInputArchive &archive, std::vector<T, Allocator> &values)
{
    size_type size = 0;
    archive(make_size_tag(size));
    if (size > maxElements)
        throw Exception("too many elements");
    values.clear();
    for (size_type i = 0; i < size; ++i)
        archive(values.emplace_back());
}

inline void load(PortableBinaryInputArchive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1)
        throw Exception("flag out of range");
    flag = byte == 1;
}

inline void load(PortableBinaryInputArchive &archive, double &number)
{
    archive.loadBinary<sizeof number>(&number, sizeof number);
    if (!std::isfinite(number))
        throw Exception("number is not finite");
}

} // namespace cereal

#endif
