#ifndef BILBERRY_DECISION_ANSWERSEQUENCE_H
#define BILBERRY_DECISION_ANSWERSEQUENCE_H

#include <cstdint>

namespace bilberry::decision {

/// What to do with a part of an answer.
enum class SequenceVerdict {
    Accept,     ///< the next part
    Drop,       ///< a part that came already
    Incomplete, ///< a part is missing: the answer can't be completed
};

/// Checks that the parts of one answer arrive once, in order and complete.
class AnswerSequence
{
public:
    /// @return Accept for the first head only
    SequenceVerdict receiveHead();
    /// @param number of the chunk, counted from 0
    SequenceVerdict receiveChunk(std::uint32_t number);
    /// @param chunkCount that the sender says it sent
    SequenceVerdict receiveEnd(std::uint32_t chunkCount);

    bool hasHead() const { return m_hasHead; }

private:
    bool m_hasHead = false;
    bool m_ended = false;
    std::uint32_t m_next = 0;
};

} // namespace bilberry::decision

#endif
