#include "fireflyhaven/common/clock.h"

#include <time.h>

namespace fireflyhaven {

// CLOCK_BOOTTIME includes the time while the machine is suspended, so that leases also expire during a suspension.
TimePoint SystemClock::now() const
{
    timespec it {};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return TimePoint(
        std::chrono::duration_cast<Duration>(std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec)));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}
