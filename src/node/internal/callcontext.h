#pragma once

#include "billingservice.h"
#include "errorresponse.h"
#include "fireflyhaven/admission/sharedlimiter.h"
#include "fireflyhaven/routing/sessionpin.h"
#include "answerrun.h"
#include "qualityservice.h"
#include "routingview.h"

namespace fireflyhaven::node {

// Components that the services for callers share. All of them outlive the services.
struct EntryComponents {
    const NodeSettings& settings;
    const IClock& clock;
    telemetry::Metrics& metrics;
    ClusterReplica& replica;
    RunRouter& router;
    LoadTracker& loadTracker;
    BillingService& billing;
    QualityService& quality;
};

// An admitted request: its workspace, its plan, the configuration that applies to it, and its deadline.
struct CallContext {
    RequestId request;
    WorkspaceId workspace;
    PlanName planName;
    config::Plan plan;
    std::shared_ptr<const RoutingView> view;
    TimePoint arrivedAt {};
    TimePoint answerBy {};
};

// Admits requests: authenticates the workspace, checks that this host may take work (fresh configuration, no billing
// backlog), and enforces the plan's limits.
class AdmissionController {
public:
    explicit AdmissionController(EntryComponents components);

    // Returns the context, or the error to respond with. For each context returned, `onRequestFinished` must be called.
    std::variant<CallContext, ApiError> admitRequest(const http::Request& request, const RequestId& id);
    void onRequestFinished(const CallContext& context);

    std::shared_ptr<const RoutingView> view();
    std::vector<membership::WorkspaceDemand> demands() const;
    RunDependencies runDependencies();
    const EntryComponents& components() const { return m_components; }
    nlohmann::json dump() const;

private:
    std::optional<ApiError> checkHost() const;
    std::optional<ApiError> checkLimits(const CallContext& context);

    EntryComponents m_components;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const RoutingView> m_view ABSL_GUARDED_BY(m_mutex);
    admission::SharedLimiter m_limiter ABSL_GUARDED_BY(m_mutex);
    absl::Mutex m_retryBudgetMutex;
    dispatch::RetryBudget m_retryBudget;
};

// Returns the request id from the caller's header, or a new one if it is absent or too long.
RequestId requestIdOf(const http::Request& request);

}
