#pragma once

#include "fireflyhaven/fleet/noticeroutes.h"
#include "fireflyhaven/fleet/types/limitmessages.h"

namespace fireflyhaven::fleet {

// Supplies this host's knowledge of request limits, and receives what other hosts send of limits and permits.
class ILimitDelegate {
public:
    virtual ~ILimitDelegate() = default;
    virtual std::vector<UpstreamLimit> limitNotices(NoticeScope scope, TimePoint now) const = 0;
    virtual void onLimitNotice(const UpstreamLimit& notice, const DataCentreId& from, TimePoint now) = 0;
    // Decides on a permit that another host asks for.
    virtual PermitReply onPermitRequest(const PermitRequest& request, TimePoint now) = 0;
    virtual void onPermitReply(const PermitReply& reply, TimePoint now) = 0;
};

// Carries request limits of upstreams to all hosts, along the paths of the report exchange, and permits between the
// hosts and the issuers of permits. An upstream's issuer is one host: the first by rank of one data centre, which is
// chosen by the upstream's hash. Does no I/O; the caller sends the returned datagrams.
class LimitExchange {
public:
    LimitExchange(const Exchange& exchange, ILimitDelegate& delegate);

    // Runs one report interval.
    std::vector<Datagram> tick(TimePoint now);
    // Returns the notices ahead of the next tick, for changes that should not wait for it.
    std::vector<Datagram> sendNotices(TimePoint now) const;
    // Returns the replies to send; no value if the datagram is of another kind or malformed.
    std::optional<std::vector<Datagram>> onDatagram(
        const std::string& bytes, const http::Endpoint& from, TimePoint now) const;

    const HostId& self() const { return m_exchange.hosts().self(); }
    const DataCentreId& ownDataCentre() const { return m_exchange.hosts().ownDataCentre(); }
    // The hosts that issue permits: the first by rank of each data centre.
    std::vector<HostId> issuers(TimePoint now) const;
    // The one of these hosts that issues the permits of this upstream.
    static const HostId& issuerOf(ShortHash upstream, const std::vector<HostId>& issuers);
    // Addresses the request to the issuer; no value if the issuer is not another known host.
    std::optional<Datagram> permitRequest(const HostId& issuer, const PermitRequest& request) const;

private:
    const Exchange& m_exchange;
    const NoticeRoutes m_routes;
    ILimitDelegate& m_delegate;
    std::uint32_t m_ticks = 0;
};

}
