#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/fleet/hosttable.h"
#include "fireflyhaven/http/eventclient.h"
#include "fireflyhaven/poison/poisonguard.h"
#include "fireflyhaven/telemetry/metrics.h"

#include <functional>

namespace fireflyhaven::entry {

// Runs the guard against poison parts in short intervals: sends its news to the other hosts, and writes the changes of
// its verdicts to the log and the metrics.
class PoisonLink {
public:
    struct Context {
        const catalog::Catalog& catalog;
        poison::PoisonGuard& guard;
        const IClock& clock;
        // Finds out whether an upstream that closed a connection still runs.
        http::EventClient& client;
        telemetry::Metrics& metrics;
        // Sends the guard's notices to the other hosts.
        std::function<void()> sendNotices;
    };
    explicit PoisonLink(Context context)
        : m_context(std::move(context))
    {
    }

    void tick(TimePoint now);

private:
    void checkCrashes(TimePoint now);
    // Address of an incarnation of an upstream; no value if it is not known.
    std::optional<http::Endpoint> addressOf(const ratelimit::UpstreamIncarnation& upstream) const;
    void log(const poison::VerdictEvent& event) const;

    const Context m_context;
};

// Whether this host puts a verdict on the part to the test: one of the live hosts does, the same in the view of all.
bool isTrialHost(const fleet::HostTable& hosts, PromptPartId part, TimePoint now);

// The crashes that convicted a part, each with a host that lost a request there.
nlohmann::ordered_json crashList(const catalog::Catalog& catalog, const poison::Verdict& verdict);

}
