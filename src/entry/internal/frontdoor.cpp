#include "frontdoor.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace fireflyhaven::entry {

FrontDoor::FrontDoor(DriverContext& context, admission::ServiceQueues& waiting)
    : m_context(context)
    , m_waiting(waiting)
{
}

void FrontDoor::serve(std::shared_ptr<http::Exchange> exchange)
{
    const auto place = m_requests.emplace(m_requests.end());
    *place = std::make_unique<RequestDriver>(m_context, std::move(exchange), [this, place] {
        m_byTicket.erase((*place)->waitingTicket());
        // The driver is still in one of its own callbacks.
        boost::asio::post(m_context.loop, [this, place] { m_requests.erase(place); });
    });
    m_byTicket[(*place)->waitingTicket()] = place->get();
    (*place)->begin();
    tellShed();
}

void FrontDoor::tellShed()
{
    for (const admission::TicketId ticket : std::exchange(m_context.flows.shedTickets, {})) {
        const auto it = m_byTicket.find(ticket);
        if (it != m_byTicket.end())
            it->second->onShed();
    }
}

void FrontDoor::pump()
{
    tellShed();
    const TimePoint now = m_context.clock.now();
    for (const ServiceName& service : m_waiting.servicesWithRequests()) {
        while (const auto ticket = m_waiting.popNext(service, now)) {
            const auto it = m_byTicket.find(*ticket);
            if (it != m_byTicket.end() && !it->second->onTurn())
                break;
        }
    }
}

}
