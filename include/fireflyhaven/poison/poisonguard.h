#pragma once

#include "fireflyhaven/fleet/poisonexchange.h"
#include "fireflyhaven/poison/attemptwatch.h"
#include "fireflyhaven/poison/crashevidence.h"
#include "fireflyhaven/poison/partverdicts.h"

#include <functional>

namespace fireflyhaven::poison {

// What has changed in the verdicts of this host.
enum class VerdictChange {
    Convicted,
    // Another host has convicted the part.
    Learned,
    // An upstream has answered the part and lived on.
    Withdrawn,
    // A request with the part was sent to find out whether upstreams still crash.
    Tried,
    // Too many parts are convicted, and requests with this one have not come for the longest time.
    Dropped,
};

struct VerdictEvent {
    VerdictChange change = VerdictChange::Convicted;
    // Only the part is set where the verdict is over.
    Verdict verdict;
};

struct Refusal {
    // The part, or the digest of the request.
    PromptPartId part;
    bool isWholeRequest = false;
    // When to come back: a request may be let through then.
    Duration retryAfter {};
};

// What identifies a request as a suspect.
struct RequestSuspects {
    // Parts of the prompt, of which the last is the request's own.
    std::vector<PromptPartId> parts;
    // The request as a whole; no value where it is not known.
    std::optional<RequestDigest> request {};
};

// Refuses requests with parts that crash upstreams, and requests that do whatever their parts: gathers this host's
// evidence, exchanges it with the other hosts, and applies the verdicts of all. Does no I/O.
class PoisonGuard final : public fleet::IPoisonDelegate {
public:
    // Whether this host is the one that may put the verdict on the part to the test.
    using IsTrialHost = std::function<bool(PromptPartId part, TimePoint now)>;

    explicit PoisonGuard(HostId self, IsTrialHost isTrialHost = {})
        : m_self(std::move(self))
        , m_isTrialHost(std::move(isTrialHost))
    {
    }

    // The refusal of a request; no value if it may be sent.
    std::optional<Refusal> refusalOf(const RequestSuspects& suspects, TimePoint now);

    void onSent(AttemptNumber number, const ratelimit::UpstreamIncarnation& upstream, const RequestSuspects& suspects,
        TimePoint now);
    void onAnswerBegun(AttemptNumber number, TimePoint now);
    void onEnded(AttemptNumber number, AttemptEnd end) { m_watch.onEnded(number, end); }
    void onConnectionLost(AttemptNumber number, const ratelimit::UpstreamIncarnation& upstream, TimePoint now);
    // Returns upstreams that have closed a connection, to be asked whether they still run; each once.
    std::vector<ratelimit::UpstreamIncarnation> takeUnconfirmedCrashes();
    // Whether an upstream that has closed a connection was found crashed. Only then the loss counts as evidence.
    void onCrashChecked(const ratelimit::UpstreamIncarnation& upstream, bool crashed, TimePoint now);

    fleet::PoisonNotices poisonNotices(fleet::NoticeScope scope, TimePoint now) const override;
    void onPoisonNotices(const fleet::PoisonNotices& notices, fleet::NoticeSource source, TimePoint now) override;

    // Judges the evidence, and forgets what is too old.
    void tick(TimePoint now);
    // Whether the other hosts should be told before the next report interval; resets it.
    bool takeNews() { return std::exchange(m_hasNews, false); }
    std::vector<VerdictEvent> takeEvents() { return std::exchange(m_events, {}); }
    std::vector<Verdict> verdicts() const { return m_verdicts.all(); }
    std::size_t knownCrashes() const { return m_evidence.crashes(); }

private:
    void onAnswered(PromptPartId part, TimePoint answeredAt, fleet::NoticeSource source, TimePoint now);
    void onCrash(const fleet::CrashReport& report, fleet::NoticeSource source, TimePoint now);
    // Reports the parts of this host's attempts that may have caused a crash.
    void reportCrash(const ratelimit::UpstreamIncarnation& upstream, const std::vector<WatchedAttempt>& suspects,
        TimePoint crashAt, TimePoint now);
    void onVerdict(const Verdict& verdict, VerdictChange change, TimePoint now);
    // Convicts what the evidence convicts since it last changed.
    void judge(TimePoint now);
    void onEvidence();
    bool isExplained(const fleet::CrashReport& report) const;

    // Losses at one upstream whose cause is not known yet.
    struct UnconfirmedCrash {
        ratelimit::UpstreamIncarnation upstream;
        TimePoint at {};
        std::vector<WatchedAttempt> suspects;
        bool isBeingChecked = false;
    };

    // Whether this host may let a request with any of the parts through as a trial.
    bool mayTry(const std::vector<PromptPartId>& ids, TimePoint now) const;

    const HostId m_self;
    // Unset where there is one host.
    const IsTrialHost m_isTrialHost;
    AttemptWatch m_watch;
    std::vector<UnconfirmedCrash> m_unconfirmed;
    CrashEvidence m_evidence;
    PartVerdicts m_verdicts;
    bool m_hasNews = false;
    bool m_evidenceChanged = false;
    std::vector<VerdictEvent> m_events;
};

}
