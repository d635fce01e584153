#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace fireflyhaven::rollout {

// Version that an active session uses during a roll-out.
enum class SessionSide { OldVersion, NewVersion };

// Active sessions of this host and of the other hosts, which report theirs. Does no I/O.
class SessionTable {
public:
    // A session is active until `idleTimeout` after its last use.
    explicit SessionTable(Duration idleTimeout)
        : m_idleTimeout(idleTimeout)
    {
    }
    void setIdleTimeout(Duration idleTimeout) { m_idleTimeout = idleTimeout; }

    void onUsed(std::uint64_t session, SessionSide side, TimePoint now);
    // No value for an inactive session.
    std::optional<SessionSide> sideOf(std::uint64_t session, TimePoint now) const;
    // Adds the active sessions for which `isIncluded` returns true to the report, up to a fixed number per report.
    // `localOnly` leaves out sessions that were last used on other hosts.
    void fillReport(fleet::HostReport& report, const std::function<bool(std::uint64_t, SessionSide)>& isIncluded,
        bool localOnly, TimePoint now) const;
    void onReport(const fleet::HostReport& report, TimePoint now);
    void expire(TimePoint now);

private:
    struct Entry {
        TimePoint lastUsedAt {};
        SessionSide side = SessionSide::OldVersion;
        bool usedLocally = false;
    };

    Duration m_idleTimeout;
    absl::flat_hash_map<std::uint64_t, Entry> m_sessions;
};

}
