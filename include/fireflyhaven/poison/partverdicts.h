#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/poisonmessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <utility>
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
    // Requests that were sent since, to find out whether upstreams still crash, and when the latest was.
    int trials = 0;
    TimePoint triedAt {};
};

// The parts whose requests this host refuses. A verdict ends when an upstream answers its part; now and then a single
// request is sent to find that out, fewer times than upstreams may be crashed by a deadly part. Does no I/O.
class PartVerdicts {
public:
    // Returns false if the part is convicted already; the later times count.
    bool add(const Verdict& verdict);
    // A request with these parts has come at this host. Returns the verdict that it falls under, or null.
    const Verdict* find(const std::vector<PromptPartId>& parts, bool mayTry, TimePoint now);
    bool contains(PromptPartId part) const { return m_verdicts.contains(part); }
    // A request with these parts was sent. Returns the verdicts that it puts to the test.
    std::vector<Verdict> onSent(const std::vector<PromptPartId>& parts, TimePoint now);
    // Another host has put the verdict to the test. Returns whether that is news.
    bool onTried(PromptPartId part, int trials, TimePoint triedAt);
    // The part was answered without a crash at that time. Returns the verdict that this ends, if any.
    std::optional<Verdict> onAnswered(PromptPartId part, TimePoint answeredAt, TimePoint now);
    // Whether an answer after the crash has ended a verdict on the part here. Tells the other hosts again.
    bool isWithdrawn(PromptPartId part, TimePoint lastCrashAt, TimePoint now);
    // Verdicts that had to give way to others since the last call.
    std::vector<Verdict> takeDropped() { return std::exchange(m_dropped, {}); }

    // Time until the next trial of the verdict, as far as a caller should wait for it.
    static Duration retryAfter(const Verdict& verdict, TimePoint now);
    // Parts whose verdicts have ended without an answer that cleared them.
    const absl::flat_hash_set<PromptPartId>& formerlyConvicted() const { return m_former; }
    void addNotices(fleet::PoisonNotices& notices, TimePoint now) const;
    std::vector<Verdict> all() const;
    bool empty() const { return m_verdicts.empty(); }

private:
    struct Withdrawal {
        TimePoint answeredAt {};
        TimePoint newsAt {};
    };

    // Makes room for one more verdict.
    void dropLeastRecentlySeen();

    absl::flat_hash_map<PromptPartId, Verdict> m_verdicts;
    absl::flat_hash_map<PromptPartId, Withdrawal> m_withdrawn;
    absl::flat_hash_set<PromptPartId> m_former;
    std::vector<Verdict> m_dropped;
};

// Reads a verdict that another host has told.
Verdict verdictOf(const fleet::PartVerdict& notice, bool isWholeRequest, TimePoint now);

}
