#include "fireflyhaven/dispatch/retrybudget.h"

#include <algorithm>

namespace fireflyhaven::dispatch {

RetryBudget::RetryBudget(RetryOptions options)
    : m_options(options)
{
}

void RetryBudget::expire(TimePoint now)
{
    for (std::deque<TimePoint>* times : { &m_requests, &m_retries }) {
        while (!times->empty() && now - times->front() >= m_options.window)
            times->pop_front();
    }
}

void RetryBudget::onRequest(TimePoint now)
{
    expire(now);
    m_requests.push_back(now);
}

bool RetryBudget::tryAcquire(int attemptsMade, TimePoint now)
{
    expire(now);
    const double allowed = m_options.ratio * static_cast<double>(m_requests.size()) + m_options.slack;
    if (attemptsMade >= m_options.maxAttempts || static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

bool isRetryAllowed(AttemptEnd end, bool repeatable) { return end == AttemptEnd::NotRun || repeatable; }

RetryOptions retryOptionsPerHost(const RetryBound& bound, int hosts)
{
    // Hosts use only these fractions of the bound; the rest covers hosts that join and leave within the window.
    constexpr double RATIO_FRACTION = 0.85;
    constexpr double SLACK_FRACTION = 0.4;
    // The slack is divided among at least this many hosts, so that a few unknown hosts do not exceed the bound.
    constexpr int MIN_HOSTS = 8;
    // High enough that the budget of the window is the effective limit.
    constexpr int MAX_ATTEMPTS_PER_REQUEST = 100;
    return { .ratio = bound.ratio * RATIO_FRACTION,
        .slack = bound.slack * SLACK_FRACTION / std::max(MIN_HOSTS, hosts),
        .window = bound.window,
        .maxAttempts = MAX_ATTEMPTS_PER_REQUEST };
}

}
