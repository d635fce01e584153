#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/adapters/types/log.h"

#include <concepts>

namespace fireflyhaven::adapters {

// Streams of the platform's log that the system uses.
constexpr const char* CONTROL_STREAM = "control";
constexpr const char* BILLS_STREAM = "bills";

// One stream of the platform's append-only log.
class ILogService {
public:
    virtual ~ILogService() = default;
    // A failure does not tell whether the record was appended.
    virtual Result<Offset> append(const std::string& text) = 0;
    // Returns records from `from` on, at most `most`; waits up to `wait` for the first.
    virtual Result<LogPage> read(Offset from, std::size_t most, Duration wait) = 0;
};

// Speaks the log's HTTP interface.
class HttpLogService final : public ILogService {
public:
    // `address` is "IP:port".
    HttpLogService(const std::string& address, const std::string& stream);
    Result<Offset> append(const std::string& text) override;
    Result<LogPage> read(Offset from, std::size_t most, Duration wait) override;

private:
    std::string m_base;
};

}
