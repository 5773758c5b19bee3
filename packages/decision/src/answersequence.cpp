#include "bilberry/decision/answersequence.h"

namespace bilberry::decision {

SequenceVerdict AnswerSequence::receiveHead()
{
    if (m_hasHead || m_ended)
        return SequenceVerdict::Drop;
    m_hasHead = true;
    return SequenceVerdict::Accept;
}

SequenceVerdict AnswerSequence::receiveChunk(std::uint32_t number)
{
    if (m_ended || number < m_nextChunk)
        return SequenceVerdict::Drop;
    if (!m_hasHead || number > m_nextChunk)
        return SequenceVerdict::Incomplete;
    ++m_nextChunk;
    return SequenceVerdict::Accept;
}

SequenceVerdict AnswerSequence::receiveEnd(std::uint32_t chunkCount)
{
    if (m_ended)
        return SequenceVerdict::Drop;
    m_ended = true;
    return m_hasHead && chunkCount == m_nextChunk ? SequenceVerdict::Accept
                                                  : SequenceVerdict::Incomplete;
}

} // namespace bilberry::decision
