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

/// Stream buffer that reads from a byte range without copying; the range must outlive it.
class ViewSource : public std::streambuf
{
public:
    explicit ViewSource(std::string_view bytes)
    {
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }

    /// @return number of bytes not read yet
    std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Input archive for untrusted bytes. Throws a cereal::Exception for a length that exceeds the
/// remaining bytes, a flag that is neither 0 nor 1, and a number that is not finite. Invariant: a
/// message takes memory in proportion to its bytes. This is the only input archive of the package;
/// the functions below rely on that.
class BoundedInputArchive : public cereal::PortableBinaryInputArchive
{
public:
    BoundedInputArchive(std::istream &stream, const ViewSource &source)
        : cereal::PortableBinaryInputArchive(stream), m_source(source)
    {
    }

    /// Throws when the length exceeds the remaining bytes.
    /// @param length number of elements in the container that follows
    void checkLength(std::uint64_t length) const
    {
        // Each element takes at least one byte.
        if (length > m_source.remaining())
            throw cereal::Exception("container length exceeds the remaining bytes of the message");
    }

private:
    const ViewSource &m_source;
};

} // namespace bilberry::wire

/// Overloads that cereal prefers to its own for these archives.
namespace cereal {

/// Lengths are variable-length integers: seven bits per byte, lowest bits first; the top bit is set
/// when another byte follows.
constexpr std::uint8_t bitsPerLengthByte = 7;
constexpr std::uint8_t continuationBit = 0x80;

template <typename T>
void serialize(PortableBinaryOutputArchive &archive, SizeTag<T> &tag)
{
    std::uint64_t remaining = tag.size;
    while (remaining >= continuationBit) {
        archive(static_cast<std::uint8_t>(remaining | continuationBit));
        remaining >>= bitsPerLengthByte;
    }
    archive(static_cast<std::uint8_t>(remaining));
}

template <typename T>
void serialize(PortableBinaryInputArchive &archive, SizeTag<T> &tag)
{
    std::uint64_t size = 0;
    std::uint8_t byte = continuationBit;
    for (unsigned shift = 0; byte >= continuationBit; shift += bitsPerLengthByte) {
        archive(byte);
        const std::uint64_t bits = byte & (continuationBit - 1);
        if (shift >= 64 || (bits << shift) >> shift != bits)
            throw Exception("container length exceeds 64 bits");
        size |= bits << shift;
    }
    tag.size = size;
    static_cast<const bilberry::wire::BoundedInputArchive &>(archive).checkLength(tag.size);
}

/// Maximum number of elements in a container; no message has as many. An element may take thirty
/// times its encoded size in memory.
constexpr std::uint64_t maxElements = 1U << 16U;

/// Allocates element by element, since an element may take more memory than encoded bytes.
template <typename T, typename Allocator>
void load(PortableBinaryInputArchive &archive, std::vector<T, Allocator> &values)
{
    size_type size = 0;
    archive(make_size_tag(size));
    if (size > maxElements)
        throw Exception("container exceeds 65536 elements");
    values.clear();
    for (size_type i = 0; i < size; ++i)
        archive(values.emplace_back());
}

inline void load(PortableBinaryInputArchive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1)
        throw Exception("flag is neither 0 nor 1");
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
