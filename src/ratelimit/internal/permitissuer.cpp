#include "fireflyhaven/ratelimit/permitissuer.h"

#include <algorithm>

namespace fireflyhaven::ratelimit {

PermitIssuer::PermitIssuer(PermitIssuerOptions options)
    : m_options(options)
{
}

PermitIssuer::Schedule& PermitIssuer::scheduleOf(const UpstreamIncarnation& upstream, TimePoint now)
{
    const Schedule fresh { .startedAtMs = upstream.startedAtMs,
        .nextPermitAt = std::max(now, m_issuersChangedAt + m_options.settlingTime) };
    Schedule& it = m_schedules.try_emplace(upstream.upstream, fresh).first->second;
    if (it.startedAtMs < upstream.startedAtMs)
        it = fresh;
    return it;
}

PermitDecision PermitIssuer::decide(const PermitTerms& terms, TimePoint now)
{
    constexpr double MILLISECONDS_PER_SECOND = 1000;
    const auto roundedUp = [](Milliseconds it) { return std::chrono::ceil<Duration>(it); };
    const RequestRate rate = std::max(terms.limit, m_options.minRate);
    const Milliseconds interval(MILLISECONDS_PER_SECOND / rate.perSecond());
    Schedule& it = scheduleOf(terms.upstream, now);
    const ScheduleTime current = now;
    const ScheduleTime permitAt = std::max<ScheduleTime>(it.nextPermitAt, current - m_options.maxBurst);
    const Milliseconds wait = std::max(Milliseconds(0), permitAt - current);
    if (wait <= terms.maxWait) {
        it.nextPermitAt = permitAt + interval;
        return { .granted = true, .wait = roundedUp(wait) };
    }
    // Refused callers return one interval apart, each when a permit may be free for it.
    it.nextReturnAt = std::max(it.nextReturnAt, permitAt);
    const Milliseconds retryAfter = it.nextReturnAt - current;
    if (terms.maxWait > Duration(0))
        it.nextReturnAt += interval;
    return { .granted = false, .wait = roundedUp(wait), .retryAfter = roundedUp(retryAfter) };
}

void PermitIssuer::retainIf(const std::function<bool(fleet::ShortHash)>& isIssuer)
{
    absl::erase_if(m_schedules, [&](const auto& entry) { return !isIssuer(entry.first); });
}

}
