#pragma once

#include "requestdriver.h"

#include <list>
#include <map>

namespace fireflyhaven::entry {

// Takes callers' requests and carries each through its flow.
class FrontDoor {
public:
    FrontDoor(DriverContext& context, admission::ServiceQueues& waiting);
    FrontDoor(const FrontDoor&) = delete;
    FrontDoor& operator=(const FrontDoor&) = delete;

    void serve(std::shared_ptr<http::Exchange> exchange);
    // Lets waiting requests take their turn.
    void pump();
    std::size_t openRequests() const { return m_requests.size(); }

private:
    void tellShed();

    using Requests = std::list<std::unique_ptr<RequestDriver>>;

    DriverContext& m_context;
    admission::ServiceQueues& m_waiting;
    Requests m_requests;
    std::map<admission::TicketId, RequestDriver*> m_byTicket;
};

}
