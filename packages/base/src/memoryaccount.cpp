#include "bilberry/base/memoryaccount.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>

namespace bilberry {

namespace {

/// Holders of at most this are ordinary: they pay only when nobody holds more.
constexpr std::size_t ordinaryBytes = 64U << 10U;
/// Fraction of the limit that holders of more than that may fill.
constexpr double largeFraction = 0.75;
/// Fraction of the limit that memory may fill which nobody can release before its time.
constexpr double fixedFraction = 0.5;
/// Time over which moved bytes are counted.
constexpr double rateWindowS = 1.0;
/// Added to each rate, so that a holder of little that has just begun isn't the slowest.
constexpr double minRate = 64.0 * 1024.0;
/// Freed bytes from which on the allocator's free memory is returned to the system.
constexpr std::size_t minReturnedBytes = 8U << 20U;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decay(Duration elapsed)
{
    return std::exp(-std::max(seconds(elapsed), 0.0) / rateWindowS);
}

} // namespace

const char *toText(MemoryUse use)
{
    switch (use) {
    case MemoryUse::Idle:
        return "idle";
    case MemoryUse::Receiving:
        return "receiving";
    case MemoryUse::Serving:
        return "serving";
    case MemoryUse::Sending:
        break;
    }
    return "sending";
}

MemoryHolder::MemoryHolder(std::shared_ptr<MemoryAccount> account, const void *group,
                           ReleaseHook release, TimePoint now)
    : m_account(std::move(account)), m_group(group), m_release(std::move(release)), m_movedAt(now)
{
    m_account->add(*this);
}

MemoryHolder::~MemoryHolder()
{
    m_account->remove(*this);
}

void MemoryHolder::update(MemoryUse use, std::size_t bytes, std::size_t movedBytes)
{
    // Reports without news are frequent.
    if (use != m_use || bytes != m_bytes || movedBytes > 0)
        update(use, bytes, movedBytes, Clock::now());
}

void MemoryHolder::update(MemoryUse use, std::size_t bytes, std::size_t movedBytes, TimePoint now)
{
    m_account->update(*this, use, bytes, movedBytes, now);
}

MemoryAccount::MemoryAccount(std::size_t limitBytes) : m_limitBytes(limitBytes) {}

MemoryCounters MemoryAccount::counters() const
{
    const std::lock_guard lock(m_mutex);
    return {m_heldBytes, m_releases};
}

bool MemoryAccount::hasRoom() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<double>(m_fixedBytes) < fixedFraction * static_cast<double>(m_limitBytes);
}

void MemoryAccount::add(MemoryHolder &holder)
{
    const std::lock_guard lock(m_mutex);
    holder.m_index = m_holders.size();
    m_holders.push_back(&holder);
}

void MemoryAccount::remove(MemoryHolder &holder)
{
    const std::lock_guard lock(m_mutex);
    m_heldBytes -= holder.m_bytes;
    m_releasingBytes -= holder.m_isReleasing ? holder.m_bytes : 0;
    m_fixedBytes -= holder.m_release ? 0 : holder.m_bytes;
    m_holders.back()->m_index = holder.m_index;
    m_holders[holder.m_index] = m_holders.back();
    m_holders.pop_back();
}

void MemoryAccount::update(MemoryHolder &holder, MemoryUse use, std::size_t bytes,
                           std::size_t movedBytes, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_heldBytes += bytes - holder.m_bytes;
    m_fixedBytes += holder.m_release ? 0 : bytes - holder.m_bytes;
    if (holder.m_isReleasing)
        m_releasingBytes += bytes - holder.m_bytes;
    const bool grows = bytes > holder.m_bytes;
    holder.m_bytes = bytes;
    // A holder that was asked and serves another purpose by now has released what it held, or
    // can't any more.
    if (holder.m_isReleasing && use != holder.m_use) {
        holder.m_isReleasing = false;
        m_releasingBytes -= bytes;
    }
    holder.m_use = use;
    if (movedBytes > 0) {
        holder.m_recentBytes = holder.m_recentBytes * decay(now - holder.m_movedAt)
                               + static_cast<double>(movedBytes);
        holder.m_movedAt = now;
    }
    m_peakBytes = std::max(m_peakBytes, m_heldBytes);
    if (grows)
        settle(now);
}

/// Frees memory in two steps, so that neither a large request nor an ordinary one pays for
/// requests that were passed on before there is no other way.
void MemoryAccount::settle(TimePoint now)
{
    const auto largeLimit
            = static_cast<std::size_t>(largeFraction * static_cast<double>(m_limitBytes));
    const auto exceeds
            = [this](std::size_t limit) { return m_heldBytes - m_releasingBytes > limit; };
    while (exceeds(largeLimit)) {
        MemoryHolder *payer = nextPayer(ordinaryBytes, false, now);
        if (!payer && exceeds(m_limitBytes))
            payer = nextPayer(ordinaryBytes, true, now);
        if (!payer && exceeds(m_limitBytes))
            payer = nextPayer(0, true, now);
        if (!payer)
            return;
        release(*payer, ReleaseCause::Memory);
    }
}

/// @param minBytes holders of at most this are left out
/// @return the holder that would take longest to move what it holds; null when there is none
MemoryHolder *MemoryAccount::nextPayer(std::size_t minBytes, bool maySelectServing,
                                       TimePoint now) const
{
    MemoryHolder *payer = nullptr;
    double longest = 0.0;
    for (MemoryHolder *holder : m_holders) {
        if (holder->m_isReleasing || !holder->m_release || holder->m_bytes <= minBytes
            || (holder->m_use == MemoryUse::Serving && !maySelectServing))
            continue;
        const double rate = holder->m_recentBytes * decay(now - holder->m_movedAt) / rateWindowS;
        const double time = static_cast<double>(holder->m_bytes) / (rate + minRate);
        if (time > longest) {
            longest = time;
            payer = holder;
        }
    }
    return payer;
}

bool MemoryAccount::releaseSlowest(const void *group, std::initializer_list<MemoryUse> uses,
                                   Duration minStall, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    MemoryHolder *slowest = nullptr;
    for (MemoryHolder *holder : m_holders) {
        const bool isCandidate = holder->m_group == group && holder->m_release
                                 && !holder->m_isReleasing
                                 && std::find(uses.begin(), uses.end(), holder->m_use) != uses.end()
                                 && now - holder->m_movedAt >= minStall;
        if (isCandidate && (!slowest || holder->m_movedAt < slowest->m_movedAt))
            slowest = holder;
    }
    if (!slowest)
        return false;
    release(*slowest, ReleaseCause::Connections);
    return true;
}

void MemoryAccount::release(MemoryHolder &holder, ReleaseCause cause)
{
    holder.m_isReleasing = true;
    m_releasingBytes += holder.m_bytes;
    ++m_releases[static_cast<std::size_t>(holder.m_use)];
    holder.m_release(holder.m_use, cause);
}

void MemoryAccount::returnFreedMemory()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_peakBytes - m_heldBytes < minReturnedBytes)
            return;
        m_peakBytes = m_heldBytes;
    }
    ::malloc_trim(0);
}

} // namespace bilberry
