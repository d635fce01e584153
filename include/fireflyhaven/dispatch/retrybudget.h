#pragma once

#include "fireflyhaven/common/clock.h"

#include <algorithm>
#include <deque>
#include <random>

namespace fireflyhaven::dispatch {

// Limit on the sends beyond the first one of each request, over all hosts together: within any window at most `ratio`
// per request, plus `slack`.
struct RetryBound {
    double ratio = 0;
    double slack = 0;
    Duration window {};
};

struct RetryOptions {
    // Retries allowed in a window per request in it.
    double ratio = 0.1;
    // Retries allowed in a window regardless of the number of requests in it.
    double slack = 10;
    Duration window { 10'000 };
    int maxAttempts = 3;
    Duration baseBackoff { 20 };
    Duration maxBackoff { 1000 };
};

// Limits the retries in a sliding window to a ratio of the requests in it, which prevents a retry storm when upstreams
// fail. The whole budget of a window may be used at one moment, because upstreams often fail together.
class RetryBudget {
public:
    explicit RetryBudget(RetryOptions options);
    void setOptions(const RetryOptions& options) { m_options = options; }

    void onRequest(TimePoint now);
    // Takes one retry from the budget; false if none is left or the request has reached `maxAttempts`.
    bool tryAcquire(int attemptsMade, TimePoint now);

private:
    void expire(TimePoint now);

    RetryOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

// Exponential backoff with full jitter.
template <typename Random> Duration backoffDelay(const RetryOptions& options, int attemptsMade, Random& random)
{
    const Duration exponential = options.baseBackoff * (1LL << std::min(attemptsMade, 16));
    const Duration upperBound = std::min(options.maxBackoff, exponential);
    std::uniform_int_distribution<Duration::rep> jitter(0, upperBound.count());
    return Duration(jitter(random));
}

// How an attempt that got no answer ended.
enum class AttemptEnd {
    // The upstream has definitely not started the attempt.
    NotRun,
    // The attempt may be running or may have run.
    Unknown,
    // The attempt was started, and the upstream confirmed its cancellation.
    Cancelled,
};

// Whether another attempt may follow. A call that is not repeatable is only retried if the attempt has not run.
bool isRetryAllowed(AttemptEnd end, bool repeatable);

// Options for each of `hosts` hosts, such that the retries of all hosts stay within the bound without coordination.
RetryOptions retryOptionsPerHost(const RetryBound& bound, int hosts);

}
