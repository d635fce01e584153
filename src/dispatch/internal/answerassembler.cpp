#include "fireflyhaven/dispatch/answerassembler.h"

namespace fireflyhaven::dispatch {

AnswerAssembler::AnswerAssembler(RequestId request)
    : m_currentAttempt { .request = std::move(request), .attempt = 0 }
{
}

AttemptId AnswerAssembler::beginAttempt()
{
    ++m_currentAttempt.attempt;
    m_gap = false;
    return m_currentAttempt;
}

std::optional<std::string> AnswerAssembler::accept(const AnswerPiece& piece)
{
    if (piece.attempt != m_currentAttempt || piece.index < m_nextIndex) {
        ++m_droppedPieces;
        return std::nullopt;
    }
    if (piece.index > m_nextIndex) {
        m_gap = true;
        ++m_droppedPieces;
        return std::nullopt;
    }
    ++m_nextIndex;
    return piece.text;
}

}
