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

// One piece of a streamed answer as the engine sent it. `index` counts the pieces of the answer from 0.
struct AnswerPiece {
    AttemptId attempt;
    std::uint64_t index = 0;
    std::string text;
};

// Puts a streamed answer together from its attempts: drops pieces of other requests or attempts, and pieces that were
// passed on already, so that the caller sees neither a gap nor a repeat.
class AnswerAssembler {
public:
    explicit AnswerAssembler(RequestId request);

    // Starts the next attempt; its pieces continue at `nextIndex()` or repeat from 0.
    AttemptId beginAttempt();
    // Text to pass on, or nothing where the piece is not to be passed on.
    std::optional<std::string> accept(const AnswerPiece& piece);

    std::uint64_t nextIndex() const { return m_nextIndex; }
    std::uint64_t dropped() const { return m_dropped; }
    // A piece was missing; the attempt can't be completed.
    bool hasGap() const { return m_gap; }

private:
    AttemptId m_current;
    std::uint64_t m_nextIndex = 0;
    std::uint64_t m_dropped = 0;
    bool m_gap = false;
};

}
