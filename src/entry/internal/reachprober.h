#pragma once

#include "fireflyhaven/balancing/upstreamreach.h"
#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/http/eventclient.h"

#include <functional>

namespace fireflyhaven::entry {

// Opens the probe connections that decide whether this host is cut off from the upstreams.
class ReachProber {
public:
    struct Context {
        const IClock& clock;
        const catalog::Catalog& catalog;
        http::EventClient& client;
        balancing::UpstreamReach& reach;
        // Called when the host finds itself cut off, and when it reaches upstreams again.
        std::function<void(bool cutOff)> onChanged;
    };
    explicit ReachProber(Context context)
        : m_context(std::move(context))
    {
    }

    void tick(TimePoint now);

private:
    // Ready upstreams, those probed longest ago first, of as many data centres as possible.
    std::vector<catalog::Upstream> choose(std::size_t n, TimePoint now) const;

    const Context m_context;
    std::uint64_t m_rounds = 0;
};

}
