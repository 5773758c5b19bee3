#include "support/rawcaller.h"

#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>

namespace bilberry::tests {

namespace asio = boost::asio;

namespace {

constexpr char statusLinePrefix[] = "HTTP/1.1 ";

} // namespace

int RawAnswer::status() const
{
    return text.starts_with(statusLinePrefix)
                   ? std::atoi(text.c_str() + sizeof statusLinePrefix - 1)
                   : 0;
}

std::size_t RawAnswer::answers() const
{
    std::size_t count = 0;
    for (std::size_t at = 0; (at = text.find(statusLinePrefix, at)) != std::string::npos; ++at)
        ++count;
    return count;
}

RawCaller::RawCaller(std::uint16_t port) : m_socket(m_context)
{
    m_socket.connect(asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
    const timeval limit{20, 0};
    setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

void RawCaller::send(const std::string &bytes)
{
    // The peer may have refused the request and closed the connection already.
    boost::system::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

RawAnswer RawCaller::readWhile(const std::function<bool(const RawAnswer &)> &incomplete)
{
    RawAnswer answer;
    std::array<char, 16384> input{};
    while (incomplete(answer)) {
        const ssize_t size = ::recv(m_socket.native_handle(), input.data(), input.size(), 0);
        if (size <= 0) {
            answer.closed = size == 0;
            answer.reset = size < 0 && errno == ECONNRESET;
            break;
        }
        answer.text.append(input.data(), static_cast<std::size_t>(size));
    }
    return answer;
}

RawAnswer RawCaller::readUntil(const std::string &part)
{
    return readWhile(
            [&](const RawAnswer &answer) { return part.empty() || !answer.contains(part); });
}

RawAnswer RawCaller::readSome()
{
    return readWhile([](const RawAnswer &answer) { return answer.text.empty(); });
}

RawAnswer RawCaller::readAnswer(bool hasBody)
{
    return readWhile([&](const RawAnswer &answer) {
        const std::size_t head = answer.text.find("\r\n\r\n");
        if (head == std::string::npos)
            return true;
        if (!hasBody)
            return false;
        const std::string length = "Content-Length: ";
        const std::size_t at = answer.text.find(length);
        if (at > head)
            return !answer.text.ends_with("\r\n0\r\n\r\n");
        return answer.text.size() < head + 4 + std::stoul(answer.text.substr(at + length.size()));
    });
}

void RawCaller::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace bilberry::tests
