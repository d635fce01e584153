#pragma once

#include "catalogsync.h"
#include "fireflyhaven/telemetry/metrics.h"

namespace fireflyhaven::entry {

// Judges what a host may do with the configuration that it knows, by the time at which it was last confirmed. Says once
// when that is too long ago, and once when the host is current again.
class ConfigurationFreshness {
public:
    struct Context {
        const CatalogSync& catalogSync;
        // The other hosts.
        const fleet::HostTable& hosts;
        const ServiceBounds& bounds;
        telemetry::Metrics& metrics;
    };
    explicit ConfigurationFreshness(Context context)
        : m_context(context)
    {
    }

    // Time since the operator's records were last confirmed; no value if they never were.
    std::optional<Duration> age(TimePoint now) const;
    // Whether the records were confirmed recently enough to accept an API key.
    bool mayAcceptKeys(TimePoint now) const;
    // Whether a route or key that is missing does not exist.
    bool isCurrent(TimePoint now) const;
    // Whether the records were read longer ago than their bound although other hosts reach the store.
    bool isBehindOthers(TimePoint now) const;
    // Records the age in the metrics and in the log.
    void observe(TimePoint now);

private:
    const Context m_context;
    // Whether more than half of the bound had passed since the last confirmation, as of the last call of `observe`.
    bool m_isOld = false;
};

}
