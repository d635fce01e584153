#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/poisonmessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <vector>

namespace fireflyhaven::poison {

// A part whose requests are refused, or a request that is, and why.
struct Verdict {
    // The part, or the digest of the request.
    PromptPartId part;
    bool isWholeRequest = false;
    HostId convictedBy;
    TimePoint lastCrashAt {};
    // When a request with the part was last received, by any host.
    TimePoint lastSeenAt {};
    std::vector<fleet::CrashWitness> crashes;
};

// The parts whose requests this host refuses. A verdict ends some time after the last request with its part. Does no
// I/O.
class PartVerdicts {
public:
    // Returns false if the part is convicted already; the later times count.
    bool add(const Verdict& verdict);
    // A request with these parts has come. Returns the verdict that it falls under, or null.
    const Verdict* find(const std::vector<PromptPartId>& parts, TimePoint now);
    bool contains(PromptPartId part) const { return m_verdicts.contains(part); }
    // The part was answered without a crash at that time. Returns the verdict that this ends, if any.
    std::optional<Verdict> onAnswered(PromptPartId part, TimePoint answeredAt);
    // Ends verdicts whose requests have stopped coming; returns them.
    std::vector<Verdict> expire(TimePoint now);

    // Time after which the verdict ends if no further request comes.
    static Duration remaining(const Verdict& verdict, TimePoint now);
    // Parts whose verdicts have ended without an answer that cleared them.
    const absl::flat_hash_set<PromptPartId>& formerlyConvicted() const { return m_former; }
    void addNotices(fleet::PoisonNotices& notices, TimePoint now) const;
    std::vector<Verdict> all() const;
    bool empty() const { return m_verdicts.empty(); }

private:
    absl::flat_hash_map<PromptPartId, Verdict> m_verdicts;
    absl::flat_hash_set<PromptPartId> m_former;
};

// Reads a verdict that another host has told.
Verdict verdictOf(const fleet::PartVerdict& notice, bool isWholeRequest, TimePoint now);

}
