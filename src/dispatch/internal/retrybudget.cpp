#include "fireflyhaven/dispatch/retrybudget.h"

#include <algorithm>

namespace fireflyhaven::dispatch {

RetryBudget::RetryBudget(RetryOptions options)
    : m_options(options)
    , m_tokens(options.burst)
{
}

void RetryBudget::onRequest() { m_tokens = std::min(m_options.burst, m_tokens + m_options.ratio); }

bool RetryBudget::take(int attemptsMade)
{
    if (attemptsMade >= m_options.maxAttempts || m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool mayAttemptAgain(AttemptEnd end, bool repeatable) { return end == AttemptEnd::NotRun || repeatable; }

}
