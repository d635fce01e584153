#include "fireflyhaven/quality/qualityfold.h"

#include <cmath>

namespace fireflyhaven::quality {

namespace {
// Number of newer ratings after which the weight of a rating is halved.
constexpr double HALF_LIFE_RATINGS = 400;
}

void RatingCounts::add(std::uint64_t newGood, std::uint64_t newBad)
{
    const double decay = std::exp2(-static_cast<double>(newGood + newBad) / HALF_LIFE_RATINGS);
    good = good * decay + static_cast<double>(newGood);
    bad = bad * decay + static_cast<double>(newBad);
}

void QualityFold::apply(const RatingsEntry& entry) { m_counts[entry.key].add(entry.good, entry.bad); }

bool QualityFold::apply(const SuspendEntry& entry)
{
    const auto it = m_suspended.find(entry.version);
    if (it != m_suspended.end() && it->second >= entry.versionRevision)
        return false;
    m_suspended[entry.version] = entry.versionRevision;
    return true;
}

bool QualityFold::isSuspended(const ModelVersion& version, Offset versionRevision) const
{
    const auto it = m_suspended.find(version);
    return it != m_suspended.end() && it->second >= versionRevision;
}

nlohmann::json QualityFold::snapshot() const
{
    nlohmann::json counts = nlohmann::json::array();
    for (const auto& [key, it] : m_counts)
        counts.push_back({ { "key", key }, { "good", it.good }, { "bad", it.bad } });
    nlohmann::json suspended = nlohmann::json::object();
    for (const auto& [version, revision] : m_suspended)
        suspended[version.text()] = revision;
    return { { "counts", counts }, { "suspended", suspended } };
}

QualityFold QualityFold::fromSnapshot(const nlohmann::json& document)
{
    QualityFold fold;
    for (const nlohmann::json& item : document.at("counts")) {
        fold.m_counts[item.at("key").get<RatingKey>()]
            = { .good = item.at("good").get<double>(), .bad = item.at("bad").get<double>() };
    }
    for (const auto& [version, revision] : document.at("suspended").items())
        fold.m_suspended[ModelVersion::parse(version)] = revision.get<Offset>();
    return fold;
}

}
