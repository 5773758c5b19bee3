#ifndef BILBERRY_DECISION_ANSWERSEQUENCE_H
#define BILBERRY_DECISION_ANSWERSEQUENCE_H

#include <cstdint>

namespace bilberry::decision {

/// Result of checking a part of an answer.
enum class SequenceVerdict {
    Accept,     ///< the expected part
    Drop,       ///< a duplicate, or a part after the end
    Incomplete, ///< an earlier part is missing, so the answer can't be completed
};

/// Checks that the parts of an answer arrive in order, without duplicates and completely.
class AnswerSequence
{
public:
    /// @return Accept for the first head only
    SequenceVerdict receiveHead();
    /// @param number index of the chunk, from 0
    SequenceVerdict receiveChunk(std::uint32_t number);
    /// @param chunkCount number of chunks, as reported by the sender
    SequenceVerdict receiveEnd(std::uint32_t chunkCount);

    bool hasHead() const { return m_hasHead; }

private:
    bool m_hasHead = false;
    bool m_ended = false;
    std::uint32_t m_nextChunk = 0;
};

} // namespace bilberry::decision

#endif
