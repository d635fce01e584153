#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <optional>

namespace fireflyhaven::dispatch {

// Identifies one attempt at a request.
struct AttemptId {
    RequestId request;
    std::uint32_t attempt = 0;
    friend bool operator==(const AttemptId&, const AttemptId&) = default;
};

// One piece of a streamed answer as sent by the engine. `index` is the position in the answer, from 0.
struct AnswerPiece {
    AttemptId attempt;
    std::uint64_t index = 0;
    std::string text;
};

// Assembles one streamed answer from several attempts. Drops pieces of other requests or attempts and pieces that were
// forwarded already, so that the caller receives each piece once and in order.
class AnswerAssembler {
public:
    explicit AnswerAssembler(RequestId request);

    // Starts the next attempt. Its pieces may continue at `nextIndex()` or repeat earlier ones.
    AttemptId beginAttempt();
    // Returns the text to forward, or nothing if the piece is dropped.
    std::optional<std::string> accept(const AnswerPiece& piece);

    std::uint64_t nextIndex() const { return m_nextIndex; }
    std::uint64_t droppedPieces() const { return m_droppedPieces; }
    // The current attempt skipped a piece, so it can't complete the answer.
    bool hasGap() const { return m_gap; }

private:
    AttemptId m_currentAttempt;
    std::uint64_t m_nextIndex = 0;
    std::uint64_t m_droppedPieces = 0;
    bool m_gap = false;
};

}
