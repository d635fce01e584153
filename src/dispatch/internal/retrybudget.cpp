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

bool RetryBudget::take(int attemptsMade, TimePoint now)
{
    expire(now);
    const double allowed = m_options.ratio * static_cast<double>(m_requests.size()) + m_options.slack;
    if (attemptsMade >= m_options.maxAttempts || static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

bool mayAttemptAgain(AttemptEnd end, bool repeatable) { return end == AttemptEnd::NotRun || repeatable; }

RetryOptions shareOfRetries(const RetryBound& bound, int hosts)
{
    // What is left over covers hosts that come and go within the window.
    constexpr double USED_RATIO = 0.85;
    constexpr double USED_SLACK = 0.4;
    // A few hosts more than are known do no harm.
    constexpr int LEAST_HOSTS = 8;
    constexpr int NO_LIMIT_BY_REQUEST = 100;
    return { .ratio = bound.ratio * USED_RATIO,
        .slack = bound.slack * USED_SLACK / std::max(LEAST_HOSTS, hosts),
        .window = bound.window,
        .maxAttempts = NO_LIMIT_BY_REQUEST };
}

}
