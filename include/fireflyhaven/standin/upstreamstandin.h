#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/config/types/lists.h"
#include "fireflyhaven/http/types/message.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <memory>
#include <random>

namespace fireflyhaven::standin {

// How an upstream stand-in behaves; changed as JSON by POST /fault.
struct UpstreamBehaviour {
    bool down = false;
    // Answers "503 cold" instead of falling over when it has more in flight than it bears.
    bool refusesWhenCold = false;
    // Puts the upstream into cold start until it has answered `warmAfter` requests.
    bool cold = false;
    int warmAfter = 50;
    double prefillMsPerToken = 0.05;
    int firstTokenMs = 20;
    int tokenMs = 2;
    int reportLagMs = 500;
    // Cuts each stream after this many pieces; 0 for never. Counts down in `cutStreams`.
    int cutAfter = 0;
    int cutStreams = 0;
    // Pieces carry another request's id.
    bool crossed = false;
    // Answers under another version's name.
    std::string wrongVersion;
    bool ignoresFence = false;
    // Share of answers that are bad, by "model@version".
    std::map<std::string, double> badShare;
    // Runs each chat request and answers with this error status; 0 for never.
    int failStatus = 0;
    // Service answers to lose after the call took effect.
    int loseAnswers = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(UpstreamBehaviour, down, refusesWhenCold, cold, warmAfter,
        prefillMsPerToken, firstTokenMs, tokenMs, reportLagMs, cutAfter, cutStreams, crossed, wrongVersion,
        ignoresFence, badShare, failStatus, loseAnswers)
};

struct UpstreamStats {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    int inFlight = 0;
    int mostInFlight = 0;
    // Most requests in flight while cold, and how often that was more than the upstream bears.
    int mostWhileCold = 0;
    std::uint64_t overloads = 0;
    std::uint64_t restarts = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t ordersRefused = 0;
    std::map<std::string, std::uint64_t> byVersion;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamStats, requests, refused, inFlight, mostInFlight, mostWhileCold, overloads,
        restarts, cacheHits, ordersAccepted, ordersRefused, byVersion)
};

// Stands in for a model engine or a plain service at one address.
class UpstreamStandin {
public:
    UpstreamStandin(std::string id, config::Upstream upstream, const IClock& clock);

    http::Response handle(const http::Request& request);

private:
    class AnswerStream;

    struct LoadSample {
        TimePoint at;
        int running = 0;
    };

    http::Response complete(const http::Request& request);
    http::Response callService(const http::Request& request);
    http::Response load();
    http::Response order(const http::Request& request);
    // False where the upstream refuses or falls over.
    bool begin(const std::string& version, const std::string& prompt, bool& cacheHit);
    void finish();
    void sampleLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    UpstreamBehaviour behaviour();
    bool isBadAnswer(const std::string& version);

    const std::string m_id;
    const config::Upstream m_upstream;
    const IClock& m_clock;
    absl::Mutex m_mutex;
    UpstreamBehaviour m_behaviour ABSL_GUARDED_BY(m_mutex);
    UpstreamStats m_stats ABSL_GUARDED_BY(m_mutex);
    std::deque<LoadSample> m_samples ABSL_GUARDED_BY(m_mutex);
    std::deque<std::uint64_t> m_prefixCache ABSL_GUARDED_BY(m_mutex);
    int m_answeredCold ABSL_GUARDED_BY(m_mutex) = 0;
    // Streams begun before a restart are cut.
    std::uint64_t m_generation ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_highestFence ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::string, int> m_calls ABSL_GUARDED_BY(m_mutex);
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
};

}
