#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

namespace fireflyhaven::balancing {

// What upstreams have asked of this host in their answers: to send nothing more because they leave, or nothing for a
// while. A notice binds one life of an upstream, named by the moment of its start, and survives gaps in the upstream's
// registration. Does no I/O.
class UpstreamNotices {
public:
    // The upstream leaves; it may be sent nothing more in this life.
    void onLeaving(const UpstreamId& upstream, std::int64_t bornMs, TimePoint now);
    // The upstream wants nothing until then.
    void onBackoff(const UpstreamId& upstream, std::int64_t bornMs, TimePoint until, TimePoint now);

    bool isLeaving(const UpstreamId& upstream, std::int64_t bornMs) const;
    // Whether the upstream wants nothing at that time.
    bool isBackedOff(const UpstreamId& upstream, std::int64_t bornMs, TimePoint at) const;
    // Forgets notices that nothing was heard of for long.
    void expire(TimePoint now);
    std::size_t size() const { return m_notices.size(); }

private:
    struct Notice {
        std::int64_t bornMs = 0;
        bool leaving = false;
        TimePoint backedOffUntil {};
        TimePoint heardAt {};
    };

    // The notice of this life; no value where a later life has given one.
    Notice* noticeOf(const UpstreamId& upstream, std::int64_t bornMs, TimePoint now);
    const Notice* find(const UpstreamId& upstream, std::int64_t bornMs) const;

    absl::flat_hash_map<UpstreamId, Notice> m_notices;
};

}
