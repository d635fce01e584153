#include "fireflyhaven/dispatch/answerassembler.h"

namespace fireflyhaven::dispatch {

AnswerAssembler::AnswerAssembler(RequestId request)
    : m_current { .request = std::move(request), .attempt = 0 }
{
}

AttemptId AnswerAssembler::beginAttempt()
{
    ++m_current.attempt;
    m_gap = false;
    return m_current;
}

std::optional<std::string> AnswerAssembler::accept(const AnswerPiece& piece)
{
    if (piece.attempt != m_current || piece.index < m_nextIndex) {
        ++m_dropped;
        return std::nullopt;
    }
    if (piece.index > m_nextIndex) {
        m_gap = true;
        ++m_dropped;
        return std::nullopt;
    }
    ++m_nextIndex;
    return piece.text;
}

}
