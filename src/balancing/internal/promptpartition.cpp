#include "fireflyhaven/balancing/promptpartition.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace fireflyhaven::balancing {

namespace {

constexpr double MILLISECONDS_PER_SECOND = 1000;
// The expected wait grows without limit as the utilisation approaches 1.
constexpr double MAX_UTILISATION = 0.9;
constexpr Duration MAX_EXPECTED_WAIT { 2000 };

fleet::ShortHash shortHashOf(const ServiceName& service)
{
    return static_cast<fleet::ShortHash>(stableHash(service.value()));
}

double capacityOf(const PartitionMember& it) { return 1 / it.workTimeFactor; }

}

PromptPartition::PromptPartition(PromptPartitionOptions options)
    : m_options(options)
{
}

PromptPartition::Service& PromptPartition::service(const ServiceName& name)
{
    return m_services.try_emplace(name, m_options.demandHalfLife).first->second;
}

void PromptPartition::onWork(const ServiceName& name, bool isLongPrompt, double upstreamMs, bool prefill, TimePoint now)
{
    Service& it = service(name);
    (isLongPrompt ? it.longWork : it.shortWork).add(upstreamMs, now);
    if (!isLongPrompt || !prefill)
        return;
    it.longPrefill.add(upstreamMs, now);
    it.longPrefillSquared.add(upstreamMs * upstreamMs, now);
}

void PromptPartition::onPeerDemands(const HostId& source, const std::vector<fleet::PromptDemand>& demands)
{
    if (demands.empty())
        m_peers.erase(source);
    else
        m_peers[source] = demands;
}

void PromptPartition::onPeerSilent(const HostId& source) { m_peers.erase(source); }

// In a steady state the decaying sum is the rate times the mean lifetime, which is the half-life over ln 2.
double PromptPartition::ratePerSecond(const DecayingCounter& counter, TimePoint now) const
{
    const double lifetimeMs = static_cast<double>(m_options.demandHalfLife.count()) / std::numbers::ln2;
    return counter.at(now) / lifetimeMs * MILLISECONDS_PER_SECOND;
}

std::vector<fleet::PromptDemand> PromptPartition::ownDemands(TimePoint now) const
{
    std::vector<fleet::PromptDemand> demands;
    for (const auto& [name, it] : m_services) {
        const auto longPrompts = static_cast<std::uint32_t>(ratePerSecond(it.longWork, now));
        const auto shortPrompts = static_cast<std::uint32_t>(ratePerSecond(it.shortWork, now));
        if (longPrompts > 0 || shortPrompts > 0)
            demands.push_back(
                { .service = shortHashOf(name), .longPrompts = longPrompts, .shortPrompts = shortPrompts });
    }
    return demands;
}

PromptPartition::Demand PromptPartition::totalDemand(
    const ServiceName& name, const Service& service, TimePoint now) const
{
    Demand total { .longPrompts = ratePerSecond(service.longWork, now),
        .shortPrompts = ratePerSecond(service.shortWork, now) };
    for (const auto& [source, demands] : m_peers) {
        for (const fleet::PromptDemand& it : demands) {
            if (it.service != shortHashOf(name))
                continue;
            total.longPrompts += it.longPrompts;
            total.shortPrompts += it.shortPrompts;
        }
    }
    return total;
}

void PromptPartition::divide(const ServiceName& name, std::vector<PartitionMember> members, TimePoint now)
{
    Service& it = service(name);
    const Demand demand = totalDemand(name, it, now);
    if (members.size() < m_options.minUpstreams || demand.longPrompts <= 0 || demand.shortPrompts <= 0)
        return clear(name);
    const double share = std::clamp(demand.longPrompts / (demand.longPrompts + demand.shortPrompts),
        m_options.minLongShare, m_options.maxLongShare);
    const auto rank = [&](const PartitionMember& member) {
        const auto step = std::lround(std::log(member.workTimeFactor) / std::log(m_options.speedStep));
        return std::pair(step, stableHash(member.upstream.value()));
    };
    std::sort(members.begin(), members.end(),
        [&](const PartitionMember& a, const PartitionMember& b) { return rank(a) < rank(b); });
    double capacity = 0;
    for (const PartitionMember& member : members)
        capacity += capacityOf(member);
    double longCapacity = 0;
    it.forLongPrompts.clear();
    for (const PartitionMember& member : members) {
        if (longCapacity + capacityOf(member) / 2 > share * capacity)
            break;
        longCapacity += capacityOf(member);
        it.forLongPrompts.insert(member.upstream);
    }
    it.divided = true;
    it.longShare = longCapacity / capacity;
    // Mean wait of the M/G/1 queue: the residual prefill time of the long prompts, times their utilisation.
    const double utilisation = std::min(
        MAX_UTILISATION, longCapacity > 0 ? demand.longPrompts / (longCapacity * MILLISECONDS_PER_SECOND) : 0);
    const double prefill = it.longPrefill.at(now);
    const double residual = prefill > 0 ? it.longPrefillSquared.at(now) / prefill / 2 : 0;
    const Duration wait(static_cast<Duration::rep>(residual * utilisation / (1 - utilisation)));
    it.waitAmongLongPrompts = std::min(wait, MAX_EXPECTED_WAIT);
}

void PromptPartition::clear(const ServiceName& name)
{
    const auto it = m_services.find(name);
    if (it == m_services.end())
        return;
    it->second.divided = false;
    it->second.forLongPrompts.clear();
}

bool PromptPartition::isDivided(const ServiceName& name) const
{
    const auto it = m_services.find(name);
    return it != m_services.end() && it->second.divided;
}

bool PromptPartition::isForLongPrompts(const ServiceName& name, const UpstreamId& upstream) const
{
    const auto it = m_services.find(name);
    return it != m_services.end() && it->second.forLongPrompts.contains(upstream);
}

Duration PromptPartition::expectedWaitAmongLongPrompts(const ServiceName& name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? Duration(0) : it->second.waitAmongLongPrompts;
}

std::vector<PromptDivisionView> PromptPartition::divided() const
{
    std::vector<PromptDivisionView> views;
    for (const auto& [name, it] : m_services) {
        if (it.divided)
            views.push_back({ .service = name,
                .longShare = it.longShare,
                .upstreamsForLongPrompts = it.forLongPrompts.size(),
                .waitAmongLongPrompts = it.waitAmongLongPrompts });
    }
    return views;
}

}
