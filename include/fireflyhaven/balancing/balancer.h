#pragma once

#include "fireflyhaven/balancing/coldpacer.h"
#include "fireflyhaven/balancing/latencymodel.h"
#include "fireflyhaven/balancing/prefixcacheindex.h"
#include "fireflyhaven/balancing/promptpartition.h"
#include "fireflyhaven/balancing/types/loadreport.h"
#include "fireflyhaven/balancing/types/promptdivision.h"
#include "fireflyhaven/balancing/upstreamhealth.h"
#include "fireflyhaven/balancing/upstreamnotices.h"
#include "fireflyhaven/balancing/upstreamspeeds.h"
#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/fleet/peerload.h"
#include "fireflyhaven/ratelimit/limittable.h"

#include <optional>

namespace fireflyhaven::balancing {

struct BalancerOptions {
    DataCentreId ownDataCentre;
    // Seed of the random numbers; differs between hosts, so that they do not all make the same choices.
    std::uint64_t seed = 0;
    // Added to the expected time at an upstream in another data centre.
    Duration remotePenalty { 3 };
    // Extra cost of shared prompt tokens that an upstream does not hold, as a multiple of their prefill time.
    double cacheMissWeight = 2;
    // The home upstream of a shared prefix is the one with the highest rendezvous hash for it. While no upstream is
    // known to hold the prefix, its home is assumed to hold this fraction of it.
    double homeCachedFraction = 0.5;
    // Requests that may be in flight at an upstream beyond its slots, as a fraction of the slots; at least one.
    double queueFraction = 0.25;
    // Requests for permits of one upstream that this host keeps open at the same time.
    int maxOpenPermitRequests = 8;
    // Longest time that a request waits for a permit to become valid.
    Duration maxPermitWait { 500 };
    PromptDivision promptDivision = PromptDivision::WhereConfigured;
    // Extra cost of a long prompt at an upstream for short ones, as a multiple of its prefill time: it holds these up.
    double displacementWeight = 1;
    // Picks at random among the eligible upstreams; the baseline for measurements.
    bool randomPolicy = false;
};

// One request that was assigned to an upstream, from the choice of the upstream to the end of the attempt.
struct Ticket {
    std::uint64_t number = 0;
    UpstreamId upstream;
    // Start time of the upstream incarnation that the request is sent to, Unix milliseconds.
    std::int64_t upstreamStartedAtMs = 0;
    ServiceName service;
    catalog::ModelName model;
    std::uint32_t uncachedTokens = 0;
    // The two parts of the expected time to first token: processing of this request, and waiting for those ahead of it.
    Duration processingTime {};
    Duration queueingTime {};
    // Sum of both parts at an upstream that takes no more time than it reports.
    Duration baselineTime {};
    // Work time that the upstream reports, as a multiple of the usual time, as known at the send.
    double reportedWorkTime = 1;
    TimePoint sentAt {};
    // When the first token arrived; no value if none has.
    std::optional<TimePoint> firstTokenAt;
    bool isLongPrompt = false;

    Duration expectedTimeToFirstToken() const { return processingTime + queueingTime; }
};

// Expected time to first token at an upstream, split into processing of the request and waiting for those ahead of it.
struct LatencyEstimate {
    Duration processingTime {};
    Duration queueingTime {};

    Duration timeToFirstToken() const { return processingTime + queueingTime; }
};

// A permit that a request needs before it may be sent to a limited upstream.
struct PermitNeed {
    UpstreamId upstream;
    ratelimit::UpstreamIncarnation incarnation;
    RequestRate limit;
    // How long the request can wait for the permit to become valid; zero where another upstream may take it instead.
    Duration maxWait {};
    // The same for a request that has tried the other upstreams in vain.
    Duration longestWait {};
};

// Picks for each request the upstream with the lowest expected time to first token, and favours upstreams that hold the
// shared parts of the prompt in their prefix cache. Load of this host counts at once, load of peers once they report
// it. Ejects failing upstreams and probes them with single requests. Sends to upstreams with a request limit only with
// a permit. Does no I/O.
class Balancer {
public:
    Balancer(const catalog::Catalog& catalog, const fleet::PeerLoad& peers, const ratelimit::LimitTable& limits,
        BalancerOptions options);

    // The permit to ask for before the request is sent; no value if the best upstream for it has no request limit.
    // `hostCount` is the number of hosts that may be sending to upstreams.
    std::optional<PermitNeed> neededPermit(const UpstreamRequirements& requirements, int hostCount, TimePoint now);
    // Picks an upstream and counts the request as in flight there; no value where no upstream may take it now. Picks
    // the upstream that a permit was granted for if it may still take the request, and no other limited one.
    std::optional<Ticket> pickUpstream(const UpstreamRequirements& requirements, int hostCount, TimePoint now,
        const std::optional<UpstreamId>& permitted = std::nullopt);
    // Whether `pickUpstream` would pick an upstream.
    bool canSend(const UpstreamRequirements& requirements, int hostCount, TimePoint now,
        const std::optional<UpstreamId>& permitted = std::nullopt);
    // Whether any upstream matches the requirements and is not backed off at `startBy`, whatever its load.
    bool isServable(const UpstreamRequirements& requirements, TimePoint startBy, TimePoint now) const;
    // When the first permit may be free if all upstreams that match the requirements have used up their request limits;
    // no value otherwise.
    std::optional<TimePoint> nextPermitAt(const UpstreamRequirements& requirements, TimePoint now) const;
    // Whether the upstream has lately refused a permit and has none to give yet.
    bool isPermitRefused(const UpstreamId& upstream, TimePoint now) const;
    // Estimate for the upstream that would be picked now, or that a permit would be asked for; no value where no
    // upstream may take the request.
    std::optional<LatencyEstimate> estimateLatency(
        const UpstreamRequirements& requirements, int hostCount, TimePoint now);

    // A response of the ticket's upstream reports its load. To be called before `onFirstToken`.
    void onLoadReport(const Ticket& ticket, const LoadReport& load, TimePoint now);
    void onFirstToken(Ticket& ticket, TimePoint now);
    void onEnded(const Ticket& ticket, SendOutcome outcome, TimePoint now);
    // The ticket's attempt makes no progress, and goes on because no other upstream can take the request.
    void onSilent(const Ticket& ticket, TimePoint now);
    // The upstream announced that it drains: this host sends nothing more to its present incarnation.
    void onDraining(const Ticket& ticket, TimePoint now);
    // The upstream rejected a request and asked for no more requests for the duration `wait`.
    void onBackoff(const Ticket& ticket, Duration wait, TimePoint now);
    // A permit of the upstream was asked for; `onPermitClosed` follows when it is granted, refused or given up.
    void onPermitRequested(const UpstreamId& upstream);
    void onPermitClosed(const UpstreamId& upstream);
    // The upstream's issuer has no permit to give before `until`.
    void onPermitRefused(const UpstreamId& upstream, TimePoint until);
    void onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers, TimePoint now);
    // Speeds of upstreams and demand for them, as another host or an aggregator reports them.
    void onPeerReport(const fleet::HostReport& report, TimePoint now);
    void onPeerSilent(const HostId& host) { m_partition.onPeerSilent(host); }
    // Fills in the speeds of upstreams and the demand for them.
    void fillReport(fleet::HostReport& report, TimePoint now);
    // Drops the load, health and prefixes of an upstream that is gone or has restarted.
    void removeUpstream(const UpstreamId& upstream, TimePoint now);
    void expire(TimePoint now);

    // In-flight requests and cumulative results of this host, by upstream. Both restart at 0 when the upstream is
    // removed.
    std::vector<fleet::UpstreamCounters> counters(TimePoint now) const;
    // This host is cut off from the upstreams: its unanswered attempts say nothing of them.
    void onCutOff();
    // This host reaches the upstreams again.
    void onReachRestored();
    int inFlight(const UpstreamId& upstream) const;
    // Whether the upstream is not ejected, or is due for a probe.
    bool isUsable(const UpstreamId& upstream, TimePoint now) const;
    // Expected time until the upstream has prefilled the prompts sent by this host and, as last reported, by its peers.
    Duration pendingPrefill(const UpstreamId& upstream, TimePoint now) const;
    const PromptPartition& promptPartition() const { return m_partition; }
    const UpstreamSpeeds& speeds() const { return m_speeds; }

private:
    struct PendingSend {
        std::uint64_t number = 0;
        Duration processingTime {};
        TimePoint expectedBy {};
    };
    // What this host tracks of one upstream.
    struct LocalState {
        int inFlight = 0;
        // Requests without a first token yet, oldest first.
        std::vector<PendingSend> pendingSends;
        UpstreamHealth health;
        std::optional<ColdPacer> pacer;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        // When attempts ended without an answer that the other hosts are not told of yet, oldest first.
        std::vector<TimePoint> unconfirmedFailures;
        int openPermitRequests = 0;
        // The issuer of the upstream's permits has none to give before then.
        TimePoint permitsRefusedUntil {};
    };
    struct Candidate {
        const catalog::UpstreamState* upstream = nullptr;
        LocalState* state = nullptr;
        Duration processingTime {};
        Duration queueingTime {};
        Duration baselineTime {};
        // Work time that the upstream reports, and the ratio of the expected to the reported one.
        double reportedWorkTime = 1;
        double deviation = 1;
        std::uint32_t uncachedTokens = 0;
        double cost = 0;
    };

    bool matches(const catalog::UpstreamState& it, const UpstreamRequirements& requirements, TimePoint now) const;
    // Upstreams that may take a request now, those with a request limit only if `includes` accepts their state.
    template <typename Predicate>
    std::vector<Candidate> eligibleCandidates(
        const UpstreamRequirements& requirements, int hostCount, TimePoint now, Predicate includes);
    // The same with the limited upstreams that may have a permit to give until then.
    std::vector<Candidate> candidatesWithPermits(
        const UpstreamRequirements& requirements, int hostCount, TimePoint until, TimePoint now);
    // Upstreams that may take a request now; limited ones only if they are permitted.
    std::vector<Candidate> candidatesWithPermission(const UpstreamRequirements& requirements, int hostCount,
        TimePoint now, const std::optional<UpstreamId>& permitted);
    std::optional<RequestRate> limitOf(const catalog::UpstreamState& upstream) const;
    bool maySendTo(const catalog::UpstreamState& it, LocalState& state, int hostCount, TimePoint now);
    void scoreCandidates(std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now);
    void scorePrefixCaching(
        std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now);
    // Extra cost, in ms, where the upstream is for prompts of the other length.
    double partitionCost(const Candidate& candidate, const UpstreamRequirements& requirements) const;
    // Whether the configuration, or what the upstreams report, asks for a division of the service's upstreams.
    bool isDivisionWanted(const ServiceName& service, TimePoint now) const;
    void dividePrompts(TimePoint now);
    Duration queueingTimeOf(const catalog::UpstreamState& it, const LocalState& state,
        const UpstreamRequirements& requirements, TimePoint now);
    const Candidate* pickBest(
        std::vector<Candidate>& candidates, const UpstreamRequirements& requirements, TimePoint now);
    Ticket recordSend(
        const Candidate& candidate, const UpstreamRequirements& requirements, int hostCount, TimePoint now);
    // Counts the time in which the request has generated tokens as work of the upstream.
    void recordDecode(const Ticket& ticket, TimePoint now);
    // Counts an attempt without an answer against the upstream, and for the other hosts once it is confirmed.
    static void recordUnanswered(LocalState& state, ServiceHealth& service, TimePoint now);
    // Counts the unanswered attempts that are not due to a cut of this host.
    void confirmFailures(TimePoint now);
    static Duration pendingTime(const LocalState& state, TimePoint now);
    double warmupRate(const catalog::UpstreamState& it) const;
    // Next number in [0, 1) of a pseudo-random sequence that the seed determines.
    double nextRandom();
    LocalState& localState(const UpstreamId& upstream);
    LatencyModel& latencyModel(const ServiceName& service, const catalog::ModelName& model);

    const catalog::Catalog& m_catalog;
    const fleet::PeerLoad& m_peers;
    const ratelimit::LimitTable& m_limits;
    const BalancerOptions m_options;
    std::map<UpstreamId, LocalState> m_localStates;
    std::map<std::pair<ServiceName, catalog::ModelName>, LatencyModel> m_latencyModels;
    std::map<ServiceName, ServiceHealth> m_serviceHealth;
    UpstreamNotices m_notices;
    PrefixCacheIndex m_prefixCaches;
    UpstreamSpeeds m_speeds;
    PromptPartition m_partition;
    TimePoint m_dividedAt {};
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_randomState = 1;
};

}
