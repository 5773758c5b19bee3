#ifndef BILBERRY_BASE_MEMORYACCOUNT_H
#define BILBERRY_BASE_MEMORYACCOUNT_H

#include "bilberry/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <vector>

namespace bilberry {

class MemoryAccount;

/// What memory is held for.
enum class MemoryUse {
    Idle,      ///< a connection without a request in progress
    Receiving, ///< a request that is not complete, and can be refused as not run
    Serving,   ///< a request that was passed on, so that it may have run
    Sending,   ///< a response that its peer has not read yet
};
inline constexpr std::size_t memoryUseCount = 4;

/// @return name for logs and metrics
const char *toText(MemoryUse use);

/// Why a holder is asked to release what it holds.
enum class ReleaseCause {
    Memory,      ///< the account is full
    Connections, ///< too many connections are open
};

/// Asks the owner of a holder to release its memory soon: to refuse the request or to close the
/// connection. Runs on the thread of whoever needs the memory, inside the account, so it must only
/// post to the owner's event loop.
/// @param use of the memory when the account chose it; the owner does nothing if it has changed
using ReleaseHook = std::function<void(MemoryUse use, ReleaseCause cause)>;

/// The part of one connection or request in a MemoryAccount. May be handed from one thread to
/// another, but not be updated by two at the same time.
class MemoryHolder
{
public:
    /// @param group holders that share a limit of connections, identified by its owner's address
    /// @param release null when nobody can release the memory before its time
    MemoryHolder(std::shared_ptr<MemoryAccount> account, const void *group, ReleaseHook release,
                 TimePoint now = Clock::now());
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

    /// Reports what is held. The account may ask this or other holders to release theirs.
    /// @param movedBytes bytes received from or written to the peer since the last report
    void update(MemoryUse use, std::size_t bytes, std::size_t movedBytes = 0);
    /// The same at a given time.
    void update(MemoryUse use, std::size_t bytes, std::size_t movedBytes, TimePoint now);

private:
    friend class MemoryAccount;

    std::shared_ptr<MemoryAccount> m_account;
    const void *m_group;
    ReleaseHook m_release;
    std::size_t m_index = 0; ///< in the account's list
    MemoryUse m_use = MemoryUse::Idle;
    std::size_t m_bytes = 0;
    double m_recentBytes = 0.0; ///< moved bytes, decaying
    TimePoint m_movedAt;        ///< when bytes moved last; before that, when it began
    bool m_isReleasing = false;
};

/// Numbers of a MemoryAccount since its start.
struct MemoryCounters
{
    std::size_t heldBytes = 0;                            ///< now
    std::array<std::uint64_t, memoryUseCount> releases{}; ///< asked for, by use
    bool operator==(const MemoryCounters &) const = default;
};

/// Bounds the memory that a process holds for the connections of its callers and peers. When the
/// limit is reached, the holder pays first that holds most and moves least: it is asked to release
/// what it holds. A part of the limit is kept for holders of little, so that ordinary requests
/// don't pay for large ones. Thread-safe.
class MemoryAccount
{
public:
    /// Limit for the smallest VM that a process runs on.
    static constexpr std::size_t defaultLimitBytes = 48U << 20U;

    explicit MemoryAccount(std::size_t limitBytes = defaultLimitBytes);

    std::size_t limitBytes() const { return m_limitBytes; }
    MemoryCounters counters() const;

    /// @return false while memory that nobody can release before its time takes its part of the
    ///         limit, so that new requests of that kind are to be refused
    bool hasRoom() const;

    /// Asks a holder to release its connection: the one of a group that has moved no bytes for
    /// longest.
    /// @param uses of the memory, one of which the holder must have
    /// @param minStall least time without moved bytes
    /// @return false when there is none
    bool releaseSlowest(const void *group, std::initializer_list<MemoryUse> uses,
                        Duration minStall = Duration::zero(), TimePoint now = Clock::now());

    /// Returns freed memory to the system if much was freed since the last call. Takes some
    /// milliseconds then, so it is to be called once a second at most.
    void returnFreedMemory();

private:
    friend class MemoryHolder;

    void add(MemoryHolder &holder);
    void remove(MemoryHolder &holder);
    void update(MemoryHolder &holder, MemoryUse use, std::size_t bytes, std::size_t movedBytes,
                TimePoint now);
    void settle(TimePoint now);
    MemoryHolder *nextPayer(std::size_t minBytes, bool maySelectServing, TimePoint now) const;
    void release(MemoryHolder &holder, ReleaseCause cause);

    const std::size_t m_limitBytes;
    mutable std::mutex m_mutex;
    std::vector<MemoryHolder *> m_holders;
    std::size_t m_heldBytes = 0;      ///< of all holders
    std::size_t m_releasingBytes = 0; ///< of the ones that were asked to release
    std::size_t m_fixedBytes = 0;     ///< of the ones that nobody can release
    std::size_t m_peakBytes = 0;      ///< since memory was returned to the system
    std::array<std::uint64_t, memoryUseCount> m_releases{};
};

} // namespace bilberry

#endif
