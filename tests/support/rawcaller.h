#ifndef BILBERRY_TESTS_RAWCALLER_H
#define BILBERRY_TESTS_RAWCALLER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace bilberry::tests {

/// Bytes received on a connection, and how it ended.
struct RawAnswer
{
    std::string text;
    bool closed = false; ///< the peer closed the connection without a reset
    bool reset = false;  ///< the peer reset the connection

    /// @return status of the first answer; 0 when there is none
    int status() const;
    /// @return number of answers
    std::size_t answers() const;
    bool contains(const std::string &part) const { return text.find(part) != std::string::npos; }
};

/// A connection to loopback that sends arbitrary bytes. A read ends when no byte arrives for 20 s.
class RawCaller
{
public:
    explicit RawCaller(std::uint16_t port);

    void send(const std::string &bytes);
    /// Reads until the received text contains a part or the connection ends.
    /// @param part empty to read until the connection ends
    RawAnswer readUntil(const std::string &part);
    /// Reads what has arrived, at least a byte unless the connection ends.
    RawAnswer readSome();
    /// Reads one complete answer.
    /// @param hasBody false for an answer to HEAD
    RawAnswer readAnswer(bool hasBody = true);
    /// Reads until the connection ends.
    RawAnswer readAll() { return readUntil(""); }
    void close();

private:
    RawAnswer readWhile(const std::function<bool(const RawAnswer &)> &incomplete);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace bilberry::tests

#endif
