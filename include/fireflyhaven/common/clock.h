#pragma once

#include <chrono>

namespace fireflyhaven {

using Duration = std::chrono::milliseconds;
// Monotonic time of one process; never compared between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Wall-clock time in milliseconds since the Unix epoch; used only for expiry stamps that callers carry.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Source of time for everything that runs in a process.
class IClock {
public:
    virtual ~IClock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

// Reads the operating system's clocks.
class SystemClock final : public IClock {
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

// Moves only when told to; starts at zero.
class VirtualClock final : public IClock {
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return WallTime(m_now.time_since_epoch()); }
    void advance(Duration step) { m_now += step; }

private:
    TimePoint m_now {};
};

}
