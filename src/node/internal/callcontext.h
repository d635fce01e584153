#pragma once

#include "billingservice.h"
#include "errorresponse.h"
#include "fireflyhaven/admission/sharedlimiter.h"
#include "fireflyhaven/routing/sessionpin.h"
#include "answerrun.h"
#include "qualityservice.h"
#include "routingview.h"

namespace fireflyhaven::node {

// Parts that the callers' services share.
struct EntryParts {
    const NodeSettings& settings;
    const IClock& clock;
    telemetry::Metrics& metrics;
    ClusterReplica& replica;
    RunRouter& router;
    LoadBoard& board;
    BillingService& billing;
    QualityService& quality;
};

// A request that has been let in: who calls, under which plan, until when.
struct CallContext {
    RequestId request;
    WorkspaceId workspace;
    PlanName planName;
    config::Plan plan;
    std::shared_ptr<const RoutingView> view;
    TimePoint arrivedAt {};
    TimePoint answerBy {};
};

// Lets requests in: authenticates the workspace, checks what this host knows and may take, and holds the plan's limits.
class Gatekeeper {
public:
    explicit Gatekeeper(EntryParts parts);

    // Returns the context, or the error to answer with. After a context the caller must call `finish`.
    std::variant<CallContext, ApiError> enter(const http::Request& request, const RequestId& id);
    void finish(const CallContext& context);

    std::shared_ptr<const RoutingView> view();
    std::vector<membership::WorkspaceDemand> demands() const;
    RunDeps runDeps();
    const EntryParts& parts() const { return m_parts; }
    nlohmann::json dump() const;

private:
    std::optional<ApiError> checkHost() const;
    std::optional<ApiError> checkLimits(const CallContext& context);

    EntryParts m_parts;
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const RoutingView> m_view ABSL_GUARDED_BY(m_mutex);
    admission::SharedLimiter m_limiter ABSL_GUARDED_BY(m_mutex);
    absl::Mutex m_budgetMutex;
    dispatch::RetryBudget m_budget;
};

// Request id that the caller gave, or a new one.
RequestId requestIdOf(const http::Request& request);

}
