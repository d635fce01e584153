#include "fireflyhaven/entry/requesttarget.h"

#include "fireflyhaven/common/hash.h"

namespace fireflyhaven::entry {

namespace {

// An engine reads prompts up to this size within a few steps.
constexpr std::uint32_t LIGHT_PROMPT_TOKENS = 3000;

}

RequestTarget::RequestTarget(const FlowContext& context, const CallerRequest& request)
    : m_context(context)
    , m_request(request)
{
}

// A session keeps its service where a route is split by weights.
void RequestTarget::choose(const catalog::Route& route)
{
    double total = 0;
    for (const catalog::WeightedService& it : route.services)
        total += it.weight;
    const std::string& subject = m_request.session ? m_request.session->value() : m_request.attempt.value();
    double place = unitInterval(stableHash(subject, stableHash(route.name.value()))) * total;
    m_service = route.services.back().service;
    for (const catalog::WeightedService& it : route.services) {
        place -= it.weight;
        if (place < 0) {
            m_service = it.service;
            break;
        }
    }
    const catalog::Service* service = m_context.catalog.service(m_service);
    for (const catalog::ModelName& model : route.models) {
        catalog::ModelPrice price { .model = model, .costPerThousandTokens = 1 };
        const bool priced = service && service->engine;
        for (const catalog::ModelPrice& it : priced ? service->engine->models : std::vector<catalog::ModelPrice>()) {
            if (it.model == model)
                price = it;
        }
        m_models.push_back(price);
    }
    m_model = m_context.ladder.first(m_service, m_models);
}

std::uint64_t RequestTarget::sessionHash() const
{
    const std::string& subject = m_request.session ? m_request.session->value() : m_request.attempt.value();
    return stableHash(subject, stableHash(m_service.value()));
}

balancing::UpstreamRequirements RequestTarget::demandOfAnyVersion(std::size_t model) const
{
    balancing::UpstreamRequirements it { .service = m_service, .excludedUpstreams = m_excluded };
    it.promptTokens = m_request.promptTokens;
    it.promptParts = m_request.promptParts;
    if (choosesModel())
        it.model = m_models[model].model;
    else if (!m_request.model.empty())
        it.model = catalog::ModelName(m_request.model);
    return it;
}

rollout::RequestProfile RequestTarget::weight(std::size_t model) const
{
    if (m_request.promptTokens > LIGHT_PROMPT_TOKENS)
        return rollout::RequestProfile::LongPrefill;
    const bool largest = !choosesModel() || model + 1 == m_models.size();
    return largest ? rollout::RequestProfile::ShortPrefillLongDecode : rollout::RequestProfile::ShortPrefillShortDecode;
}

balancing::UpstreamRequirements RequestTarget::demand(std::size_t model, TimePoint now) const
{
    balancing::UpstreamRequirements it = demandOfAnyVersion(model);
    const rollout::VersionConstraint wish
        = m_context.rollouts.constraintFor(m_service, sessionHash(), weight(model), now);
    it.requiredVersion = wish.requiredVersion;
    it.excludedVersions = wish.excludedVersions;
    it.requiredUpstream = wish.requiredUpstream;
    if (wish.requiredUpstream && !m_context.balancer.isServable(it, TimePoint::max(), now))
        it.requiredUpstream.reset();
    // Where the version wished for has no upstream left, the other one is better than none.
    if (wish.requiredVersion && !m_context.balancer.isServable(it, TimePoint::max(), now))
        it.requiredVersion.reset();
    return it;
}

}
