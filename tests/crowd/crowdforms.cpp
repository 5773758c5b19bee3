#include "crowdforms.h"

#include <algorithm>
#include <sstream>

namespace bilberry::crowd {

namespace {

using Bytes = std::shared_ptr<const std::string>;

/// Bytes that a caller which stops just short of the end doesn't send.
constexpr std::size_t missingBytes = 4;
constexpr std::size_t overLimitBytes = 400'000'000;
constexpr std::size_t trailerFields = 400;
constexpr std::size_t trailerFieldBytes = 200;
constexpr std::size_t pipelinedRequests = 40;
constexpr std::size_t promptPartCount = 3000;

Bytes share(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'b') << "\r\n";
    return text.str();
}

std::string chunks(std::size_t bytes, std::size_t chunkBytes)
{
    const std::string whole = chunk(chunkBytes);
    std::string text;
    for (; bytes >= chunkBytes; bytes -= chunkBytes)
        text += whole;
    return bytes > 0 ? text + chunk(bytes) : text;
}

const std::string chunkedField = "Transfer-Encoding: chunked\r\n\r\n";
const std::string lastChunk = "0\r\n\r\n";

std::string lengthField(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::vector<tests::CrowdCaller> callers(std::size_t count, const tests::CrowdCaller &caller)
{
    return std::vector<tests::CrowdCaller>(count, caller);
}

} // namespace

std::string wholeRequest(const RequestHead &head, std::size_t bytes, BodyFraming framing)
{
    if (framing == withLength)
        return head + lengthField(bytes) + std::string(bytes, 'b');
    return head + chunkedField + chunks(bytes, framing.chunkBytes) + lastChunk;
}

std::vector<tests::CrowdCaller> bodyCrowd(const RequestHead &head, BodyFraming framing,
                                          std::size_t unfinished, std::size_t bytes)
{
    const Bytes request = share(wholeRequest(head, bytes, framing));
    std::vector<tests::CrowdCaller> result;
    for (std::size_t i = 0; i < crowdSize; ++i) {
        const bool isWhole = i % 10 >= unfinished;
        result.push_back({request, request->size() - (isWhole ? 0 : missingBytes)});
    }
    return result;
}

std::vector<CrowdForm> callerForms(const RequestHead &head)
{
    constexpr std::size_t noneOfTen = 0;
    return {{"whole", [head] { return bodyCrowd(head, withLength, noneOfTen); }},
            {"hang-up", [head] { return hangUpCrowd(head); }},
            {"unfinished", [head] { return bodyCrowd(head, withLength, mostOfTen); }},
            {"large-chunks", [head] { return bodyCrowd(head, largeChunks, mostOfTen); }},
            {"small-chunks", [head] { return bodyCrowd(head, smallChunks, mostOfTen); }},
            {"announced", [head] { return announcedCrowd(head); }},
            {"endless", [head] { return endlessCrowd(head, largeChunks); }},
            {"endless-small", [head] { return endlessCrowd(head, smallChunks); }},
            {"heads", [head] { return headCrowd(head); }},
            {"trailers", [head] { return trailerCrowd(head); }}};
}

std::vector<tests::CrowdCaller> hangUpCrowd(const RequestHead &head)
{
    const Bytes request = share(wholeRequest(head, bodyBytes, withLength));
    tests::CrowdCaller caller{request, request->size()};
    caller.hangsUp = true;
    return callers(crowdSize, caller);
}

std::vector<tests::CrowdCaller> documentCrowd(const RequestHead &head, std::size_t bytes)
{
    std::string document = "[0";
    while (document.size() + 3 <= bytes)
        document += ",0";
    document += "]";
    const Bytes request = share(head + lengthField(document.size()) + document);
    tests::CrowdCaller caller{request, request->size()};
    caller.reads = false;
    return callers(crowdSize, caller);
}

std::vector<tests::CrowdCaller> promptCrowd(const RequestHead &head, const std::string &field)
{
    std::vector<tests::CrowdCaller> result;
    std::size_t lastPart = 0;
    for (std::size_t i = 0; i < crowdSize; ++i) {
        std::ostringstream requests;
        for (std::size_t request = 0; request < pipelinedRequests; ++request) {
            // The parts' keys are chained, so that one new part makes all others new.
            requests << head << field << ": " << std::hex << ++lastPart << std::dec << ":0";
            for (std::size_t part = 0; part < promptPartCount; ++part)
                requests << ",1:0";
            requests << "\r\n\r\n";
        }
        const Bytes bytes = share(requests.str());
        result.push_back({bytes, bytes->size()});
    }
    return result;
}

std::vector<tests::CrowdCaller> announcedCrowd(const RequestHead &head)
{
    const Bytes start = share(head + lengthField(overLimitBytes));
    return callers(crowdSize,
                   {start, start->size(), share(std::string(largeChunks.chunkBytes, 'b'))});
}

std::vector<tests::CrowdCaller> endlessCrowd(const RequestHead &head, BodyFraming framing)
{
    const Bytes start = share(head + chunkedField);
    return callers(crowdSize, {start, start->size(),
                               share(chunks(largeChunks.chunkBytes, framing.chunkBytes))});
}

std::vector<tests::CrowdCaller> headCrowd(const RequestHead &head)
{
    std::string text = head;
    for (int i = 0; text.size() < headBytes; ++i)
        text += "X-Field-" + std::to_string(i) + ": " + std::string(50, 'h') + "\r\n";
    const Bytes unfinished = share(text);
    return callers(headCrowdSize, {unfinished, unfinished->size()});
}

std::vector<tests::CrowdCaller> trailerCrowd(const RequestHead &head)
{
    std::string text = head + chunkedField + chunks(bodyBytes, largeChunks.chunkBytes) + "0\r\n";
    for (std::size_t i = 0; i < trailerFields; ++i)
        text += "X-Trailer-" + std::to_string(i) + ": " + std::string(trailerFieldBytes, 't')
                + "\r\n";
    const Bytes unfinished = share(text);
    return callers(crowdSize, {unfinished, unfinished->size()});
}

std::vector<tests::CrowdCaller> unreadCrowd(const RequestHead &head)
{
    const Bytes request = share(head + "\r\n");
    tests::CrowdCaller caller{request, request->size()};
    caller.reads = false;
    return callers(crowdSize, caller);
}

std::vector<tests::CrowdCaller> pipeliningCrowd(const RequestHead &head)
{
    std::string text;
    for (std::size_t i = 0; i < pipelinedRequests; ++i)
        text += head + "\r\n";
    const Bytes requests = share(text);
    tests::CrowdCaller caller{requests, requests->size()};
    caller.reads = false;
    return callers(crowdSize, caller);
}

} // namespace bilberry::crowd
