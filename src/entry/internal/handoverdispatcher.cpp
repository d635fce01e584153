#include "handoverdispatcher.h"

#include "fireflyhaven/common/hash.h"
#include "fireflyhaven/http/types/status.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace fireflyhaven::entry {

namespace {

constexpr std::size_t MAX_OPEN_HANDOVERS = 400;

}

std::optional<http::Endpoint> handoverAddress(const EntrySettings& settings, const std::string& ip)
{
    if (settings.lastPeerPort <= settings.firstPeerPort)
        return std::nullopt;
    return http::Endpoint { .ip = ip, .port = static_cast<std::uint16_t>(settings.firstPeerPort + 1) };
}

bool HandoverDispatcher::isInOwnRegion(const DataCentreId& dataCentre) const
{
    const EntrySettings& settings = m_context.settings;
    const auto region = settings.regions.find(dataCentre);
    return dataCentre == settings.dataCentre || (region != settings.regions.end() && region->second == settings.region);
}

std::vector<http::Endpoint> HandoverDispatcher::targets(TimePoint now) const
{
    struct Target {
        bool remote = false;
        std::uint64_t order = 0;
        http::Endpoint address;
    };
    std::vector<Target> found;
    for (const fleet::KnownHost* it : m_context.hosts.live(now)) {
        const auto address = handoverAddress(m_context.settings, it->peerAddress.ip);
        if (!address || !it->report.acceptsRequests || !isInOwnRegion(it->report.dataCentre))
            continue;
        found.push_back({ .remote = it->report.dataCentre != m_context.settings.dataCentre,
            .order = stableHash(it->peerAddress.ip, m_served),
            .address = *address });
    }
    std::sort(found.begin(), found.end(),
        [](const Target& a, const Target& b) { return std::pair(a.remote, a.order) < std::pair(b.remote, b.order); });
    std::vector<http::Endpoint> addresses;
    addresses.reserve(found.size());
    for (const Target& it : found)
        addresses.push_back(it.address);
    return addresses;
}

bool HandoverDispatcher::canTake(TimePoint now) const
{
    return m_drivers.size() < MAX_OPEN_HANDOVERS && !targets(now).empty();
}

void HandoverDispatcher::endAll()
{
    for (const auto& it : m_drivers)
        it->end(STATUS_BAD_GATEWAY);
}

void HandoverDispatcher::serve(std::shared_ptr<http::Exchange> exchange)
{
    m_context.metrics.count("requests_handed_over");
    ++m_served;
    const auto slot = m_drivers.emplace(m_drivers.end());
    *slot = std::make_unique<HandoverDriver>(
        m_context.handover, std::move(exchange), targets(m_context.handover.clock.now()), [this, slot] {
            // Deferred, because the driver is still executing one of its own callbacks.
            boost::asio::post(m_context.handover.loop, [this, slot, alive = std::weak_ptr(m_alive)] {
                if (alive.lock())
                    m_drivers.erase(slot);
            });
        });
    (*slot)->begin();
}

}
