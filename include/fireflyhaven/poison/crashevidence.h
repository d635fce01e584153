#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/noticescope.h"
#include "fireflyhaven/fleet/types/poisonmessages.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <utility>
#include <vector>

namespace fireflyhaven::poison {

// A part or request that the evidence convicts, and the crashes that do.
struct Culprit {
    PromptPartId part;
    bool isWholeRequest = false;
    TimePoint lastCrashAt {};
    std::vector<fleet::CrashWitness> crashes;
};

// Crashes that convict a part if `candidates` parts are implicated in each of them and none of these is cleared.
int requiredCrashes(std::size_t candidates);

// The crashes of upstreams that this host and others have seen, and the parts that upstreams have answered without a
// crash; finds the part that explains the crashes. A crash counts, however long ago it was, until upstreams have
// answered its suspects or too many others have followed. Does no I/O.
class CrashEvidence {
public:
    // Returns false if the crash is known already, or withdrawn.
    bool onCrash(const fleet::CrashReport& report, fleet::NoticeSource source, TimePoint now);
    // An incarnation of an upstream has answered a request that was sent then. Returns true if that withdraws a crash.
    bool onSignOfLife(const fleet::SignOfLife& sign, fleet::NoticeSource source, TimePoint now);
    // An upstream has begun to answer a request with the part then, and lived on. Returns true if the part is a suspect
    // that it clears.
    bool onAnswered(PromptPartId part, TimePoint answeredAt, fleet::NoticeSource source, TimePoint now);

    // The part or request that is convicted by the crashes; no value if none is. A request that is in all crashes of a
    // part explains them, so that the part is not convicted. `wasConvicted` tells parts for which one crash is enough.
    std::optional<Culprit> findCulprit(const absl::flat_hash_set<PromptPartId>& wasConvicted) const;
    // Drops the crashes that a part explains, so that they count against no other part. Those that a request explains
    // stay, as evidence against a part that other requests share with it.
    void removeExplainedBy(PromptPartId part, bool isWholeRequest, TimePoint now);
    // The crash of this report is explained by a convicted part.
    void onExplained(const fleet::CrashReport& report, TimePoint now);
    // When an upstream last answered the part; no value if that is not known.
    std::optional<TimePoint> answeredAt(PromptPartId part) const;

    // Adds what others within the scope are to know.
    void addNotices(fleet::PoisonNotices& notices, fleet::NoticeScope scope, TimePoint now) const;
    void expire(TimePoint now);

    std::size_t crashes() const { return m_crashes.size(); }
    std::size_t answeredParts() const { return m_answered.size(); }

private:
    struct Suspect {
        fleet::SuspectPart id;
        // When an upstream answered it, so that it did not cause the crash; no value if none has.
        std::optional<TimePoint> clearedAt;
    };
    // The crash of one incarnation of an upstream, as all hosts together have seen it.
    struct Crash {
        // The host that was first to report it.
        HostId reporter;
        fleet::ShortHash upstream = 0;
        std::int64_t startedAtMs = 0;
        TimePoint at {};
        std::vector<Suspect> suspects;
        fleet::NoticeSource source = fleet::NoticeSource::ThisHost;
        TimePoint learnedAt {};
    };
    struct Answered {
        TimePoint at {};
        fleet::NoticeSource source = fleet::NoticeSource::ThisHost;
        // When other hosts are to be told, because the part became a suspect or was cleared; no value if they are not.
        std::optional<TimePoint> newsAt;
    };
    struct UpstreamSign {
        std::int64_t startedAtMs = 0;
        TimePoint sentAt {};
        fleet::NoticeSource source = fleet::NoticeSource::ThisHost;
        std::optional<TimePoint> newsAt;
    };
    // Crashes that count as one, because they share a moment.
    struct CrashGroup {
        TimePoint firstAt {};
        TimePoint lastAt {};
        std::vector<fleet::CrashWitness> upstreams;
        // Suspects that are not cleared since, with their positions.
        absl::flat_hash_map<PromptPartId, std::uint8_t> candidates;
        // How many of them are parts of prompts.
        std::size_t parts = 0;
    };
    struct Suspicion {
        PromptPartId part;
        std::uint8_t position = 0;
        int crashes = 0;
        int requiredCrashes = 0;
        bool answeredBefore = false;

        bool isWholeRequest() const { return position == fleet::WHOLE_REQUEST; }
    };

    // Finds the crash of this report, or adds it; the flag tells whether it is new. Null where the report is of an
    // earlier moment than the known crash of its incarnation, and so was no crash.
    std::pair<Crash*, bool> findOrAdd(
        const fleet::CrashReport& report, fleet::NoticeSource source, TimePoint at, TimePoint now);
    // Adds a suspect; returns false if it is known.
    bool addSuspect(Crash& crash, const fleet::SuspectPart& id, TimePoint now);
    // Clears the suspect of the crashes that it outlived; returns whether there are any.
    bool clearSuspect(PromptPartId part, TimePoint answeredAt);
    // Tells the other hosts that the part was answered then, even if this host has forgotten it otherwise.
    void announceCleared(PromptPartId part, TimePoint answeredAt, TimePoint now);
    // Drops the crash that says least, where there are too many.
    void limitCrashes();
    // Counts the suspects anew, after crashes have come or gone.
    void indexSuspects();
    fleet::CrashReport reportOf(const Crash& crash, TimePoint now) const;
    // The crash that is told again now, although it is no news; null if there is none to tell.
    const Crash* crashToRepeat(TimePoint now) const;

    std::vector<CrashGroup> groups() const;
    // Number of groups that are near one with the part, itself included.
    static int countNear(PromptPartId part, const std::vector<CrashGroup>& groups);
    // Judges one part by the groups; no value if it is not convicted.
    std::optional<Suspicion> judge(PromptPartId part, const std::vector<CrashGroup>& groups, bool wasConvicted) const;
    // Whether one request was in flight at all crashes of the suspect: any one of a part's, or a convicted one of a
    // request's.
    bool isExplainedByRequest(const Suspicion& suspicion, const std::vector<CrashGroup>& groups) const;
    bool isWithdrawn(const fleet::CrashReport& report, TimePoint at) const;
    void limitConvictedRequests();

    // An upstream and the start of its incarnation.
    using IncarnationKey = std::pair<fleet::ShortHash, std::int64_t>;

    // Oldest first.
    std::vector<Crash> m_crashes;
    // In how many crashes each suspect is that is not cleared there.
    absl::flat_hash_map<PromptPartId, int> m_suspects;
    // Incarnations whose crash a convicted part explains, and since when that is known.
    absl::flat_hash_map<IncarnationKey, TimePoint> m_explained;
    // Convicted requests, and when they were.
    absl::flat_hash_map<PromptPartId, TimePoint> m_convictedRequests;
    absl::flat_hash_map<PromptPartId, Answered> m_answered;
    absl::flat_hash_map<fleet::ShortHash, UpstreamSign> m_signs;
};

}
