#include "limitlink.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "lognames.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

// A request for a permit that was not answered in this time is forgotten.
constexpr Duration REQUEST_RETENTION { 1000 };
// A host that is not the issuer refuses for this long, until the hosts agree on the issuer again.
constexpr Duration MISDIRECTED_WAIT { 200 };

// Interval at which changes of the issuers are looked for while nobody asks for permits.
constexpr Duration ISSUER_UPDATE_INTERVAL { 1000 };

std::uint32_t milliseconds(Duration it)
{
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>(it.count(), 0, UINT32_MAX));
}

}

LimitLink::LimitLink(Context context)
    : m_context(std::move(context))
    // Differs from the numbers of an earlier process at the same address, whose replies may still arrive.
    , m_lastNumber(static_cast<std::uint32_t>(m_context.clock.wallNow().time_since_epoch().count()))
{
}

void LimitLink::requestPermit(admission::TicketId request, const balancing::PermitNeed& need)
{
    const TimePoint now = m_context.clock.now();
    m_context.metrics.count("permits_requested");
    if (isIssuerOf(need.incarnation.upstream, now))
        return deliver(request, decide(need.incarnation, need.maxWait, now));
    const TimePoint answeredAt = m_context.limits.answeredAt(need.incarnation).value_or(now);
    const fleet::PermitRequest message { .number = ++m_lastNumber,
        .limit = { .upstream = need.incarnation.upstream,
            .startedAtMs = need.incarnation.startedAtMs,
            .limit = need.limit,
            .ageMs = milliseconds(now - answeredAt) },
        .maxWaitMs = milliseconds(need.maxWait) };
    const HostId& issuer = issuerOf(need.incarnation.upstream, now);
    // A late reply to an earlier request would count for another upstream.
    std::erase_if(m_openRequests, [request](const auto& it) { return it.second.request == request; });
    if (const auto datagram = m_context.exchange().permitRequest(issuer, message)) {
        m_openRequests[message.number] = { .request = request, .askedAt = now };
        m_context.send({ *datagram });
    }
}

void LimitLink::deliver(admission::TicketId request, const ratelimit::PermitDecision& decision)
{
    m_context.metrics.count(decision.granted ? "permits_granted" : "permits_refused");
    m_context.deliver(request, decision);
}

const HostId& LimitLink::issuerOf(fleet::ShortHash upstream, TimePoint now)
{
    updateIssuers(now);
    return fleet::LimitExchange::issuerOf(upstream, m_issuers);
}

bool LimitLink::isIssuerOf(fleet::ShortHash upstream, TimePoint now)
{
    return issuerOf(upstream, now) == m_context.exchange().self();
}

void LimitLink::updateIssuers(TimePoint now)
{
    m_issuersUpdatedAt = now;
    std::vector<HostId> issuers = m_context.exchange().issuers(now);
    if (issuers == m_issuers)
        return;
    m_issuers = std::move(issuers);
    m_issuer.onIssuersChanged(now);
    m_issuer.retainIf([this](fleet::ShortHash upstream) {
        return fleet::LimitExchange::issuerOf(upstream, m_issuers) == m_context.exchange().self();
    });
}

void LimitLink::announceLimits() { m_context.send(m_context.exchange().sendNotices(m_context.clock.now())); }

ratelimit::PermitDecision LimitLink::decide(
    const ratelimit::UpstreamIncarnation& upstream, Duration maxWait, TimePoint now)
{
    // The limit may have ended since the request was made.
    const auto limit = m_context.limits.limitOf(upstream);
    if (!limit)
        return { .granted = true };
    const ratelimit::PermitDecision decision
        = m_issuer.decide({ .upstream = upstream, .limit = *limit, .maxWait = maxWait }, now);
    m_context.metrics.count(decision.granted ? "permits_issued" : "permits_withheld");
    return decision;
}

void LimitLink::tick(TimePoint now)
{
    std::erase_if(m_openRequests, [now](const auto& it) { return now - it.second.askedAt >= REQUEST_RETENTION; });
    // Ranking all hosts is too much work for each tick.
    if (now - m_issuersUpdatedAt >= ISSUER_UPDATE_INTERVAL)
        updateIssuers(now);
}

std::vector<fleet::UpstreamLimit> LimitLink::limitNotices(fleet::NoticeScope scope, TimePoint now) const
{
    return m_context.limits.notices(scope, now);
}

void LimitLink::onLimitNotice(const fleet::UpstreamLimit& notice, const DataCentreId& from, TimePoint now)
{
    const fleet::NoticeSource source = from == m_context.exchange().ownDataCentre()
        ? fleet::NoticeSource::OwnDataCentre
        : fleet::NoticeSource::OtherDataCentre;
    if (m_context.limits.onNotice(notice, source, now) == ratelimit::LimitChange::None)
        return;
    telemetry::LogFields fields { { "upstream", upstreamName(m_context.catalog, notice.upstream) },
        { "age_ms", notice.ageMs } };
    if (notice.limit)
        fields["limit_per_second"] = notice.limit->perSecond();
    telemetry::logEvent(
        spdlog::level::info, notice.limit ? "upstream_limit_learned" : "upstream_limit_end_learned", fields);
}

fleet::PermitReply LimitLink::onPermitRequest(const fleet::PermitRequest& request, TimePoint now)
{
    onLimitNotice(request.limit, m_context.exchange().ownDataCentre(), now);
    const fleet::ShortHash upstream = request.limit.upstream;
    if (!isIssuerOf(upstream, now)) {
        m_context.metrics.count("permit_requests_misdirected");
        return { .number = request.number,
            .waitMs = milliseconds(MISDIRECTED_WAIT),
            .retryAfterMs = milliseconds(MISDIRECTED_WAIT) };
    }
    const ratelimit::UpstreamIncarnation incarnation { .upstream = upstream, .startedAtMs = request.limit.startedAtMs };
    const ratelimit::PermitDecision decision = decide(incarnation, Duration(request.maxWaitMs), now);
    return { .number = request.number,
        .granted = decision.granted,
        .waitMs = milliseconds(decision.wait),
        .retryAfterMs = milliseconds(decision.retryAfter) };
}

void LimitLink::onPermitReply(const fleet::PermitReply& reply, TimePoint)
{
    const auto it = m_openRequests.find(reply.number);
    if (it == m_openRequests.end())
        return;
    const admission::TicketId request = it->second.request;
    m_openRequests.erase(it);
    const ratelimit::PermitDecision decision {
        .granted = reply.granted, .wait = Duration(reply.waitMs), .retryAfter = Duration(reply.retryAfterMs)
    };
    deliver(request, decision);
}

}
