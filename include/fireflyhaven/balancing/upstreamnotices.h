#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace fireflyhaven::balancing {

// Drain and backoff notices that upstreams have sent to this host with their answers. A notice applies to one
// incarnation of an upstream, identified by its start time in Unix milliseconds, and outlives gaps in the upstream's
// registration. Does no I/O.
class UpstreamNotices {
public:
    // The upstream drains; nothing more may be sent to this incarnation.
    void onDraining(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint now);
    // The upstream accepts no requests before `until`.
    void onBackoff(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint until, TimePoint now);

    bool isDraining(const UpstreamId& upstream, std::int64_t startedAtMs) const;
    bool isBackedOff(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint at) const;
    // Drops notices whose backoff has elapsed and that were not renewed within the retention period.
    void expire(TimePoint now);
    std::size_t size() const { return m_notices.size(); }

private:
    struct Notice {
        std::int64_t startedAtMs = 0;
        bool draining = false;
        TimePoint backedOffUntil {};
        TimePoint receivedAt {};
    };

    // Finds or creates the notice of this incarnation; null where one of a later incarnation is stored.
    Notice* noticeFor(const UpstreamId& upstream, std::int64_t startedAtMs, TimePoint now);
    const Notice* find(const UpstreamId& upstream, std::int64_t startedAtMs) const;

    absl::flat_hash_map<UpstreamId, Notice> m_notices;
};

}
