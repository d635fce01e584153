#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/entry/ilimitlink.h"
#include "fireflyhaven/fleet/limitexchange.h"
#include "fireflyhaven/ratelimit/permitissuer.h"
#include "fireflyhaven/telemetry/metrics.h"

#include <functional>
#include <map>

namespace fireflyhaven::entry {

// Obtains permits for this host's requests from the issuers of the upstreams' permits, issues those of the upstreams
// that this host is the issuer of, and keeps the table of limits in step with the other hosts. Does no I/O.
class LimitLink final : public ILimitLink, public fleet::ILimitDelegate {
public:
    struct Context {
        const IClock& clock;
        const catalog::Catalog& catalog;
        ratelimit::LimitTable& limits;
        std::function<const fleet::LimitExchange&()> exchange;
        telemetry::Metrics& metrics;
        std::function<void(const std::vector<fleet::Datagram>&)> send;
        // Delivers the decision on a request's permit, after the present call has returned.
        std::function<void(admission::TicketId, const ratelimit::PermitDecision&)> deliver;
    };
    explicit LimitLink(Context context);
    LimitLink(const LimitLink&) = delete;
    LimitLink& operator=(const LimitLink&) = delete;

    void requestPermit(admission::TicketId request, const balancing::PermitNeed& need) override;
    void announceLimits() override;
    void tick(TimePoint now);

    std::vector<fleet::UpstreamLimit> limitNotices(fleet::NoticeScope scope, TimePoint now) const override;
    void onLimitNotice(const fleet::UpstreamLimit& notice, const DataCentreId& from, TimePoint now) override;
    fleet::PermitReply onPermitRequest(const fleet::PermitRequest& request, TimePoint now) override;
    void onPermitReply(const fleet::PermitReply& reply, TimePoint now) override;

private:
    struct OpenRequest {
        admission::TicketId request;
        TimePoint askedAt {};
    };

    ratelimit::PermitDecision decide(const ratelimit::UpstreamIncarnation& upstream, Duration maxWait, TimePoint now);
    void deliver(admission::TicketId request, const ratelimit::PermitDecision& decision);
    // The host that issues the permits of the upstream now.
    const HostId& issuerOf(fleet::ShortHash upstream, TimePoint now);
    bool isIssuerOf(fleet::ShortHash upstream, TimePoint now);
    // Takes over which hosts issue permits.
    void updateIssuers(TimePoint now);

    const Context m_context;
    ratelimit::PermitIssuer m_issuer;
    std::vector<HostId> m_issuers;
    TimePoint m_issuersUpdatedAt {};
    // Requests for permits that other hosts have not answered, by number.
    std::map<std::uint32_t, OpenRequest> m_openRequests;
    std::uint32_t m_lastNumber = 0;
};

}
