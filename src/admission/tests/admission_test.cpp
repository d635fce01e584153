#include "fireflyhaven/admission/admissionqueue.h"
#include "fireflyhaven/admission/sharedlimiter.h"

#include <random>

#include <algorithm>

#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::admission;

namespace {

const TimePoint NOW { Duration(1000) };

QueuedRequest queuedRequest(
    std::uint64_t id, const std::string& workspace, int priority = 5, int weight = 1, int startByMs = 5000)
{
    return { .id = TicketId(id),
        .workspace = WorkspaceId(workspace),
        .priority = priority,
        .weight = weight,
        .startBy = NOW + Duration(startByMs) };
}

}

Test(admissionqueue, higherPriorityIsServedFirst)
{
    AdmissionQueue queue;
    queue.offer(queuedRequest(1, "a", 2));
    queue.offer(queuedRequest(2, "b", 7));
    cr_assert(queue.pop(NOW) == TicketId(2));
    cr_assert(queue.pop(NOW) == TicketId(1));
    cr_assert_not(queue.pop(NOW).has_value());
}

Test(admissionqueue, workspacesAreServedInProportionToWeight)
{
    AdmissionQueue queue({ .capacity = 1000 });
    std::map<std::uint64_t, int> taken;
    for (std::uint64_t n = 0; n < 400; ++n) {
        queue.offer(queuedRequest(2 * n, "heavy", 5, 3));
        queue.offer(queuedRequest(2 * n + 1, "light", 5, 1));
    }
    for (int n = 0; n < 200; ++n)
        ++taken[queue.pop(NOW)->value() % 2];
    cr_assert_float_eq(taken[0], 150, 3);
}

Test(admissionqueue, earliestDeadlineFirstWithinWorkspace)
{
    AdmissionQueue queue;
    queue.offer(queuedRequest(1, "a", 5, 1, 900));
    queue.offer(queuedRequest(2, "a", 5, 1, 300));
    cr_assert(queue.pop(NOW) == TicketId(2));
}

Test(admissionqueue, fullQueueShedsLowestPriority)
{
    AdmissionQueue queue({ .capacity = 2 });
    queue.offer(queuedRequest(1, "a", 1));
    queue.offer(queuedRequest(2, "b", 5));
    const OfferResult result = queue.offer(queuedRequest(3, "c", 5));
    cr_assert(result.admitted && result.shedTicket == TicketId(1));
    cr_assert_not(queue.offer(queuedRequest(4, "c", 5)).admitted, "a request does not displace one of equal priority");
    cr_assert_eq(queue.size(), 2);
}

Test(admissionqueue, requestsPastDeadlineAreSkippedAndExpired)
{
    AdmissionQueue queue;
    queue.offer(queuedRequest(1, "a", 5, 1, 100));
    queue.offer(queuedRequest(2, "a", 5, 1, 900));
    cr_assert(queue.pop(NOW + Duration(500)) == TicketId(2));
    const std::vector<TicketId> expired = queue.expire(NOW + Duration(500));
    cr_assert_eq(expired.size(), 1);
    cr_assert_eq(queue.size(), 0);
}

Test(admissionqueue, matchesReferenceListOnSizeAndOrder)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        AdmissionQueue queue({ .capacity = 8 });
        std::vector<QueuedRequest> reference;
        for (std::uint64_t id = 0; id < 200; ++id) {
            if (random() % 3) {
                const QueuedRequest it = queuedRequest(id, std::string(1, static_cast<char>('a' + random() % 3)),
                    static_cast<int>(random() % 3), 1, static_cast<int>(random() % 1000));
                const OfferResult result = queue.offer(it);
                if (result.shedTicket)
                    std::erase_if(
                        reference, [&](const QueuedRequest& entry) { return entry.id == *result.shedTicket; });
                if (result.admitted)
                    reference.push_back(it);
            } else if (const auto popped = queue.pop(NOW)) {
                const auto entry = std::find_if(
                    reference.begin(), reference.end(), [&](const QueuedRequest& it) { return it.id == *popped; });
                cr_assert(entry != reference.end());
                for (const QueuedRequest& it : reference) {
                    cr_assert_leq(it.priority, entry->priority);
                    const bool sameLane = it.priority == entry->priority && it.workspace == entry->workspace;
                    cr_assert(!sameLane || it.startBy >= entry->startBy);
                }
                reference.erase(entry);
            }
            cr_assert_eq(queue.size(), reference.size());
        }
    }
}

namespace {

// Requests per second admitted for a workspace across `hosts` hosts, each of which receives the demand of the others
// once a second.
double admittedPerSecond(int hosts, int limit, const std::vector<int>& offeredPerSecond)
{
    constexpr int SECONDS = 20;
    std::vector<SharedLimiter> limiters(static_cast<std::size_t>(hosts));
    std::vector<double> reported(static_cast<std::size_t>(hosts), 0);
    const WorkspaceId workspace("w");
    int admitted = 0;
    for (int ms = 0; ms < SECONDS * 1000; ++ms) {
        const TimePoint now = NOW + Duration(ms);
        if (ms % 1000 == 0) {
            for (std::size_t h = 0; h < limiters.size(); ++h)
                reported[h] = limiters[h].demand(workspace, now);
        }
        for (std::size_t h = 0; h < limiters.size(); ++h) {
            const int offered = offeredPerSecond[h];
            if (offered == 0 || ms % (1000 / offered) != 0)
                continue;
            RemoteDemand remote;
            for (std::size_t k = 0; k < limiters.size(); ++k)
                remote.requestsPerSecond += k == h ? 0 : reported[k];
            const WorkspaceLimits limits { .requestsPerSecond = limit, .concurrency = 1000 };
            if (limiters[h].admit(workspace, limits, remote, hosts, now) == LimitVerdict::Admitted) {
                ++admitted;
                limiters[h].onFinished(workspace);
            }
        }
    }
    return static_cast<double>(admitted) / SECONDS;
}

}

Test(sharedlimiter, limitHoldsAcrossHosts)
{
    // The bound is the limit plus the initial burst of one second at each host, spread over the run.
    cr_assert_leq(admittedPerSecond(3, 30, { 100, 100, 100 }), 30 * 1.15);
    cr_assert_leq(admittedPerSecond(3, 30, { 200, 0, 0 }), 30 * 1.15);
    cr_assert_geq(admittedPerSecond(3, 30, { 200, 0, 0 }), 30 * 0.85, "a single active host gets the whole limit");
    cr_assert_geq(admittedPerSecond(3, 30, { 10, 5, 5 }), 19, "requests below the limit are not refused");
}

Test(sharedlimiter, concurrencyIncludesRequestsReportedByOtherHosts)
{
    SharedLimiter limiter;
    const WorkspaceId workspace("w");
    const WorkspaceLimits limits { .requestsPerSecond = 100, .concurrency = 3 };
    cr_assert(limiter.admit(workspace, limits, { .inFlight = 2 }, 2, NOW) == LimitVerdict::Admitted);
    cr_assert(limiter.admit(workspace, limits, { .inFlight = 2 }, 2, NOW) == LimitVerdict::ConcurrencyExceeded);
    limiter.onFinished(workspace);
    cr_assert(limiter.admit(workspace, limits, { .inFlight = 2 }, 2, NOW + Duration(100)) == LimitVerdict::Admitted);
}
