#include "poisonlink.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/telemetry/logevent.h"
#include "lognames.h"

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

constexpr Duration CHECK_TIMEOUT { 300 };

std::string eventName(const poison::VerdictEvent& event)
{
    std::string subject = event.verdict.isWholeRequest ? "request" : "prompt_part";
    switch (event.change) {
    case poison::VerdictChange::Convicted:
        return subject + "_convicted";
    case poison::VerdictChange::Learned:
        return subject + "_verdict_learned";
    case poison::VerdictChange::Withdrawn:
        return subject + "_verdict_withdrawn";
    case poison::VerdictChange::Tried:
        return subject + "_verdict_tried";
    case poison::VerdictChange::Dropped:
        return subject + "_verdict_dropped";
    }
    return subject;
}

}

bool isTrialHost(const fleet::HostTable& hosts, PromptPartId part, TimePoint now)
{
    const auto order = [part](const HostId& host) { return stableHash(host.value(), part.value()); };
    const std::vector<const fleet::KnownHost*> live = hosts.live(now);
    return std::none_of(live.begin(), live.end(),
        [&](const fleet::KnownHost* it) { return order(it->report.host) < order(hosts.self()); });
}

nlohmann::ordered_json crashList(const catalog::Catalog& catalog, const poison::Verdict& verdict)
{
    auto crashes = nlohmann::ordered_json::array();
    for (const fleet::CrashWitness& it : verdict.crashes)
        crashes.push_back({ { "upstream", upstreamName(catalog, it.upstream) }, { "seen_by", it.reporter.value() } });
    return crashes;
}

std::optional<http::Endpoint> PoisonLink::addressOf(const ratelimit::UpstreamIncarnation& upstream) const
{
    for (const auto& [id, it] : m_context.catalog.upstreams()) {
        if (ratelimit::incarnationOf(id, it.upstream.startedAtMs) == upstream)
            return it.upstream.address;
    }
    return std::nullopt;
}

// A crashed upstream refuses connections; one that only closed some of them accepts new ones.
void PoisonLink::checkCrashes(TimePoint now)
{
    for (const ratelimit::UpstreamIncarnation& upstream : m_context.guard.takeUnconfirmedCrashes()) {
        const auto address = addressOf(upstream);
        if (!address) {
            m_context.guard.onCrashChecked(upstream, false, now);
            continue;
        }
        m_context.client.checkConnection(*address, CHECK_TIMEOUT, [this, upstream](http::ConnectionResult result) {
            m_context.guard.onCrashChecked(upstream, result == http::ConnectionResult::Refused, m_context.clock.now());
        });
    }
}

void PoisonLink::tick(TimePoint now)
{
    checkCrashes(now);
    m_context.guard.tick(now);
    for (const poison::VerdictEvent& it : m_context.guard.takeEvents())
        log(it);
    if (m_context.guard.takeNews())
        m_context.sendNotices();
}

void PoisonLink::log(const poison::VerdictEvent& event) const
{
    m_context.metrics.count("prompt_part_verdicts", 1, { { "change", eventName(event) } });
    telemetry::LogFields fields { { event.verdict.isWholeRequest ? "request_digest" : "part",
        partId(event.verdict.part) } };
    if (!event.verdict.crashes.empty()) {
        fields["convicted_by"] = event.verdict.convictedBy.value();
        fields["crashes"] = crashList(m_context.catalog, event.verdict);
    }
    telemetry::logEvent(spdlog::level::warn, eventName(event), fields);
}

}
