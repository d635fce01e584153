#pragma once

#include "fireflyhaven/entry/flowcontext.h"

namespace fireflyhaven::entry {

// Target of one request: its service, model and permitted versions, and the upstreams that are excluded after earlier
// attempts. The request and the context must outlive it.
class RequestTarget {
public:
    RequestTarget(const FlowContext& context, const CallerRequest& request);

    // Selects a service of the route and the first model to try.
    void selectFrom(const catalog::Route& route);
    void setModelIndex(std::size_t model) { m_modelIndex = model; }
    void exclude(const UpstreamId& upstream) { m_excluded.push_back(upstream); }
    // Excludes an upstream that made no progress, for as long as another one can take the request.
    void excludeSilent(const UpstreamId& upstream) { m_silent.push_back(upstream); }
    // Permits the silent upstreams again; returns false if there are none.
    bool readmitSilent() { return !std::exchange(m_silent, {}).empty(); }

    const ServiceName& service() const { return m_service; }
    // Models that the router selects from, smallest first; empty if the caller names the model or none is needed.
    const routing::ModelPrices& models() const { return m_models; }
    bool selectsModel() const { return !m_models.empty(); }
    // Index of the selected model in `models`.
    std::size_t modelIndex() const { return m_modelIndex; }
    const catalog::ModelName& modelName() const { return m_models[m_modelIndex].model; }
    // Hash of the session, or of the caller's attempt if the request has no session.
    std::uint64_t sessionHash() const;

    // Requirements on an upstream, including the versions that the request may use.
    balancing::UpstreamRequirements requirements(TimePoint now) const { return requirements(m_modelIndex, now); }
    balancing::UpstreamRequirements requirements(std::size_t model, TimePoint now) const
    {
        return requirements(model, {}, now);
    }
    // The same for another upstream than the one given.
    balancing::UpstreamRequirements requirementsBeside(const UpstreamId& upstream, TimePoint now) const
    {
        return requirements(m_modelIndex, { upstream }, now);
    }

private:
    balancing::UpstreamRequirements requirements(
        std::size_t model, const std::vector<UpstreamId>& others, TimePoint now) const;
    balancing::UpstreamRequirements requirementsWithoutVersion(
        std::size_t model, const std::vector<UpstreamId>& others) const;
    rollout::RequestProfile profile(std::size_t model) const;

    const FlowContext& m_context;
    const CallerRequest& m_request;
    ServiceName m_service;
    routing::ModelPrices m_models;
    std::size_t m_modelIndex = 0;
    std::vector<UpstreamId> m_excluded;
    std::vector<UpstreamId> m_silent;
};

}
