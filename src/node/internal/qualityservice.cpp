#include "qualityservice.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace fireflyhaven::node {

namespace {

constexpr Duration RATING_TIMEOUT { 1000 };
constexpr Duration UNAVAILABLE_BACKOFF { 500 };
constexpr Duration WRITE_INTERVAL { 2000 };
constexpr std::size_t MAX_PENDING_JOBS = 200;

}

QualityService::QualityService(
    const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics, ClusterReplica& replica)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_service(settings.platformAddress, RATING_TIMEOUT)
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
    m_threads.emplace_back([this] { ratingLoop(); });
    m_threads.emplace_back([this] {
        bool stopping = false;
        while (!stopping) {
            writeRatings();
            addPeerEvidence();
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
        recordRating(key, *good);
        return good;
    }
    m_metrics.count("ratings_unavailable");
    absl::MutexLock lock(&m_mutex);
    m_unavailableUntil = m_clock.now() + UNAVAILABLE_BACKOFF;
    return good;
}

void QualityService::rateAsync(const quality::RatingKey& key, const std::string& prompt, const std::string& answer)
{
    absl::MutexLock lock(&m_mutex);
    if (m_pendingJobs.size() < MAX_PENDING_JOBS)
        m_pendingJobs.push_back({ .key = key, .prompt = prompt, .answer = answer });
}

bool QualityService::ratingsAvailable() const
{
    absl::MutexLock lock(&m_mutex);
    return m_clock.now() >= m_unavailableUntil;
}

void QualityService::ratingLoop()
{
    const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) { return m_stopping || !m_pendingJobs.empty(); };
    while (true) {
        RatingJob job;
        {
            absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(&ready));
            if (m_stopping)
                return;
            const absl::Duration pause = absl::Milliseconds((m_unavailableUntil - m_clock.now()).count());
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), std::max(absl::ZeroDuration(), pause));
            job = std::move(m_pendingJobs.front());
            m_pendingJobs.pop_front();
        }
        rateNow(job.key, job.prompt, job.answer);
    }
}

double QualityService::strictestTarget(const config::Lists& lists, const quality::RatingKey& key) const
{
    double target = 0;
    for (const auto& [allowanceKey, allowance] : lists.allowances) {
        const auto& shares = allowance.value.versionShares;
        const bool applies = allowanceKey.task == key.task
            && std::any_of(shares.begin(), shares.end(), [&](const auto& it) { return it.version == key.version; });
        if (applies)
            target = std::max(target, lists.plans.at(allowanceKey.plan).value.qualityTarget);
    }
    // A cheap version that is used as a rated step of a cascade may be below the plan's target. It is held to the
    // quality that the operator assumed of it.
    const auto* version = config::findItem(lists.versions, key.version);
    return version ? std::min(target, version->value.assumedQuality) : target;
}

void QualityService::recordRating(const quality::RatingKey& key, bool good)
{
    m_metrics.count(good ? "ratings_good" : "ratings_bad");
    {
        absl::MutexLock lock(&m_mutex);
        quality::RatingsEntry& entry = m_unwrittenRatings[key];
        entry.key = key;
        (good ? entry.good : entry.bad) += 1;
    }
    addEvidence({ .key = key, .good = good ? 1U : 0U, .bad = good ? 0U : 1U });
}

void QualityService::addEvidence(const quality::RatingsEntry& ratings)
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
    spdlog::warn("version {} suspended: its ratings for task {} fell below the target {}", name.text(),
        ratings.key.task.value(), target);
    m_metrics.count("versions_suspended");
    m_replica.writeAsync(entry);
}

void QualityService::onPeerRatings(const quality::RatingsEntry& entry)
{
    absl::MutexLock lock(&m_mutex);
    m_peerRatings.push_back(entry);
}

void QualityService::addPeerEvidence()
{
    std::vector<quality::RatingsEntry> ratings;
    {
        absl::MutexLock lock(&m_mutex);
        ratings.swap(m_peerRatings);
    }
    for (const quality::RatingsEntry& it : ratings)
        addEvidence(it);
}

void QualityService::writeRatings()
{
    std::map<quality::RatingKey, quality::RatingsEntry> entries;
    {
        absl::MutexLock lock(&m_mutex);
        entries.swap(m_unwrittenRatings);
    }
    for (const auto& [key, entry] : entries)
        m_replica.writeAsync(entry);
    // A suspension of a removed version or of an earlier revision no longer applies, so heartbeats need not carry it.
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
            spdlog::warn("version {} suspended by host {}", it.version.text(), it.host.value());
    }
}

// Keeps only one suspension of each revision of a version, whichever host it came from. Returns whether it is new.
bool QualityService::addSuspension(const quality::SuspendEntry& entry)
{
    const bool alreadySuspended
        = std::any_of(m_suspensions.begin(), m_suspensions.end(), [&](const quality::SuspendEntry& it) {
              return it.version == entry.version && it.versionRevision >= entry.versionRevision;
          });
    if (!alreadySuspended)
        m_suspensions.insert(entry);
    return !alreadySuspended;
}

nlohmann::json QualityService::dump() const
{
    nlohmann::json versions = m_replica.read([](const ReplicaState& state) { return state.fold.quality().snapshot(); });
    absl::MutexLock lock(&m_mutex);
    versions["ratings_waiting"] = m_pendingJobs.size();
    return versions;
}

}
