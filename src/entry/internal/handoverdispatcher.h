#pragma once

#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/telemetry/metrics.h"
#include "handoverdriver.h"

#include <list>

namespace fireflyhaven::entry {

// Hands the requests of a host that is cut off from all upstreams to hosts that reach them.
class HandoverDispatcher {
public:
    struct Context {
        HandoverContext handover;
        const fleet::HostTable& hosts;
        const EntrySettings& settings;
        telemetry::Metrics& metrics;
    };
    explicit HandoverDispatcher(Context context)
        : m_context(std::move(context))
    {
    }
    HandoverDispatcher(const HandoverDispatcher&) = delete;
    HandoverDispatcher& operator=(const HandoverDispatcher&) = delete;

    // Whether a host is known that takes requests, and not too many are open.
    bool canTake(TimePoint now) const;
    void serve(std::shared_ptr<http::Exchange> exchange);
    // Answers all open requests, because the process exits.
    void endAll();
    std::size_t openRequests() const { return m_drivers.size(); }

private:
    // Addresses of the hosts of this region that take requests, in random order, those of this data centre first.
    std::vector<http::Endpoint> targets(TimePoint now) const;
    bool isInOwnRegion(const DataCentreId& dataCentre) const;

    const Context m_context;
    std::list<std::unique_ptr<HandoverDriver>> m_drivers;
    std::uint64_t m_served = 0;
    // Expires with the dispatcher, for handlers that the event loop runs later.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// Address on which a host takes handed-over requests; no value if its settings leave no port for it.
std::optional<http::Endpoint> handoverAddress(const EntrySettings& settings, const std::string& ip);

}
