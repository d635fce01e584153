#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace fireflyhaven::rollout {

// Which side of a roll-out a session at work is on.
enum class SessionSide { OldVersion, NewVersion };

// Sessions that were at work lately, on this host or on another one that told of them. Does no I/O.
class SessionTable {
public:
    // A session is at work until this time after its last request ended.
    explicit SessionTable(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }

    void onUsed(std::uint64_t session, SessionSide side, TimePoint now);
    // No value where the session is not at work.
    std::optional<SessionSide> sideOf(std::uint64_t session, TimePoint now) const;
    // Adds the sessions that `isTold` picks to a report; those that other hosts told of too, unless `ownOnly`.
    void fillReport(fleet::HostReport& report, const std::function<bool(std::uint64_t, SessionSide)>& isTold,
        bool ownOnly, TimePoint now) const;
    void onReport(const fleet::HostReport& report, TimePoint now);
    void expire(TimePoint now);

private:
    struct Use {
        TimePoint at {};
        SessionSide side = SessionSide::OldVersion;
        // Used on this host.
        bool own = false;
    };

    Duration m_lifetime;
    absl::flat_hash_map<std::uint64_t, Use> m_sessions;
};

}
