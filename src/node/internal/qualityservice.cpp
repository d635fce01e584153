#include "qualityservice.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fireflyhaven::node {

namespace {

constexpr Duration RATING_TIMEOUT { 1000 };
constexpr Duration UNAVAILABLE_PAUSE { 500 };
constexpr Duration WRITE_INTERVAL { 2000 };
constexpr std::size_t MAX_WAITING_JOBS = 200;

}

QualityService::QualityService(
    const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics, ClusterReplica& replica)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_service(settings.platform, RATING_TIMEOUT)
{
}

QualityService::~QualityService()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    for (std::thread& it : m_threads)
        it.join();
}

void QualityService::start()
{
    m_threads.emplace_back([this] { work(); });
    m_threads.emplace_back([this] {
        bool stopping = false;
        while (!stopping) {
            writeRatings();
            weighPeerRatings();
            absl::MutexLock lock(&m_mutex);
            stopping
                = m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(WRITE_INTERVAL.count()));
        }
    });
}

std::optional<bool> QualityService::rateNow(
    const quality::RatingKey& key, const std::string& prompt, const std::string& answer)
{
    const std::optional<bool> good = handleFailure(
        [&]() -> Result<std::optional<bool>> {
            BOOST_LEAF_AUTO(rating, m_service.rate(key, prompt, answer));
            return std::optional(rating);
        },
        [](const Failure&) { return std::optional<bool>(); });
    if (good) {
        record(key, *good);
        return good;
    }
    m_metrics.count("ratings_unavailable");
    absl::MutexLock lock(&m_mutex);
    m_unavailableUntil = m_clock.now() + UNAVAILABLE_PAUSE;
    return good;
}

void QualityService::rateLater(const quality::RatingKey& key, const std::string& prompt, const std::string& answer)
{
    absl::MutexLock lock(&m_mutex);
    if (m_jobs.size() < MAX_WAITING_JOBS)
        m_jobs.push_back({ .key = key, .prompt = prompt, .answer = answer });
}

bool QualityService::available() const
{
    absl::MutexLock lock(&m_mutex);
    return m_clock.now() >= m_unavailableUntil;
}

void QualityService::work()
{
    const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_jobs.empty(); };
    while (true) {
        Job job;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(&ready));
            if (m_stopping)
                return;
            const absl::Duration pause = absl::Milliseconds((m_unavailableUntil - m_clock.now()).count());
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), std::max(absl::ZeroDuration(), pause));
            job = std::move(m_jobs.front());
            m_jobs.pop_front();
        }
        rateNow(job.key, job.prompt, job.answer);
    }
}

double QualityService::strictestTarget(const config::Lists& lists, const quality::RatingKey& key) const
{
    double target = 0;
    for (const auto& [allowanceKey, allowance] : lists.allowances) {
        const auto& uses = allowance.value.versionShares;
        const bool applies = allowanceKey.task == key.task
            && std::any_of(uses.begin(), uses.end(), [&](const auto& it) { return it.version == key.version; });
        if (applies)
            target = std::max(target, lists.plans.at(allowanceKey.plan).value.qualityTarget);
    }
    // A cheap version that a cascade checks may lie below the plan's target; what the operator assumed of it holds.
    const auto* version = config::findItem(lists.versions, key.version);
    return version ? std::min(target, version->value.assumedQuality) : target;
}

void QualityService::record(const quality::RatingKey& key, bool good)
{
    m_metrics.count(good ? "ratings_good" : "ratings_bad");
    {
        absl::MutexLock lock(&m_mutex);
        quality::RatingsEntry& entry = m_unwritten[key];
        entry.key = key;
        (good ? entry.good : entry.bad) += 1;
    }
    weigh({ .key = key, .good = good ? 1U : 0U, .bad = good ? 0U : 1U });
}

void QualityService::weigh(const quality::RatingsEntry& ratings)
{
    const ModelVersion& name = ratings.key.version;
    const std::shared_ptr<const config::Lists> lists = m_replica.lists();
    const auto* version = config::findItem(lists->versions, name);
    if (!version || isSuspended(name, version->revision))
        return;
    const double target = strictestTarget(*lists, ratings.key);
    const quality::SuspendEntry entry {
        .version = name, .versionRevision = version->revision, .host = m_settings.host
    };
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_detector.onRatings(ratings.key, ratings.good, ratings.bad, target))
            return;
        addSuspension(entry);
        m_detector.discardEvidence(name);
    }
    spdlog::warn(
        "version {} suspended: its ratings for {} fell under {}", name.text(), ratings.key.task.value(), target);
    m_metrics.count("versions_suspended");
    m_replica.writeLater(entry);
}

void QualityService::onPeerRatings(const quality::RatingsEntry& entry)
{
    absl::MutexLock lock(&m_mutex);
    m_peerRatings.push_back(entry);
}

void QualityService::weighPeerRatings()
{
    std::vector<quality::RatingsEntry> ratings;
    {
        absl::MutexLock lock(&m_mutex);
        ratings.swap(m_peerRatings);
    }
    for (const quality::RatingsEntry& it : ratings)
        weigh(it);
}

void QualityService::writeRatings()
{
    std::map<quality::RatingKey, quality::RatingsEntry> entries;
    {
        absl::MutexLock lock(&m_mutex);
        entries.swap(m_unwritten);
    }
    for (const auto& [key, entry] : entries)
        m_replica.writeLater(entry);
    // A suspension that the log holds needs no heartbeats any more.
    const std::shared_ptr<const config::Lists> lists = m_replica.lists();
    absl::MutexLock lock(&m_mutex);
    std::erase_if(m_suspensions, [&](const quality::SuspendEntry& it) {
        const auto* version = config::findItem(lists->versions, it.version);
        return !version || version->revision > it.versionRevision;
    });
}

quality::Estimate QualityService::estimate(const quality::RatingKey& key, double assumedQuality) const
{
    const quality::RatingCounts counts = m_replica.read([&](const ReplicaState& state) {
        const auto it = state.fold.quality().counts().find(key);
        return it == state.fold.quality().counts().end() ? quality::RatingCounts {} : it->second;
    });
    return quality::estimateQuality(counts, assumedQuality);
}

bool QualityService::isSuspended(const ModelVersion& version, Offset versionRevision) const
{
    const bool logged = m_replica.read(
        [&](const ReplicaState& state) { return state.fold.quality().isSuspended(version, versionRevision); });
    if (logged)
        return true;
    absl::MutexLock lock(&m_mutex);
    return std::any_of(m_suspensions.begin(), m_suspensions.end(), [&](const quality::SuspendEntry& it) {
        return it.version == version && it.versionRevision >= versionRevision;
    });
}

std::vector<quality::SuspendEntry> QualityService::unloggedSuspensions() const
{
    absl::MutexLock lock(&m_mutex);
    return { m_suspensions.begin(), m_suspensions.end() };
}

void QualityService::onPeerSuspensions(const std::vector<quality::SuspendEntry>& suspensions)
{
    absl::MutexLock lock(&m_mutex);
    for (const quality::SuspendEntry& it : suspensions) {
        if (addSuspension(it))
            spdlog::warn("version {} suspended by {}", it.version.text(), it.host.value());
    }
}

// One suspension of a version's revision is enough, whichever host it came from.
bool QualityService::addSuspension(const quality::SuspendEntry& entry)
{
    const bool known = std::any_of(m_suspensions.begin(), m_suspensions.end(), [&](const quality::SuspendEntry& it) {
        return it.version == entry.version && it.versionRevision >= entry.versionRevision;
    });
    if (!known)
        m_suspensions.insert(entry);
    return !known;
}

nlohmann::json QualityService::dump() const
{
    nlohmann::json versions = m_replica.read([](const ReplicaState& state) { return state.fold.quality().snapshot(); });
    absl::MutexLock lock(&m_mutex);
    versions["ratings_waiting"] = m_jobs.size();
    return versions;
}

}
