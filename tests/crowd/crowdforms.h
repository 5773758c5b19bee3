#ifndef BILBERRY_CROWD_CROWDFORMS_H
#define BILBERRY_CROWD_CROWDFORMS_H

#include "support/crowd.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

/// What crowds of callers send that don't behave, and what a process has to bear of them.
namespace bilberry::crowd {

/// Memory of the smallest VM that a process runs on.
inline constexpr std::size_t vmBytes = 120U << 20U;
/// Most of that VM is free again after the crowd has left.
inline constexpr std::size_t bytesAfterwards = vmBytes / 2;
/// Descriptors of the smallest VM, and the ones of them that are not for sockets.
inline constexpr std::size_t vmDescriptors = 3075;
inline constexpr std::size_t reservedDescriptors = 200;

inline constexpr std::size_t crowdSize = 120;
/// Connections of a crowd whose callers come one after another.
inline constexpr int crowdInTurn = 120;
/// Of ten callers, how many leave their bodies unfinished in most crowds.
inline constexpr std::size_t mostOfTen = 9;
/// Callers of a crowd that sends heads: as many as a router accepts by default, and more.
inline constexpr std::size_t headCrowdSize = 3200;
/// Size of a large body that is legal everywhere.
inline constexpr std::size_t bodyBytes = 4'000'000;
/// Size of a head that is legal everywhere.
inline constexpr std::size_t headBytes = 15'000;

/// Request line and header fields that a router admits, without a body's framing and without the
/// blank line.
using RequestHead = std::string;

/// How a body is written.
struct BodyFraming
{
    std::size_t chunkBytes = 0; ///< 0: with Content-Length
    bool operator==(const BodyFraming &) const = default;
};

inline constexpr BodyFraming withLength{0};
inline constexpr BodyFraming largeChunks{64U << 10U};
inline constexpr BodyFraming smallChunks{4};

/// @return a whole request
std::string wholeRequest(const RequestHead &head, std::size_t bytes, BodyFraming framing);

/// Callers with large bodies of legal size.
/// @param unfinished of ten callers, how many stop just short of the end
/// @param bytes size of each body
std::vector<tests::CrowdCaller> bodyCrowd(const RequestHead &head, BodyFraming framing,
                                          std::size_t unfinished, std::size_t bytes = bodyBytes);

/// A form of crowd that any port for callers may meet.
struct CrowdForm
{
    std::string name;
    std::function<std::vector<tests::CrowdCaller>()> callers;
};

/// @return the forms that differ in how they send a request and where they stop
std::vector<CrowdForm> callerForms(const RequestHead &head);

/// Callers that send whole bodies and close their connections.
std::vector<tests::CrowdCaller> hangUpCrowd(const RequestHead &head);
/// Callers that send whole documents of many small JSON values, and read nothing.
std::vector<tests::CrowdCaller> documentCrowd(const RequestHead &head, std::size_t bytes);
/// Callers that pipeline requests with as many prompt parts as fit, no two alike, and read the
/// answers.
/// @param field name of the header field that lists the parts
std::vector<tests::CrowdCaller> promptCrowd(const RequestHead &head, const std::string &field);

/// Callers that announce bodies far over the limit, and send them.
std::vector<tests::CrowdCaller> announcedCrowd(const RequestHead &head);
/// Callers that send chunks without end.
std::vector<tests::CrowdCaller> endlessCrowd(const RequestHead &head, BodyFraming framing);
/// Callers that send heads and stop just short of the end.
std::vector<tests::CrowdCaller> headCrowd(const RequestHead &head);
/// Callers that end their body's last chunk with trailer fields, and stop just short of the end.
std::vector<tests::CrowdCaller> trailerCrowd(const RequestHead &head);
/// Callers that read nothing.
/// @param head of a request with a large answer
std::vector<tests::CrowdCaller> unreadCrowd(const RequestHead &head);
/// Callers that send requests without waiting for answers, and read nothing.
std::vector<tests::CrowdCaller> pipeliningCrowd(const RequestHead &head);

} // namespace bilberry::crowd

#endif
