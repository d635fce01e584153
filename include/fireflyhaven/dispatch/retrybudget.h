#pragma once

#include "fireflyhaven/common/clock.h"

#include <algorithm>
#include <deque>
#include <random>

namespace fireflyhaven::dispatch {

// Sends beyond the first of each request that all hosts together may make: a part of the requests within the window,
// and a number beyond it.
struct RetryBound {
    double ratio = 0;
    double slack = 0;
    Duration window {};
};

struct RetryOptions {
    // Retries in a window per request in it.
    double ratio = 0.1;
    // Retries in a window beyond that.
    double slack = 10;
    Duration window { 10'000 };
    int maxAttempts = 3;
    Duration firstBackoff { 20 };
    Duration longestBackoff { 1000 };
};

// Bounds the retries in any window of time to a share of the requests in it, so that failing upstreams do not turn into
// a storm of retries. What the requests of a window allow may all be used at one moment of it: upstreams fail together.
class RetryBudget {
public:
    explicit RetryBudget(RetryOptions options);
    void setOptions(const RetryOptions& options) { m_options = options; }

    void onRequest(TimePoint now);
    // Takes a retry from the budget where one is left.
    bool take(int attemptsMade, TimePoint now);

private:
    void expire(TimePoint now);

    RetryOptions m_options;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

// Exponential backoff with full jitter.
template <typename Random> Duration backoffDelay(const RetryOptions& options, int attemptsMade, Random& random)
{
    const Duration grown = options.firstBackoff * (1LL << std::min(attemptsMade, 16));
    const Duration longest = std::min(options.longestBackoff, grown);
    std::uniform_int_distribution<Duration::rep> jitter(0, longest.count());
    return Duration(jitter(random));
}

// How an attempt at a request ended without an answer.
enum class AttemptEnd {
    // The upstream has certainly not started it.
    NotRun,
    // It may be running or may have run.
    Unknown,
    // It was started and has been cancelled, and the cancel was confirmed.
    Cancelled,
};

// Whether another attempt may follow: never for an attempt of unknown outcome of a call that may not be repeated.
bool mayAttemptAgain(AttemptEnd end, bool repeatable);

// The part of the bound that one of so many hosts may use, so that the sum holds without a word between them.
RetryOptions shareOfRetries(const RetryBound& bound, int hosts);

}
