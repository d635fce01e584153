#include "fireflyhaven/entry/requesttarget.h"

#include "fireflyhaven/common/hash.h"

namespace fireflyhaven::entry {

namespace {

// Longest prompt that an engine prefills within a few batch steps.
constexpr std::uint32_t MAX_SHORT_PREFILL_TOKENS = 3000;

}

RequestTarget::RequestTarget(const FlowContext& context, const CallerRequest& request)
    : m_context(context)
    , m_request(request)
{
}

// Weighted choice by a stable hash, so that a session keeps its service on a route that is split between several.
void RequestTarget::selectFrom(const catalog::Route& route)
{
    double totalWeight = 0;
    for (const catalog::WeightedService& it : route.services)
        totalWeight += it.weight;
    const std::string& hashKey = m_request.session ? m_request.session->value() : m_request.attempt.value();
    double point = unitInterval(stableHash(hashKey, stableHash(route.name.value()))) * totalWeight;
    m_service = route.services.back().service;
    for (const catalog::WeightedService& it : route.services) {
        point -= it.weight;
        if (point < 0) {
            m_service = it.service;
            break;
        }
    }
    const catalog::Service* service = m_context.catalog.service(m_service);
    for (const catalog::ModelName& model : route.models) {
        catalog::ModelPrice price { .model = model, .costPerThousandTokens = 1 };
        const bool hasPrices = service && service->engine;
        for (const catalog::ModelPrice& it : hasPrices ? service->engine->models : std::vector<catalog::ModelPrice>()) {
            if (it.model == model)
                price = it;
        }
        m_models.push_back(price);
    }
    m_modelIndex = m_context.escalationPolicy.first(m_service, m_models);
}

std::uint64_t RequestTarget::sessionHash() const
{
    const std::string& hashKey = m_request.session ? m_request.session->value() : m_request.attempt.value();
    return stableHash(hashKey, stableHash(m_service.value()));
}

balancing::UpstreamRequirements RequestTarget::requirementsWithoutVersion(
    std::size_t model, const std::vector<UpstreamId>& others) const
{
    balancing::UpstreamRequirements it { .service = m_service, .excludedUpstreams = m_excluded };
    it.excludedUpstreams.insert(it.excludedUpstreams.end(), m_silent.begin(), m_silent.end());
    it.excludedUpstreams.insert(it.excludedUpstreams.end(), others.begin(), others.end());
    it.promptTokens = m_request.promptTokens;
    it.promptParts = m_request.promptParts;
    if (selectsModel())
        it.model = m_models[model].model;
    else if (!m_request.model.empty())
        it.model = catalog::ModelName(m_request.model);
    return it;
}

rollout::RequestProfile RequestTarget::profile(std::size_t model) const
{
    if (m_request.promptTokens > MAX_SHORT_PREFILL_TOKENS)
        return rollout::RequestProfile::LongPrefill;
    const bool largest = !selectsModel() || model + 1 == m_models.size();
    return largest ? rollout::RequestProfile::ShortPrefillLongDecode : rollout::RequestProfile::ShortPrefillShortDecode;
}

balancing::UpstreamRequirements RequestTarget::requirements(
    std::size_t model, const std::vector<UpstreamId>& others, TimePoint now) const
{
    balancing::UpstreamRequirements it = requirementsWithoutVersion(model, others);
    const rollout::VersionConstraint constraint
        = m_context.rollouts.constraintFor(m_service, sessionHash(), profile(model), now);
    it.requiredVersion = constraint.requiredVersion;
    it.excludedVersions = constraint.excludedVersions;
    it.requiredUpstream = constraint.requiredUpstream;
    const bool upstreamUnavailable = constraint.requiredUpstream
        && (!m_context.balancer.isServable(it, TimePoint::max(), now)
            || m_context.balancer.isPermitRefused(*constraint.requiredUpstream, now));
    if (upstreamUnavailable)
        it.requiredUpstream.reset();
    // Falls back to the other version if the preferred one has no upstream left.
    if (constraint.requiredVersion && !m_context.balancer.isServable(it, TimePoint::max(), now))
        it.requiredVersion.reset();
    return it;
}

}
