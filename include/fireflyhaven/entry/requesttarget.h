#pragma once

#include "fireflyhaven/entry/flowcontext.h"

namespace fireflyhaven::entry {

// What one request asks for: service, model and versions, and the upstreams that it does not go to again. The request
// and the context must outlive it.
class RequestTarget {
public:
    RequestTarget(const FlowContext& context, const CallerRequest& request);

    // Chooses service and first model of the route.
    void choose(const catalog::Route& route);
    void setModel(std::size_t model) { m_model = model; }
    void exclude(const UpstreamId& upstream) { m_excluded.push_back(upstream); }

    const ServiceName& service() const { return m_service; }
    // Models among which the system chooses, the smallest first; none where the caller names one or none is needed.
    const routing::ModelPrices& models() const { return m_models; }
    bool choosesModel() const { return !m_models.empty(); }
    // Place of the chosen model in the list, and its name.
    std::size_t model() const { return m_model; }
    const catalog::ModelName& modelName() const { return m_models[m_model].model; }
    // Stands for the session, or for the request itself where it belongs to none.
    std::uint64_t sessionHash() const;

    // What an upstream has to offer, with the versions that the request may go to.
    balancing::UpstreamRequirements demand(TimePoint now) const { return demand(m_model, now); }
    balancing::UpstreamRequirements demand(std::size_t model, TimePoint now) const;

private:
    balancing::UpstreamRequirements demandOfAnyVersion(std::size_t model) const;
    rollout::RequestProfile weight(std::size_t model) const;

    const FlowContext& m_context;
    const CallerRequest& m_request;
    ServiceName m_service;
    routing::ModelPrices m_models;
    std::size_t m_model = 0;
    std::vector<UpstreamId> m_excluded;
};

}
