#include "fireflyhaven/admission/servicequeues.h"

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::admission;

namespace {

const TimePoint NOW { Duration(100'000) };
const ServiceName SERVICE("s");

WaitingRequest request(std::uint64_t id, const std::string& workspace, int priority = 5, int startByMs = 5000)
{
    return { .id = TicketId(id),
        .service = SERVICE,
        .workspace = WorkspaceId(workspace),
        .priority = priority,
        .startBy = NOW + Duration(startByMs) };
}

}

Test(servicequeues, mostUrgentRequestIsServedFirst)
{
    ServiceQueues queues;
    queues.offer(request(1, "a", 2), NOW);
    queues.offer(request(2, "a", 0), NOW);
    queues.offer(request(3, "a", 1), NOW);
    cr_assert(queues.popNext(SERVICE, NOW) == TicketId(2));
    cr_assert(queues.popNext(SERVICE, NOW) == TicketId(3));
    cr_assert(queues.popNext(SERVICE, NOW) == TicketId(1));
}

// One workspace sends many times its usual rate (hot workspace); without fair queuing the others would wait behind it.
Test(servicequeues, hotWorkspaceDoesNotStarveOthers)
{
    ServiceQueues queues;
    for (std::uint64_t n = 0; n < 50; ++n)
        queues.offer(request(n, "busy"), NOW);
    queues.offer(request(100, "quiet"), NOW);
    bool served = false;
    for (int n = 0; n < 3; ++n)
        served = queues.popNext(SERVICE, NOW) == TicketId(100) || served;
    cr_assert(served);
}

// A burst exceeds the capacity of the upstreams; requests that would miss their deadline must not be queued.
Test(servicequeues, rejectsRequestsThatWouldMissDeadline)
{
    ServiceQueues queues({ .capacity = 512, .initialStartRate = 10 });
    int queued = 0;
    std::optional<Duration> refused;
    for (std::uint64_t n = 0; n < 30; ++n) {
        const AdmissionResult result = queues.offer(request(n, "a", 5, 1000), NOW);
        queued += result.retryDelay ? 0 : 1;
        refused = result.retryDelay ? result.retryDelay : refused;
    }
    cr_assert_eq(queued, 10, "ten requests start within one second");
    cr_assert(refused && *refused >= Duration(1000));
}

Test(servicequeues, startRateIsEstimatedFromStarts)
{
    ServiceQueues queues({ .capacity = 512, .initialStartRate = 50 });
    for (int n = 0; n < 400; ++n)
        queues.onStarted(SERVICE, NOW + Duration(200 * n));
    const TimePoint now = NOW + Duration(200 * 399);
    cr_assert_float_eq(static_cast<double>(queues.expectedWait(SERVICE, now).count()), 200, 20);
}

Test(servicequeues, requeuedRequestKeepsItsPosition)
{
    ServiceQueues queues;
    queues.offer(request(1, "a"), NOW);
    queues.offer(request(2, "b"), NOW);
    const auto first = queues.popNext(SERVICE, NOW);
    queues.requeue(request(first->value(), first == TicketId(1) ? "a" : "b"));
    cr_assert(queues.popNext(SERVICE, NOW) == first);
    cr_assert_eq(queues.size(), 1);
}

Test(servicequeues, fullQueueShedsLeastUrgentRequest)
{
    ServiceQueues queues({ .capacity = 2 });
    queues.offer(request(1, "a", 5), NOW);
    queues.offer(request(2, "a", 5), NOW);
    const AdmissionResult result = queues.offer(request(3, "a", 0), NOW);
    cr_assert_not(result.retryDelay.has_value());
    cr_assert(result.shedTicket.has_value());
    cr_assert(queues.offer(request(4, "a", 9), NOW).retryDelay.has_value());
}
