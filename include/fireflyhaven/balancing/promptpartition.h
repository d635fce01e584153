#pragma once

#include "fireflyhaven/balancing/upstreamhealth.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <vector>

namespace fireflyhaven::balancing {

struct PromptPartitionOptions {
    // Prompts of more tokens are long: an engine prefills shorter ones within a few batch steps.
    std::uint32_t maxShortTokens = 3000;
    // Limits of the part of a service's capacity that long prompts get. The upper one leaves short prompts room in a
    // burst of long ones.
    double minLongShare = 0.15;
    double maxLongShare = 0.75;
    // The demand is averaged with this half-life, so that the division follows a burst within seconds.
    Duration demandHalfLife { 2000 };
    // Upstreams whose work times differ by less than this factor count as equally fast.
    double speedStep = 1.3;
    // A service with fewer upstreams is not divided.
    std::size_t minUpstreams = 4;
};

// An upstream of a service, and how long work takes there as a multiple of the usual time.
struct PartitionMember {
    UpstreamId upstream;
    double workTimeFactor = 1;
};

// How the upstreams of a service are divided, for the status pages.
struct PromptDivisionView {
    ServiceName service;
    // Part of the capacity that long prompts have.
    double longShare = 0;
    std::size_t upstreamsForLongPrompts = 0;
    Duration waitAmongLongPrompts {};
};

// Divides the upstreams of a service between long and short prompts, in proportion to the work that either brings over
// all hosts: a short prompt that meets the prefill of a long one waits for it, and the streams that run there pause.
// Long prompts get the fastest upstreams; among equally fast ones a hash decides, so that all hosts divide them alike.
// Does no I/O.
class PromptPartition {
public:
    explicit PromptPartition(PromptPartitionOptions options = {});

    bool isLong(std::uint32_t promptTokens) const { return promptTokens > m_options.maxShortTokens; }
    // This host has sent a prompt, or has seen its answer end: it takes the upstream this much time, in milliseconds at
    // the usual speed. `prefill` is set for the part that holds up other requests.
    void onWork(const ServiceName& service, bool isLongPrompt, double upstreamMs, bool prefill, TimePoint now);
    // What another host, or an aggregator for several, reports of its demand; replaces its earlier report.
    void onPeerDemands(const HostId& source, const std::vector<fleet::PromptDemand>& demands);
    void onPeerSilent(const HostId& source);
    // Demand of this host alone, for its reports.
    std::vector<fleet::PromptDemand> ownDemands(TimePoint now) const;

    // Divides the upstreams of the service anew by the present demand.
    void divide(const ServiceName& service, std::vector<PartitionMember> members, TimePoint now);
    // The service's upstreams are no longer divided.
    void clear(const ServiceName& service);
    bool isDivided(const ServiceName& service) const;
    bool isForLongPrompts(const ServiceName& service, const UpstreamId& upstream) const;
    // Time that a short prompt is expected to wait for long ones at an upstream that takes these.
    Duration expectedWaitAmongLongPrompts(const ServiceName& service) const;
    std::vector<PromptDivisionView> divided() const;

private:
    // Work per second, in milliseconds of one upstream.
    struct Demand {
        double longPrompts = 0;
        double shortPrompts = 0;
    };
    struct Service {
        explicit Service(Duration halfLife)
            : longWork(halfLife)
            , shortWork(halfLife)
            , longPrefill(halfLife)
            , longPrefillSquared(halfLife)
        {
        }
        DecayingCounter longWork;
        DecayingCounter shortWork;
        // Sums of the prefill times of long prompts, and of their squares.
        DecayingCounter longPrefill;
        DecayingCounter longPrefillSquared;
        absl::flat_hash_set<UpstreamId> forLongPrompts;
        bool divided = false;
        double longShare = 0;
        Duration waitAmongLongPrompts {};
    };

    double ratePerSecond(const DecayingCounter& counter, TimePoint now) const;
    Demand totalDemand(const ServiceName& name, const Service& service, TimePoint now) const;
    Service& service(const ServiceName& name);

    const PromptPartitionOptions m_options;
    std::map<ServiceName, Service> m_services;
    std::map<HostId, std::vector<fleet::PromptDemand>> m_peers;
};

}
