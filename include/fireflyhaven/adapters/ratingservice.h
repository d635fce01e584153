#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/quality/types/entries.h"

#include <set>

namespace fireflyhaven::adapters {

// The platform's service that rates answers; rate-limited.
class IRatingService {
public:
    virtual ~IRatingService() = default;
    // Whether the answer is good. Fails with Unavailable where the service is down or over its rate.
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

// Reads the platform's lagging list of live and leaving hosts.
Result<std::set<HostId>> readHostList(const std::string& address);

}
