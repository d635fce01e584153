#include "fireflyhaven/balancing/upstreamspeeds.h"

#include "fireflyhaven/fleet/peerload.h"

#include <algorithm>
#include <cmath>

namespace fireflyhaven::balancing {

namespace {

constexpr double MAX_DEVIATION = 16;
constexpr double MIN_DEVIATION = 0.5;
// Weight of the newest ratio in the moving average of the deviation.
constexpr double DEVIATION_WEIGHT = 0.3;
constexpr Duration DEVIATION_HALF_LIFE { 4000 };
// Removals of upstreams that are remembered; late reports of other hosts arrive long before so many more follow.
constexpr std::size_t MAX_REMOVALS = 4096;

// 1 now and less later; halves in each half-life.
double remainingWeight(TimePoint since, Duration halfLife, TimePoint now)
{
    const double age = static_cast<double>((now - since).count()) / static_cast<double>(halfLife.count());
    return std::exp2(-std::max(0.0, age));
}

// Lower median, since disturbances only make work slower.
double typical(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

UpstreamSpeeds::UpstreamSpeeds(UpstreamSpeedOptions options)
    : m_options(options)
{
}

void UpstreamSpeeds::onReported(const UpstreamId& upstream, double workTimeFactor, TimePoint now)
{
    State& it = m_states[upstream];
    if (it.reported.size() >= m_options.samples)
        it.reported.erase(it.reported.begin());
    it.reported.push_back(workTimeFactor);
    it.reportedAt = now;
}

void UpstreamSpeeds::onObserved(const UpstreamId& upstream, double ratio, TimePoint now)
{
    const double before = deviation(upstream, now);
    State& it = m_states[upstream];
    const double sample = std::clamp(ratio * before, MIN_DEVIATION, MAX_DEVIATION);
    it.deviation = before + DEVIATION_WEIGHT * (sample - before);
    it.deviationAt = now;
}

void UpstreamSpeeds::onPeerMeasured(fleet::ShortHash upstream, double workTimeFactor, Duration age, TimePoint now)
{
    const TimePoint measuredAt = now - age;
    const auto removed = m_removedAt.find(upstream);
    if (age >= m_options.lifetime || (removed != m_removedAt.end() && measuredAt <= removed->second))
        return;
    PeerMeasurement& it = m_peers[upstream];
    if (measuredAt >= it.measuredAt)
        it = { .factor = workTimeFactor, .measuredAt = measuredAt };
}

const UpstreamSpeeds::PeerMeasurement* UpstreamSpeeds::peerMeasurement(fleet::ShortHash upstream, TimePoint now) const
{
    const auto it = m_peers.find(upstream);
    return it != m_peers.end() && now - it->second.measuredAt < m_options.lifetime ? &it->second : nullptr;
}

double UpstreamSpeeds::lasting(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_states.find(upstream);
    const std::size_t ownSamples = it == m_states.end() ? 0 : it->second.reported.size();
    if (ownSamples < m_options.ownSamplesRequired) {
        if (const PeerMeasurement* peer = peerMeasurement(fleet::shortHashOf(upstream), now))
            return peer->factor;
    }
    return ownSamples == 0 ? 1 : typical(it->second.reported);
}

double UpstreamSpeeds::reported(const UpstreamId& upstream, TimePoint now) const
{
    const double usual = lasting(upstream, now);
    const auto it = m_states.find(upstream);
    if (it == m_states.end() || it->second.reported.empty())
        return usual;
    const double weight = remainingWeight(it->second.reportedAt, m_options.passingHalfLife, now);
    return usual + (it->second.reported.back() - usual) * weight;
}

double UpstreamSpeeds::deviation(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_states.find(upstream);
    if (it == m_states.end())
        return 1;
    return 1 + (it->second.deviation - 1) * remainingWeight(it->second.deviationAt, DEVIATION_HALF_LIFE, now);
}

bool UpstreamSpeeds::isKnown(const UpstreamId& upstream, TimePoint now) const
{
    const auto it = m_states.find(upstream);
    const bool own = it != m_states.end() && !it->second.reported.empty();
    return own || peerMeasurement(fleet::shortHashOf(upstream), now);
}

std::vector<fleet::UpstreamSpeed> UpstreamSpeeds::report(std::size_t limit, TimePoint now)
{
    std::vector<fleet::UpstreamSpeed> known;
    const auto add = [&](fleet::ShortHash upstream, double factor, TimePoint measuredAt) {
        if (now - measuredAt < m_options.lifetime)
            known.push_back(fleet::UpstreamSpeed::of(upstream, factor, now - measuredAt));
    };
    absl::flat_hash_map<fleet::ShortHash, bool> own;
    for (const auto& [id, it] : m_states) {
        if (it.reported.size() < m_options.ownSamplesRequired)
            continue;
        const fleet::ShortHash upstream = fleet::shortHashOf(id);
        own[upstream] = true;
        add(upstream, typical(it.reported), it.reportedAt);
    }
    for (const auto& [upstream, it] : m_peers) {
        if (!own.contains(upstream))
            add(upstream, it.factor, it.measuredAt);
    }
    if (known.size() <= limit)
        return known;
    std::sort(known.begin(), known.end(), [](const auto& a, const auto& b) { return a.upstream < b.upstream; });
    std::rotate(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(m_listed % known.size()), known.end());
    known.resize(limit);
    m_listed += limit;
    return known;
}

void UpstreamSpeeds::removeUpstream(const UpstreamId& upstream, TimePoint now)
{
    // A host that has just started sees all upstreams for the first time; what others have measured holds then.
    if (m_states.erase(upstream) == 0)
        return;
    const fleet::ShortHash hash = fleet::shortHashOf(upstream);
    m_peers.erase(hash);
    if (m_removedAt.size() >= MAX_REMOVALS)
        m_removedAt.clear();
    m_removedAt[hash] = now;
}

}
