#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/result.h"
#include "fireflyhaven/adapters/types/log.h"

#include <concepts>

namespace fireflyhaven::adapters {

// Names of the log streams that hosts write and read.
constexpr const char* CONTROL_STREAM = "control";
constexpr const char* BILLS_STREAM = "bills";

// One stream of the platform's append-only log.
class ILogService {
public:
    virtual ~ILogService() = default;
    // After a failure the record may or may not have been appended.
    virtual Result<Offset> append(const std::string& text) = 0;
    // Returns up to `maxRecords` records starting at offset `from`; waits up to `wait` if there is none yet.
    virtual Result<LogPage> read(Offset from, std::size_t maxRecords, Duration wait) = 0;
};

// Client of the log's HTTP interface.
class HttpLogService final : public ILogService {
public:
    // `address` is "IP:port".
    HttpLogService(const std::string& address, const std::string& stream);
    Result<Offset> append(const std::string& text) override;
    Result<LogPage> read(Offset from, std::size_t maxRecords, Duration wait) override;

private:
    std::string m_base;
};

}
