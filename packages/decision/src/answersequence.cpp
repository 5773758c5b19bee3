#include "bilberry/decision/answersequence.h"

namespace bilberry::decision {

SequenceVerdict AnswerSequence::head()
{
    if (m_hasHead || m_ended)
        return SequenceVerdict::Drop;
    m_hasHead = true;
    return SequenceVerdict::Accept;
}

SequenceVerdict AnswerSequence::chunk(std::uint32_t number)
{
    if (m_ended || number < m_next)
        return SequenceVerdict::Drop;
    if (!m_hasHead || number > m_next)
        return SequenceVerdict::Broken;
    ++m_next;
    return SequenceVerdict::Accept;
}

SequenceVerdict AnswerSequence::end(std::uint32_t chunkCount)
{
    if (m_ended)
        return SequenceVerdict::Drop;
    m_ended = true;
    return m_hasHead && chunkCount == m_next ? SequenceVerdict::Accept : SequenceVerdict::Broken;
}

} // namespace bilberry::decision
