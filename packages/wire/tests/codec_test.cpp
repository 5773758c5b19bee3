#include "bilberry/wire/codec.h"

#include "randommessage.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sys/resource.h>

using namespace bilberry;
using namespace bilberry::wire;

namespace {

constexpr std::size_t linkMessageTypes = std::variant_size_v<LinkMessage>;
constexpr std::size_t gossipMessageTypes = std::variant_size_v<GossipMessage>;

/// @return peak resident memory of the process, in bytes
std::size_t peakMemory()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<std::size_t>(usage.ru_maxrss) << 10U;
}

/// Messages that a FrameReader decoded and the error that it stopped at, if any.
struct ReadResult
{
    std::vector<LinkMessage> messages;
    std::error_code error;
};

/// Feeds the bytes to a FrameReader in pieces of the given size.
ReadResult readAll(std::string_view bytes, std::size_t piece)
{
    FrameReader reader;
    ReadResult result;
    for (std::size_t at = 0; at < bytes.size() && !result.error; at += piece) {
        reader.append(bytes.substr(at, piece));
        for (;;) {
            auto next = reader.next();
            result.error = next.error();
            if (!next || !next.value())
                break;
            result.messages.push_back(*std::move(next).value());
        }
    }
    return result;
}

std::string makeFrame(std::size_t length, std::uint8_t version, std::uint8_t type,
                      const std::string &body)
{
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    frame.push_back(static_cast<char>(version));
    frame.push_back(static_cast<char>(type));
    return frame + body;
}

std::string makeFrame(std::uint8_t type, const std::string &body)
{
    return makeFrame(frameHeaderSize + body.size(), protocolVersion, type, body);
}

/// @return a little-endian archive: the byte-order mark, then a length of seven bits per byte
std::string encodedLength(std::uint64_t length)
{
    std::string text(1, '\1');
    for (; length >= 0x80; length >>= 7U)
        text.push_back(static_cast<char>(length | 0x80U));
    text.push_back(static_cast<char>(length));
    return text;
}

template <typename Message>
std::uint8_t typeOf()
{
    return static_cast<std::uint8_t>(LinkMessage(Message()).index());
}

struct BadFrame
{
    const char *name;
    std::string bytes;
    WireErrc expected;
};

std::string frameWithByte(const LinkMessage &message, std::size_t offset, char value)
{
    // The body starts with a byte-order mark of one byte.
    std::string frame = encodeFrame(message);
    frame.at(frameHeaderSize + 1 + offset) = value;
    return frame;
}

/// Changes up to five bytes, and sometimes truncates or inserts bytes.
std::string damage(std::string bytes, RandomMessage &random)
{
    const std::size_t changes = random.below(6);
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i)
        bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    if (random.below(4) == 0)
        bytes.resize(random.below(bytes.size() + 1));
    if (random.below(4) == 0)
        bytes.insert(random.below(bytes.size() + 1), std::string(random.below(9), '\xff'));
    return bytes;
}

} // namespace

SCENARIO("every message is unchanged after encoding and decoding")
{
    THEN("link messages are equal, however the byte stream is split")
    {
        CHECK(rc::check([](std::uint64_t seed) {
            RandomMessage random(seed);
            std::vector<LinkMessage> sent;
            std::string bytes;
            for (std::size_t i = 0; i < linkMessageTypes; ++i) {
                sent.push_back(random.make<LinkMessage>(i));
                bytes += encodeFrame(sent.back());
            }
            const ReadResult read = readAll(bytes, 1 + random.below(200));
            RC_ASSERT(!read.error);
            RC_ASSERT(read.messages == sent);
        }));
    }
    THEN("gossip messages are equal")
    {
        CHECK(rc::check([](std::uint64_t seed) {
            RandomMessage random(seed);
            for (std::size_t i = 0; i < gossipMessageTypes; ++i) {
                const auto sent = random.make<GossipMessage>(i);
                const auto read = decodeDatagram(encodeDatagram(sent));
                RC_ASSERT(read.ok());
                RC_ASSERT(read.value() == sent);
            }
        }));
    }
}

SCENARIO("an invalid frame is rejected with a specific error")
{
    const std::string good = encodeFrame(AttemptStarted{7});
    const std::string goodBody = good.substr(frameHeaderSize);
    const std::uint8_t started = typeOf<AttemptStarted>();
    const std::uint8_t offer = typeOf<ConfigurationOffer>();
    const std::uint8_t demand = typeOf<Demand>();
    const BadFrame rows[] = {
            {"oversized", makeFrame(maxFrameSize + 1, protocolVersion, started, ""),
             WireErrc::Oversized},
            {"largest length", makeFrame(0xffffffffU, protocolVersion, started, ""),
             WireErrc::Oversized},
            {"length below the header", makeFrame(5, protocolVersion, started, ""),
             WireErrc::Malformed},
            {"zeros", std::string(64, '\0'), WireErrc::Malformed},
            {"other version", makeFrame(good.size(), protocolVersion + 1, started, goodBody),
             WireErrc::WrongVersion},
            {"version 0", makeFrame(good.size(), 0, started, goodBody), WireErrc::WrongVersion},
            {"unknown type", makeFrame(linkMessageTypes, goodBody), WireErrc::UnknownType},
            {"type 255", makeFrame(255, goodBody), WireErrc::UnknownType},
            {"empty body", makeFrame(started, ""), WireErrc::Malformed},
            {"short body", makeFrame(started, goodBody.substr(0, 5)), WireErrc::Malformed},
            {"trailing byte", makeFrame(started, goodBody + "x"), WireErrc::TrailingBytes},
            {"string of 2^30", makeFrame(offer, encodedLength(1ULL << 30U)), WireErrc::Malformed},
            {"string of 2^40", makeFrame(offer, encodedLength(1ULL << 40U)), WireErrc::Malformed},
            {"string of 2^64 - 1", makeFrame(offer, encodedLength(~0ULL)), WireErrc::Malformed},
            {"unterminated length", makeFrame(offer, '\1' + std::string(12, '\xff')),
             WireErrc::Malformed},
            {"length of 65 bits whose lowest 64 are 0",
             makeFrame(offer, '\1' + std::string(9, '\x80') + '\2'), WireErrc::Malformed},
            {"list of 2^28",
             makeFrame(demand, "\1" + std::string(4, '\0') + encodedLength(1U << 28U).substr(1)),
             WireErrc::Malformed},
            {"reason out of range", frameWithByte(Refusal{1, RefusalReason::Full, {}}, 8, '\x50'),
             WireErrc::Malformed},
            {"flag out of range", frameWithByte(AgentHeartbeat{}, 12, '\x7f'), WireErrc::Malformed},
            {"text", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", WireErrc::Oversized},
    };
    const std::size_t before = peakMemory();
    for (const BadFrame &row : rows) {
        GIVEN(row.name)
        {
            const ReadResult read = readAll(row.bytes, row.bytes.size());
            CHECK(read.messages.empty());
            CHECK(read.error == row.expected);
            CHECK(peakMemory() - before < 4 * maxFrameSize);
        }
    }
}

SCENARIO("a list that fills a frame takes memory in proportion to the frame")
{
    GIVEN("an element count equal to the number of zero bytes that fill the frame")
    {
        const std::size_t size = maxFrameSize - 64;
        const std::string fields = "\1" + std::string(8, '\0') + std::string(2, '\0')
                                   + encodedLength(size).substr(1) + std::string(size, '\0');
        const std::size_t before = peakMemory();
        const std::string frame = makeFrame(typeOf<AnswerHead>(), fields);
        const ReadResult read = readAll(frame, frame.size());

        THEN("it is rejected, with memory below 16 frames")
        {
            CHECK(read.error == WireErrc::Malformed);
            CHECK(peakMemory() - before < 16 * maxFrameSize);
        }
    }
}

SCENARIO("damaged bytes give a message or a wire error")
{
    GIVEN("randomly damaged frames and datagrams, from a fixed seed")
    {
        RandomMessage random(20261204);
        const std::size_t before = peakMemory();
        std::size_t refused = 0;
        std::size_t accepted = 0;
        for (int round = 0; round < 20000; ++round) {
            const LinkMessage message = random.make<LinkMessage>(random.below(linkMessageTypes));
            const std::string frame = damage(encodeFrame(message), random);
            const ReadResult read = readAll(frame, frame.size() + 1);
            const GossipMessage gossip
                    = random.make<GossipMessage>(random.below(gossipMessageTypes));
            const auto datagram = decodeDatagram(damage(encodeDatagram(gossip), random));
            for (const std::error_code &error : {read.error, datagram.error()}) {
                refused += error ? 1 : 0;
                accepted += error ? 0 : 1;
                if (error)
                    REQUIRE(error.category() == make_error_code(WireErrc::Malformed).category());
            }
        }
        THEN("both occur, and memory stays bounded")
        {
            CHECK(refused > 1000);
            CHECK(accepted > 1000);
            CHECK(peakMemory() - before < 4 * maxFrameSize);
        }
    }
}
