#include "poisonlink.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "lognames.h"

namespace fireflyhaven::entry {

namespace {

const char* eventName(poison::VerdictChange change)
{
    switch (change) {
    case poison::VerdictChange::Convicted:
        return "prompt_part_convicted";
    case poison::VerdictChange::Learned:
        return "prompt_part_verdict_learned";
    case poison::VerdictChange::Withdrawn:
        return "prompt_part_verdict_withdrawn";
    case poison::VerdictChange::Ended:
        return "prompt_part_verdict_ended";
    }
    return "";
}

}

nlohmann::ordered_json crashList(const catalog::Catalog& catalog, const poison::Verdict& verdict)
{
    auto crashes = nlohmann::ordered_json::array();
    for (const fleet::CrashWitness& it : verdict.crashes)
        crashes.push_back({ { "upstream", upstreamName(catalog, it.upstream) }, { "seen_by", it.reporter.value() } });
    return crashes;
}

void PoisonLink::tick(TimePoint now)
{
    m_context.guard.tick(now);
    for (const poison::VerdictEvent& it : m_context.guard.takeEvents())
        log(it);
    if (m_context.guard.takeNews())
        m_context.sendNotices();
}

void PoisonLink::log(const poison::VerdictEvent& event) const
{
    m_context.metrics.count("prompt_part_verdicts", 1, { { "change", eventName(event.change) } });
    telemetry::LogFields fields { { "part", partId(event.verdict.part) } };
    if (!event.verdict.crashes.empty()) {
        fields["convicted_by"] = event.verdict.convictedBy.value();
        fields["crashes"] = crashList(m_context.catalog, event.verdict);
    }
    telemetry::logEvent(spdlog::level::warn, eventName(event.change), fields);
}

}
