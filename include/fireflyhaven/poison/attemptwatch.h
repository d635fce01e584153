#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/fleet/types/poisonmessages.h"
#include "fireflyhaven/ratelimit/types/permit.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

// Finds parts of prompts that crash the upstreams which begin to answer them.
namespace fireflyhaven::poison {

using AttemptNumber = StrongNumber<struct AttemptNumberTag>;

enum class AttemptEnd {
    Answered,
    // Given up by this host before the answer was complete, or refused by the upstream.
    Abandoned,
};

// An attempt to have a request answered by one incarnation of an upstream.
struct WatchedAttempt {
    ratelimit::UpstreamIncarnation upstream;
    TimePoint sentAt {};
    // The parts that other requests may share: all but the last.
    std::vector<fleet::SuspectPart> parts;
    // When the head of its answer arrived; no value if it has not.
    std::optional<TimePoint> headAt;
    // How it ended; no value while its connection shows that the upstream lives.
    std::optional<AttemptEnd> end;
    // Its parts have been reported as answered.
    bool outlived = false;
};

// Watches the attempts of this host until they show whether their upstream outlives the beginning of its answer. Does
// no I/O.
class AttemptWatch {
public:
    void onSent(AttemptNumber number, WatchedAttempt attempt);
    // Returns the attempt, or null if it is not watched.
    const WatchedAttempt* onAnswerBegun(AttemptNumber number, TimePoint now);
    void onEnded(AttemptNumber number, AttemptEnd end);
    // The attempt's connection was lost. Returns the attempt if it may have crashed its upstream; no value if it is not
    // watched, or its answer began too long ago.
    std::optional<WatchedAttempt> onConnectionLost(AttemptNumber number, TimePoint now);
    // Returns the attempts whose answers began just before a crash of that upstream, and forgets them. They may have
    // been answered or given up since.
    std::vector<WatchedAttempt> takeBegunBefore(const ratelimit::UpstreamIncarnation& upstream, TimePoint crashAt);
    // Returns the attempts whose upstreams have outlived the beginning of their answers, each once.
    std::vector<WatchedAttempt> takeOutlived(TimePoint now);

    std::size_t size() const { return m_attempts.size(); }

private:
    absl::flat_hash_map<AttemptNumber, WatchedAttempt> m_attempts;
};

}
