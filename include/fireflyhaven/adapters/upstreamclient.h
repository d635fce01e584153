#pragma once

#include "fireflyhaven/config/types/lists.h"
#include "fireflyhaven/dispatch/concurrencyramp.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/http/client.h"

namespace fireflyhaven::adapters {

using RunEventReceiver = std::function<bool(dispatch::RunEvent)>;

// Result of one attempt at an upstream.
struct AttemptOutcome {
    // Last event of the attempt; its kind is Done, Refused or Failed.
    dispatch::RunEvent finalEvent;
    // Time to first token; absent for services and for attempts without any event.
    std::optional<Duration> firstToken;
    // The upstream refused the attempt because it is cold or saturated (status 503 or 429).
    bool refusedForCapacity = false;
    // The receiver stopped the attempt or the caller cancelled it; the upstream may still be running it.
    bool stopped = false;
};

// Runs the attempt on a model engine and passes its Text events to `receiver`, which returns false to stop it. The
// final event is returned and not passed to `receiver`.
AttemptOutcome runOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request, const IClock& clock,
    const RunEventReceiver& receiver, const http::CancellationCheck& cancelled);
AttemptOutcome runOnService(
    const config::Upstream& upstream, const dispatch::RunRequest& request, const http::CancellationCheck& cancelled);
// Requests an engine to cancel an attempt; returns true if the engine confirms it.
bool cancelOnEngine(const config::Upstream& upstream, const dispatch::RunRequest& request);
// Reads the upstream's load report, which lags behind its actual load.
Result<dispatch::LoadReport> readLoadReport(const config::Upstream& upstream);

}
