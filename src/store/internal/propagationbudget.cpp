#include "fireflyhaven/store/propagationbudget.h"

#include <fmt/format.h>

#include <numeric>

namespace fireflyhaven::store {

namespace {

constexpr ReadPath PATHS[] = { ReadPath::Store, ReadPath::SourceLost, ReadPath::SourceLostOverTwoHops,
    ReadPath::WayRegained, ReadPath::Start };
constexpr Topic TOPICS[] = { Topic::Operator, Topic::Upstreams };

std::string_view nameOf(ReadPath path)
{
    switch (path) {
    case ReadPath::Store:
        return "read of the store";
    case ReadPath::SourceLost:
        return "source lost";
    case ReadPath::SourceLostOverTwoHops:
        return "source lost over two hops";
    case ReadPath::WayRegained:
        return "way to the store regained";
    case ReadPath::Start:
        return "start";
    }
    return "";
}

std::string_view nameOf(Topic topic) { return topic == Topic::Operator ? "configuration" : "registrations"; }

}

PropagationBudget::PropagationBudget(const PropagationBounds& bounds, const ReadSourceOptions& options)
    : m_bounds(bounds)
    , m_timing(bounds)
    , m_options(options)
{
}

std::vector<PropagationPart> PropagationBudget::parts(ReadPath path, Topic topic) const
{
    const PropagationPart storeRead { "answer of the store", STORE_ANSWER_TIME };
    switch (path) {
    case ReadPath::Store:
        return { { "interval of the reads", m_timing.fromStore(topic, false).interval }, storeRead };
    case ReadPath::SourceLost:
        return { { "age at which the source is given up", m_timing.maxSourceAge(topic, false) },
            { "read from another host", FALLBACK_SOURCE_TIMEOUT }, storeRead };
    case ReadPath::SourceLostOverTwoHops:
        return { { "age at which the source is given up", m_timing.maxSourceAge(topic, true) },
            { "head start of the substitutes", m_timing.substituteHeadStart(topic) },
            { "reads from other hosts",
                FALLBACK_SOURCE_TIMEOUT * static_cast<Duration::rep>(m_options.maxFailedSources - 1) },
            storeRead };
    case ReadPath::WayRegained:
        return { { "read that was begun without a way", MAX_STORE_ANSWER_TIME },
            { "pause before the next read of the store", m_options.storeRetry }, storeRead,
            { "snapshot in place of records that are gone", STORE_ANSWER_TIME } };
    case ReadPath::Start:
        return { { "wait for other hosts", m_options.startupPeerWait },
            { "sources that have read nothing yet", m_options.startupReadGrace },
            { "read from another host", RELAY_TIMEOUT }, storeRead };
    }
    return {};
}

Duration PropagationBudget::worstCase(ReadPath path, Topic topic) const
{
    const std::vector<PropagationPart> all = parts(path, topic);
    return std::accumulate(
        all.begin(), all.end(), Duration(0), [](Duration sum, const PropagationPart& it) { return sum + it.time; });
}

Duration PropagationBudget::limit(ReadPath path, Topic topic) const
{
    const bool isCountedFromReturn = path == ReadPath::WayRegained || path == ReadPath::Start;
    return isCountedFromReturn ? m_bounds.reachable : m_timing.bound(topic);
}

std::string PropagationBudget::violations() const
{
    std::string text;
    for (const ReadPath path : PATHS) {
        for (const Topic topic : TOPICS) {
            if (transferAllowance(path, topic) >= Duration(0))
                continue;
            text += fmt::format("{}, {}: {} ms at most, bound {} ms (", nameOf(topic), nameOf(path),
                worstCase(path, topic).count(), limit(path, topic).count());
            std::string_view separator;
            for (const PropagationPart& it : parts(path, topic)) {
                text += fmt::format("{}{} {} ms", separator, it.name, it.time.count());
                separator = ", ";
            }
            text += ")\n";
        }
    }
    return text;
}

}
