#pragma once

#include "fireflyhaven/config/types/lists.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/http/client.h"

namespace fireflyhaven::adapters {

using RunEventReceiver = std::function<bool(dispatch::RunEvent)>;

// Speaks the HTTP interfaces of model engines and plain services.
//
// Runs the attempt and passes on what comes; the last event is Done, Refused or Failed. `firstToken` is set to the time
// that the first piece took.
struct AttemptOutcome {
    dispatch::RunEvent last;
    std::optional<Duration> firstToken;
    // The upstream refused because it is cold or full.
    bool coldRefusal = false;
    // Stopped by the receiver; the upstream may still be running it.
    bool stopped = false;
};

AttemptOutcome runOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request, const IClock& clock,
    const RunEventReceiver& receiver, const http::CancellationCheck& cancelled);
AttemptOutcome runOnService(
    const config::Upstream& upstream, const dispatch::RunRequest& request, const http::CancellationCheck& cancelled);
// Asks an engine to stop an attempt; true where it confirmed.
bool cancelOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request);
// Reads the upstream's (lagging) load report.
Result<dispatch::LoadReport> readLoad(const config::Upstream& upstream);

}
