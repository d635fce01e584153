#pragma once

#include <chrono>

namespace fireflyhaven {

using Duration = std::chrono::milliseconds;
// Monotonic time. Its epoch differs between machines, so time points are never compared across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Wall-clock time in milliseconds since the Unix epoch. Used only where a time leaves the process, such as the expiry
// time in a session handle.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Clock interface, so that tests can replace the system clocks.
class IClock {
public:
    virtual ~IClock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

class SystemClock final : public IClock {
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

// Clock for tests and simulations: starts at zero and changes only in `advance`.
class VirtualClock final : public IClock {
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return WallTime(m_now.time_since_epoch()); }
    void advance(Duration step) { m_now += step; }

private:
    TimePoint m_now {};
};

}
