#pragma once

#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/dispatch/retrybudget.h"

#include <map>

namespace fireflyhaven::dispatch {

// One retry budget per service. The bound is a ratio of requests, so it holds over all hosts if each host keeps it for
// its own requests.
class RetryBudgets {
public:
    explicit RetryBudgets(RetryOptions options)
        : m_options(options)
    {
    }

    // Applies to existing budgets from their next use on, and to the budgets of services that are added later.
    void setOptions(const RetryOptions& options)
    {
        m_options = options;
        for (auto& [service, it] : m_budgets)
            it.setOptions(options);
    }

    void onRequest(const ServiceName& service, TimePoint now) { budget(service).onRequest(now); }
    // Takes one send beyond the first of a request from the service's budget; false if none is left.
    bool tryAcquire(const ServiceName& service, int sendsMade, TimePoint now)
    {
        return budget(service).tryAcquire(sendsMade, now);
    }

private:
    RetryBudget& budget(const ServiceName& service) { return m_budgets.try_emplace(service, m_options).first->second; }

    RetryOptions m_options;
    std::map<ServiceName, RetryBudget> m_budgets;
};

}
