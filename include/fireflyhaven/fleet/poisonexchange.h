#pragma once

#include "fireflyhaven/fleet/noticeroutes.h"
#include "fireflyhaven/fleet/types/poisonmessages.h"

namespace fireflyhaven::fleet {

// Supplies what this host knows of crashes and poison parts, and receives what other hosts know.
class IPoisonDelegate {
public:
    virtual ~IPoisonDelegate() = default;
    virtual PoisonNotices poisonNotices(NoticeScope scope, TimePoint now) const = 0;
    virtual void onPoisonNotices(const PoisonNotices& notices, NoticeSource source, TimePoint now) = 0;
};

// Carries the evidence against parts of prompts, and the verdicts, to all hosts. Does no I/O; the caller sends the
// returned datagrams.
class PoisonExchange {
public:
    PoisonExchange(const Exchange& exchange, IPoisonDelegate& delegate);

    // Runs one report interval.
    std::vector<Datagram> tick(TimePoint now);
    // Returns the notices ahead of the next tick, for news that should not wait for it.
    std::vector<Datagram> sendNotices(TimePoint now) const;
    // Returns false if the datagram is of another kind or malformed.
    bool onDatagram(const std::string& bytes, TimePoint now) const;

private:
    const Exchange& m_exchange;
    const NoticeRoutes m_routes;
    IPoisonDelegate& m_delegate;
    std::uint32_t m_ticks = 0;
};

}
