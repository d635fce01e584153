#pragma once

#include "fireflyhaven/balancing/coldpacer.h"
#include "fireflyhaven/balancing/latencymodel.h"
#include "fireflyhaven/balancing/promptcache.h"
#include "fireflyhaven/balancing/upstreamhealth.h"
#include "fireflyhaven/balancing/upstreamnotices.h"
#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/fleet/peerload.h"

#include <optional>

namespace fireflyhaven::balancing {

struct BalancerOptions {
    DataCentreId ownDataCentre;
    // Differs between hosts.
    std::uint64_t seed = 0;
    // Added to the expected time at an upstream in another data centre.
    Duration remotePenalty { 3 };
    // What reading a shared part again counts beside the time that it takes, as a factor of that time.
    double rereadWeight = 2;
    // Part of a shared prefix that its home upstream is taken to hold while nothing is known of it.
    double homeCredit = 0.5;
    // Requests under way at an upstream beyond its slots, as a part of them.
    double queueShare = 0.25;
    // Picks at random among ready upstreams; the baseline for measurements.
    bool naive = false;
};

// One send to an upstream, from its choice to its end.
struct Ticket {
    std::uint64_t number = 0;
    UpstreamId upstream;
    // Start of the upstream's life that the send goes to, Unix milliseconds.
    std::int64_t upstreamBornMs = 0;
    ServiceName service;
    catalog::ModelName model;
    std::uint32_t uncachedTokens = 0;
    // Of the part of the expected time that is this request's own, and that of the requests ahead of it.
    Duration ownTime {};
    Duration timeAhead {};
    // Both parts together at an upstream that is neither slow nor fast.
    Duration plainTime {};
    TimePoint sentAt {};
    bool firstTokenSeen = false;

    Duration expectedFirstToken() const { return ownTime + timeAhead; }
};

// Expected time to the first token at an upstream: the request's own part, and that of the requests ahead of it.
struct Outlook {
    Duration ownTime {};
    Duration timeAhead {};

    Duration firstToken() const { return ownTime + timeAhead; }
};

// Picks an upstream for each request: the one at which its first token is expected soonest, with weight on prompt parts
// that it has in its cache. Knows of the load of this host at once, and of the others' from their reports. Leaves
// upstreams that fail, and tries them again by single requests. Does no I/O.
class Balancer {
public:
    Balancer(const catalog::Catalog& catalog, const fleet::PeerLoad& peers, BalancerOptions options);

    // Picks an upstream and counts the send; no value where none may take the request now. `hosts` is the number of
    // hosts that may be sending to upstreams.
    std::optional<Ticket> send(const Demand& demand, int hosts, TimePoint now);
    // Whether any upstream could serve the demand until `startBy`, were it not busy.
    bool isServable(const Demand& demand, TimePoint startBy, TimePoint now) const;
    // What a send would meet at the best upstream now; no value where none may take the request.
    std::optional<Outlook> outlook(const Demand& demand, int hosts, TimePoint now);

    void onFirstToken(Ticket& ticket, TimePoint now);
    void onEnded(const Ticket& ticket, SendOutcome outcome, TimePoint now);
    // The upstream of the send says that it leaves: this host sends it nothing more in this life.
    void onLeaving(const Ticket& ticket, TimePoint now);
    // The upstream of the send turned a request away and wants nothing for so long.
    void onBackoff(const Ticket& ticket, Duration wait, TimePoint now);
    void onPeerAnswers(const std::vector<fleet::AnswerCounts>& answers, TimePoint now);
    // The upstream is gone, or has started anew.
    void forget(const UpstreamId& upstream);
    void expire(TimePoint now);

    // What this host has under way and has seen, by upstream.
    std::vector<fleet::UpstreamCounters> counters(TimePoint now) const;
    int inFlight(const UpstreamId& upstream) const;
    // Whether its answers of late speak for sending to it.
    bool isUsable(const UpstreamId& upstream, TimePoint now) const;
    // Time that the upstream needs to read the prompts that all hosts have sent it, as far as they are known.
    Duration pendingPrefill(const UpstreamId& upstream, TimePoint now) const;

private:
    struct Pending {
        std::uint64_t number = 0;
        Duration ownTime {};
        TimePoint expectedBy {};
    };
    struct Load {
        int inFlight = 0;
        // Sends whose first token has not come, oldest first.
        std::vector<Pending> pending;
        UpstreamHealth health;
        std::optional<ColdPacer> pacer;
        // Observed over expected time; 1 where it answers as expected.
        double slowness = 1;
        TimePoint slownessAt {};
        std::uint32_t good = 0;
        std::uint32_t failed = 0;
    };
    struct Option {
        const catalog::UpstreamState* upstream = nullptr;
        Load* load = nullptr;
        Duration ownTime {};
        Duration timeAhead {};
        Duration plainTime {};
        std::uint32_t uncachedTokens = 0;
        double cost = 0;
    };

    bool fits(const catalog::UpstreamState& it, const Demand& demand, TimePoint now) const;
    std::vector<Option> options(const Demand& demand, int hosts, TimePoint now);
    bool mayTake(const catalog::UpstreamState& it, Load& load, int hosts, TimePoint now);
    void assess(std::vector<Option>& options, const Demand& demand, TimePoint now);
    void assessPrompt(std::vector<Option>& options, const Demand& demand, TimePoint now);
    Duration timeAheadOf(const catalog::UpstreamState& it, const Load& load, const Demand& demand, TimePoint now);
    const Option* best(std::vector<Option>& options, const Demand& demand, TimePoint now);
    Ticket take(const Option& option, const Demand& demand, int hosts, TimePoint now);
    static Duration pendingTime(const Load& load, TimePoint now);
    static double slownessOf(const Load& load, TimePoint now);
    double warmupRate(const catalog::UpstreamState& it) const;
    // The next value in [0, 1) of a sequence of this host's own.
    double random();
    Load& loadOf(const UpstreamId& upstream);
    LatencyModel& latency(const ServiceName& service, const catalog::ModelName& model);

    const catalog::Catalog& m_catalog;
    const fleet::PeerLoad& m_peers;
    const BalancerOptions m_options;
    std::map<UpstreamId, Load> m_loads;
    std::map<std::pair<ServiceName, catalog::ModelName>, LatencyModel> m_latencies;
    std::map<ServiceName, ServiceHealth> m_serviceHealth;
    UpstreamNotices m_notices;
    PromptCache m_cache;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_random = 1;
};

}
