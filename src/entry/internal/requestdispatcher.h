#pragma once

#include "requestdriver.h"

#include <list>
#include <map>

namespace fireflyhaven::entry {

// Owns the drivers of all open requests, and sends queued requests once upstreams have capacity.
class RequestDispatcher {
public:
    RequestDispatcher(DriverContext& context, admission::ServiceQueues& serviceQueues);
    RequestDispatcher(const RequestDispatcher&) = delete;
    RequestDispatcher& operator=(const RequestDispatcher&) = delete;

    void serve(std::shared_ptr<http::Exchange> exchange);
    // Sends as many queued requests as the upstreams can take now.
    void dispatchQueued();
    // Delivers the decision on a request's permit.
    void onPermitDecision(admission::TicketId request, const ratelimit::PermitDecision& decision);
    // Starts the requests that arrived before this host had loaded the configuration and the upstreams, the most urgent
    // first.
    void onCatalogLoaded();
    // Answers all open requests, because the process exits.
    void endAll();
    std::size_t openRequests() const { return m_requests.size(); }

private:
    void notifyShed();
    // Sends queued requests soon, because an upstream may have become free.
    void scheduleDispatch();

    using Requests = std::list<std::unique_ptr<RequestDriver>>;

    DriverContext& m_context;
    admission::ServiceQueues& m_serviceQueues;
    Requests m_requests;
    std::map<admission::TicketId, RequestDriver*> m_byTicket;
    bool m_dispatchScheduled = false;
    // Expires with the dispatcher, for handlers that the event loop runs later.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
