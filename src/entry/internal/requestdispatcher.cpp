#include "requestdispatcher.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace fireflyhaven::entry {

RequestDispatcher::RequestDispatcher(DriverContext& context, admission::ServiceQueues& serviceQueues)
    : m_context(context)
    , m_serviceQueues(serviceQueues)
{
}

void RequestDispatcher::serve(std::shared_ptr<http::Exchange> exchange)
{
    const auto slot = m_requests.emplace(m_requests.end());
    *slot = std::make_unique<RequestDriver>(m_context, std::move(exchange), [this, slot] {
        m_byTicket.erase((*slot)->waitingTicket());
        // Deferred, because the driver is still executing one of its own callbacks.
        boost::asio::post(m_context.loop, [this, slot, alive = std::weak_ptr(m_alive)] {
            if (alive.lock())
                m_requests.erase(slot);
        });
        scheduleDispatch();
    });
    m_byTicket[(*slot)->waitingTicket()] = slot->get();
    (*slot)->begin();
    notifyShed();
}

void RequestDispatcher::notifyShed()
{
    for (const admission::TicketId ticket : std::exchange(m_context.flowContext.shedTickets, {})) {
        const auto it = m_byTicket.find(ticket);
        if (it != m_byTicket.end())
            it->second->onShed();
    }
}

void RequestDispatcher::onPermitDecision(admission::TicketId request, const ratelimit::PermitDecision& decision)
{
    const auto it = m_byTicket.find(request);
    if (it != m_byTicket.end())
        it->second->onPermitDecision(decision);
}

void RequestDispatcher::onCatalogLoaded()
{
    std::vector<RequestDriver*> waiting;
    for (const auto& it : m_requests)
        waiting.push_back(it.get());
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const RequestDriver* a, const RequestDriver* b) { return a->priority() < b->priority(); });
    for (RequestDriver* it : waiting)
        it->onCatalogLoaded();
}

void RequestDispatcher::endAll()
{
    for (const auto& it : m_requests)
        it->onHostStops();
}

void RequestDispatcher::scheduleDispatch()
{
    if (m_dispatchScheduled || m_serviceQueues.size() == 0)
        return;
    m_dispatchScheduled = true;
    boost::asio::post(m_context.loop, [this, alive = std::weak_ptr(m_alive)] {
        if (alive.lock())
            dispatchQueued();
    });
}

void RequestDispatcher::dispatchQueued()
{
    m_dispatchScheduled = false;
    notifyShed();
    const TimePoint now = m_context.clock.now();
    for (const ServiceName& service : m_serviceQueues.servicesWithRequests()) {
        while (const auto ticket = m_serviceQueues.popNext(service, now)) {
            const auto it = m_byTicket.find(*ticket);
            if (it != m_byTicket.end() && !it->second->onDequeued())
                break;
        }
    }
}

}
