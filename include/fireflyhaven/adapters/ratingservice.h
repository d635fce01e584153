#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/quality/types/entries.h"

#include <set>

namespace fireflyhaven::adapters {

// The platform's rate-limited service that rates answers.
class IRatingService {
public:
    virtual ~IRatingService() = default;
    // Returns whether the answer is good. Fails with Unavailable if the service is down or its rate limit is reached,
    // and with Timeout if it does not answer in time.
    virtual Result<bool> rate(const quality::RatingKey& key, const std::string& prompt, const std::string& answer) = 0;
};

class HttpRatingService final : public IRatingService {
public:
    HttpRatingService(const std::string& address, Duration timeout);
    Result<bool> rate(const quality::RatingKey& key, const std::string& prompt, const std::string& answer) override;

private:
    std::string m_base;
    Duration m_timeout;
};

// Reads the platform's list of live and leaving hosts, which lags behind their actual state.
Result<std::set<HostId>> readHostList(const std::string& address);

}
