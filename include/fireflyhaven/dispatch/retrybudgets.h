#pragma once

#include "fireflyhaven/common/types/ids.h"
#include "fireflyhaven/dispatch/retrybudget.h"

#include <map>

namespace fireflyhaven::dispatch {

// A retry budget for each service. The bound over all hosts is a ratio, so that it holds for the sum where each host
// keeps it for its own requests.
class RetryBudgets {
public:
    explicit RetryBudgets(RetryOptions options)
        : m_options(options)
    {
    }

    // Holds for services that appear from now on, and for the others from their next request on.
    void setOptions(const RetryOptions& options)
    {
        m_options = options;
        for (auto& [service, it] : m_budgets)
            it.setOptions(options);
    }

    void onRequest(const ServiceName& service, TimePoint now) { budget(service).onRequest(now); }
    // Takes a send beyond the request's first one, where the budget allows it.
    bool take(const ServiceName& service, int sendsMade, TimePoint now) { return budget(service).take(sendsMade, now); }

private:
    RetryBudget& budget(const ServiceName& service) { return m_budgets.try_emplace(service, m_options).first->second; }

    RetryOptions m_options;
    std::map<ServiceName, RetryBudget> m_budgets;
};

}
