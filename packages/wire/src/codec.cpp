#include "bilberry/wire/codec.h"

#include "bilberry/base/freestring.h"

#include "boundedarchive.h"
#include "serialization.h"

#include <boost/endian/conversion.hpp>

#include <array>
#include <istream>
#include <ostream>
#include <streambuf>

namespace bilberry::wire {

namespace {

/// Stream buffer that appends to a string.
class StringSink : public std::streambuf
{
public:
    explicit StringSink(std::string &out) : m_out(out) {}

protected:
    std::streamsize xsputn(const char *data, std::streamsize count) override
    {
        m_out.append(data, static_cast<std::size_t>(count));
        return count;
    }

    int_type overflow(int_type c) override
    {
        m_out.push_back(static_cast<char>(c));
        return c;
    }

private:
    std::string &m_out;
};

template <typename Variant>
void appendBody(const Variant &message, std::string &out)
{
    StringSink sink(out);
    std::ostream stream(&sink);
    cereal::PortableBinaryOutputArchive archive(stream);
    std::visit([&](const auto &alternative) { archive(alternative); }, message);
}

/// @return false when an enumeration has a value that this version does not define
template <typename Message>
bool hasKnownEnumerators(const Message &message)
{
    if constexpr (std::is_same_v<Message, Refusal>)
        return message.reason <= RefusalReason::Cancelled;
    else if constexpr (std::is_same_v<Message, AnswerEnd>)
        return message.end <= AttemptEnd::ServerCrash;
    return true;
}

/// Decodes a body as the variant's alternative with the given index.
template <typename Variant, std::size_t Index = 0>
Result<Variant> decodeAlternative(std::size_t index, std::string_view body)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index != Index)
            return decodeAlternative<Variant, Index + 1>(index, body);
        ViewSource source(body);
        std::istream stream(&source);
        try {
            BoundedInputArchive archive(stream, source);
            std::variant_alternative_t<Index, Variant> message;
            archive(message);
            if (source.remaining() > 0)
                return WireErrc::TrailingBytes;
            if (!hasKnownEnumerators(message))
                return WireErrc::Malformed;
            return Variant(std::move(message));
        } catch (const std::exception &) {
            return WireErrc::Malformed;
        }
    } else {
        return WireErrc::UnknownType;
    }
}

} // namespace

std::string encodeFrame(const LinkMessage &message)
{
    std::string frame(frameHeaderSize, '\0');
    appendBody(message, frame);
    const auto length = static_cast<std::uint32_t>(frame.size());
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()), length);
    frame[4] = static_cast<char>(protocolVersion);
    frame[5] = static_cast<char>(message.index());
    return frame;
}

void FrameReader::append(std::string_view bytes)
{
    m_buffer.append(bytes);
}

void FrameReader::discardConsumed()
{
    constexpr std::size_t compactThreshold = 64U << 10U;
    /// Capacity that an empty buffer keeps for the next frame.
    constexpr std::size_t maxIdleBytes = 256U << 10U;
    const bool isEmpty = m_start == m_buffer.size();
    if (!isEmpty && m_start <= compactThreshold)
        return;
    if (isEmpty && m_buffer.capacity() > maxIdleBytes)
        freeString(m_buffer);
    else
        m_buffer.erase(0, m_start);
    m_start = 0;
}

Result<std::optional<LinkMessage>> FrameReader::next()
{
    using Next = std::optional<LinkMessage>;
    const std::string_view bytes = std::string_view(m_buffer).substr(m_start);
    if (bytes.size() < frameHeaderSize)
        return Next();
    const std::size_t length
            = boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(bytes.data()));
    if (length > maxFrameSize)
        return WireErrc::Oversized;
    if (length < frameHeaderSize)
        return WireErrc::Malformed;
    if (static_cast<std::uint8_t>(bytes[4]) != protocolVersion)
        return WireErrc::WrongVersion;
    if (bytes.size() < length)
        return Next();
    const auto type = static_cast<std::uint8_t>(bytes[5]);
    const std::string_view body = bytes.substr(frameHeaderSize, length - frameHeaderSize);
    Result<LinkMessage> message = decodeAlternative<LinkMessage>(type, body);
    m_start += length;
    discardConsumed();
    if (!message)
        return message.error();
    return Next(std::move(message).value());
}

std::string encodeDatagram(const GossipMessage &message)
{
    std::string datagram;
    datagram.push_back(static_cast<char>(protocolVersion));
    datagram.push_back(static_cast<char>(message.index()));
    appendBody(message, datagram);
    return datagram;
}

Result<GossipMessage> decodeDatagram(std::string_view bytes)
{
    constexpr std::size_t headerSize = 2;
    if (bytes.size() < headerSize)
        return WireErrc::Malformed;
    if (bytes.size() > maxDatagramSize)
        return WireErrc::Oversized;
    if (static_cast<std::uint8_t>(bytes[0]) != protocolVersion)
        return WireErrc::WrongVersion;
    return decodeAlternative<GossipMessage>(static_cast<std::uint8_t>(bytes[1]),
                                            bytes.substr(headerSize));
}

} // namespace bilberry::wire
