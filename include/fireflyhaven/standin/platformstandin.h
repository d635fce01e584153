#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/http/types/message.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <deque>

namespace fireflyhaven::standin {

// Faults that the platform stand-in injects. POST /fault replaces all of them with its JSON body.
struct Faults {
    bool down = false;
    int slowMs = 0;
    // Number of appends to answer with an error, after storing the record (`loseAnswers`) or without storing it
    // (`loseAppends`).
    int loseAnswers = 0;
    int loseAppends = 0;
    // Maximum ratings per second; 0 for no limit.
    int ratingsPerSecond = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(Faults, down, slowMs, loseAnswers, loseAppends, ratingsPerSecond)
};

// Simulates the platform for tests: log streams, list of hosts and rating service. Implements the HTTP interface that
// the clients in src/adapters use.
class PlatformStandin {
public:
    PlatformStandin(std::size_t retention, const IClock& clock);

    http::Response handle(const http::Request& request);

private:
    struct Stream {
        std::uint64_t first = 1;
        std::deque<std::string> records;
        std::uint64_t next() const { return first + records.size(); }
    };

    http::Response handleLog(const http::Request& request);
    http::Response append(const std::string& stream, const std::string& text);
    http::Response read(const std::string& stream, const http::Request& request);
    http::Response handleHosts(const http::Request& request);
    http::Response rate(const http::Request& request);

    const std::size_t m_retention;
    const IClock& m_clock;
    absl::Mutex m_mutex;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Stream> m_streams ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::string> m_hosts ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_appends ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_ratings ABSL_GUARDED_BY(m_mutex) = 0;
    TimePoint m_ratingWindowStart ABSL_GUARDED_BY(m_mutex) {};
    int m_ratingsInWindow ABSL_GUARDED_BY(m_mutex) = 0;
};

}
