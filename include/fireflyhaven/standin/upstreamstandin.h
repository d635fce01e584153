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

// Behaviour of an upstream stand-in. POST /fault changes the members in its JSON body.
struct UpstreamBehaviour {
    bool down = false;
    // While cold, the upstream rejects requests above the cold limit. If this is false, such a request also restarts
    // the upstream.
    bool refusesWhenCold = false;
    // Puts the upstream into a cold start, which ends after `warmAfter` finished requests.
    bool cold = false;
    int warmAfter = 50;
    double prefillMsPerToken = 0.05;
    int firstTokenMs = 20;
    int tokenMs = 2;
    int reportLagMs = 500;
    // Cuts the next `cutStreams` streams after `cutAfter` pieces; 0 for never. `cutStreams` counts down.
    int cutAfter = 0;
    int cutStreams = 0;
    // Answer pieces carry the id of another request.
    bool crossed = false;
    // Version named in the last event instead of the requested one; empty for the requested one.
    std::string wrongVersion;
    // Accepts orders with a fence below the highest one received.
    bool ignoresFence = false;
    // Share of bad answers, by "model@version".
    std::map<std::string, double> badShare;
    // Error status that each chat request is answered with after it has run; 0 for none.
    int failStatus = 0;
    // Number of service answers to delay past the caller's timeout after the call took effect.
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
    // Peak of requests in flight while cold, rejected ones included.
    int mostWhileCold = 0;
    // Number of requests above the cold limit while cold.
    std::uint64_t overloads = 0;
    std::uint64_t restarts = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t ordersRefused = 0;
    std::map<std::string, std::uint64_t> byVersion;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(UpstreamStats, requests, refused, inFlight, mostInFlight, mostWhileCold, overloads,
        restarts, cacheHits, ordersAccepted, ordersRefused, byVersion)
};

// Simulates a model engine or a plain service at one address for tests.
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
    // Returns false if the upstream is cold and the request is above the cold limit; the upstream then rejects it, and
    // may also restart.
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
    std::deque<LoadSample> m_loadSamples ABSL_GUARDED_BY(m_mutex);
    std::deque<std::uint64_t> m_prefixCache ABSL_GUARDED_BY(m_mutex);
    int m_answeredWhileCold ABSL_GUARDED_BY(m_mutex) = 0;
    // Incremented when an overload restarts the upstream; streams of earlier generations are cut.
    std::uint64_t m_generation ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_highestFence ABSL_GUARDED_BY(m_mutex) = 0;
    std::map<std::string, int> m_callsByKey ABSL_GUARDED_BY(m_mutex);
    std::mt19937_64 m_random ABSL_GUARDED_BY(m_mutex);
};

}
