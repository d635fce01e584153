#include "fireflyhaven/admission/servicequeues.h"

#include <algorithm>

namespace fireflyhaven::admission {

namespace {

constexpr double MILLISECONDS_PER_SECOND = 1000;
// Weight of the latest interval between two starts in the moving average.
constexpr double INTERVAL_WEIGHT = 0.05;
// Highest priority of `AdmissionQueue`. Its scale is the reverse of that of `WaitingRequest`, where 0 is most urgent.
constexpr int MAX_PRIORITY = 9;

}

ServiceQueues::ServiceQueues(ServiceQueueOptions options)
    : m_options(options)
{
}

QueuedRequest ServiceQueues::toQueuedRequest(const WaitingRequest& request)
{
    return { .id = request.id,
        .workspace = request.workspace,
        .priority = std::clamp(MAX_PRIORITY - request.priority, 0, MAX_PRIORITY),
        .startBy = request.startBy };
}

ServiceQueues::ServiceQueue& ServiceQueues::queueFor(const ServiceName& service)
{
    const auto it = m_queues.try_emplace(service, QueueOptions { .capacity = m_options.capacity }).first;
    if (it->second.startRate == 0)
        it->second.startRate = m_options.initialStartRate;
    return it->second;
}

Duration ServiceQueues::expectedWait(const ServiceName& service, TimePoint now) const
{
    const auto it = m_queues.find(service);
    if (it == m_queues.end())
        return Duration(0);
    const ServiceQueue& serviceQueue = it->second;
    const double startsNeeded = static_cast<double>(serviceQueue.queue.size()) + 1;
    const auto waitByRate
        = Duration(static_cast<Duration::rep>(startsNeeded / serviceQueue.startRate * MILLISECONDS_PER_SECOND));
    // While no request starts, the wait is at least the time since the last start.
    const Duration sinceStart = serviceQueue.queue.size() > 0 ? now - serviceQueue.lastStart : Duration(0);
    return std::max(waitByRate, sinceStart);
}

AdmissionResult ServiceQueues::offer(const WaitingRequest& request, TimePoint now)
{
    ServiceQueue& serviceQueue = queueFor(request.service);
    if (serviceQueue.queue.size() == 0)
        serviceQueue.lastStart = now;
    const Duration wait = expectedWait(request.service, now);
    if (now + wait > request.startBy)
        return { .retryDelay = wait };
    const OfferResult result = serviceQueue.queue.offer(toQueuedRequest(request));
    if (!result.admitted)
        return { .retryDelay = wait };
    return { .retryDelay = std::nullopt, .shedTicket = result.shedTicket };
}

std::optional<TicketId> ServiceQueues::popNext(const ServiceName& service, TimePoint now)
{
    return queueFor(service).queue.pop(now);
}

void ServiceQueues::requeue(const WaitingRequest& request)
{
    queueFor(request.service).queue.requeue(toQueuedRequest(request));
}

void ServiceQueues::remove(const ServiceName& service, TicketId id) { queueFor(service).queue.remove(id); }

void ServiceQueues::onStarted(const ServiceName& service, TimePoint now)
{
    ServiceQueue& serviceQueue = queueFor(service);
    if (serviceQueue.lastStart != TimePoint {}) {
        const double ms = std::max<double>(1, static_cast<double>((now - serviceQueue.lastStart).count()));
        const double interval
            = (1 - INTERVAL_WEIGHT) / serviceQueue.startRate + INTERVAL_WEIGHT * ms / MILLISECONDS_PER_SECOND;
        serviceQueue.startRate = 1 / interval;
    }
    serviceQueue.lastStart = now;
}

std::vector<ServiceName> ServiceQueues::servicesWithRequests() const
{
    std::vector<ServiceName> services;
    for (const auto& [service, serviceQueue] : m_queues) {
        if (serviceQueue.queue.size() > 0)
            services.push_back(service);
    }
    return services;
}

std::size_t ServiceQueues::size() const
{
    std::size_t n = 0;
    for (const auto& [service, serviceQueue] : m_queues)
        n += serviceQueue.queue.size();
    return n;
}

}
