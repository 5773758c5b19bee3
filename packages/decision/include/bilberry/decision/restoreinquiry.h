#ifndef BILBERRY_DECISION_RESTOREINQUIRY_H
#define BILBERRY_DECISION_RESTOREINQUIRY_H

#include "bilberry/base/time.h"
#include "bilberry/model/ids.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace bilberry::decision {

struct RestoreInquirySettings
{
    Duration roundInterval = std::chrono::milliseconds(200); ///< between two rounds of questions
    /// Time after the first answer of a router that ran before the restore, in which others may
    /// know more.
    Duration furtherAnswersTime = std::chrono::milliseconds(300);
    /// Time after which the router goes on with what it knows. Where all routers have started
    /// again, waiting helps only until the operators have written again.
    Duration limit = std::chrono::milliseconds(1500);
    std::size_t routersPerRound = 8;
    bool operator==(const RestoreInquirySettings &) const = default;
};

/// Decides whom a router asks for what the store lacks since it was restored from a copy, and how
/// long it waits for their answers before it believes the store.
class RestoreInquiry
{
public:
    /// The routers to be asked now.
    struct Round
    {
        std::uint64_t query = 0;
        std::vector<RouterId> routers;
        bool operator==(const Round &) const = default;
    };

    /// @param firstQuery number of the first question; random, so that answers to an earlier
    ///        incarnation of this router match none
    RestoreInquiry(RestoreInquirySettings settings, std::uint64_t firstQuery)
        : m_settings(settings), m_nextQuery(firstQuery)
    {
    }

    /// Starts an inquiry; one that is open begins anew.
    /// @param mayMissOthers true when the list of the other routers may lack some
    void start(bool mayMissOthers, TimePoint now);
    void end() { m_isOpen = false; }
    bool isOpen() const { return m_isOpen; }

    /// @param live routers that have been heard of lately, which are asked first
    /// @param others all other routers, some of which may be dead
    /// @return nobody unless a round is due
    Round nextRound(const std::vector<RouterId> &live, const std::vector<RouterId> &others,
                    TimePoint now);

    /// @return true for the number of a question of this inquiry
    bool isOwnQuery(std::uint64_t query) const
    {
        return m_isOpen && query >= m_firstOpenQuery && query < m_nextQuery;
    }

    /// Records the answer to a question of this inquiry.
    /// @param isStarting true when the other router has started since the restore, too
    void recordAnswer(const RouterId &router, bool isStarting, TimePoint now);
    std::size_t answerCount() const { return m_answered.size(); }

    /// @return true when no further answer is worth waiting for
    bool isComplete(const std::vector<RouterId> &others, TimePoint now) const;
    bool isOverdue(TimePoint now) const { return now - m_startedAt >= m_settings.limit; }

private:
    RestoreInquirySettings m_settings;
    std::uint64_t m_nextQuery;
    std::uint64_t m_firstOpenQuery = 0;
    bool m_isOpen = false;
    bool m_mayMissOthers = false;
    TimePoint m_startedAt{};
    TimePoint m_nextRoundAt{};
    TimePoint m_knownAt = TimePoint::max(); ///< first answer of a router that is not starting
    std::set<RouterId> m_answered;
};

} // namespace bilberry::decision

#endif
