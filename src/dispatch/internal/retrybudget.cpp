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

}
