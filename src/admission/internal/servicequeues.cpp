#include "fireflyhaven/admission/servicequeues.h"

#include <algorithm>

namespace fireflyhaven::admission {

namespace {

constexpr double MILLISECONDS_PER_SECOND = 1000;
// Weight of the newest interval between two starts.
constexpr double RATE_WEIGHT = 0.05;
// The queue sheds its lowest level first and counts levels upwards.
constexpr int MOST_URGENT_LEVEL = 9;

}

WaitingRoom::WaitingRoom(WaitingRoomOptions options)
    : m_options(options)
{
}

Waiting WaitingRoom::toWaiting(const WaitingRequest& request)
{
    return { .id = request.id,
        .workspace = request.workspace,
        .priority = std::clamp(MOST_URGENT_LEVEL - request.priority, 0, MOST_URGENT_LEVEL),
        .startBy = request.startBy };
}

WaitingRoom::Line& WaitingRoom::lineOf(const ServiceName& service)
{
    const auto it = m_lines.try_emplace(service, QueueOptions { .capacity = m_options.capacity }).first;
    if (it->second.rate == 0)
        it->second.rate = m_options.firstRate;
    return it->second;
}

Duration WaitingRoom::expectedWait(const ServiceName& service, TimePoint now) const
{
    const auto it = m_lines.find(service);
    if (it == m_lines.end())
        return Duration(0);
    const Line& line = it->second;
    const double turns = static_cast<double>(line.queue.size()) + 1;
    const auto byRate = Duration(static_cast<Duration::rep>(turns / line.rate * MILLISECONDS_PER_SECOND));
    // While nothing starts, the wait is at least as long as it has been.
    const Duration sinceStart = line.queue.size() > 0 ? now - line.lastStart : Duration(0);
    return std::max(byRate, sinceStart);
}

WaitingResult WaitingRoom::offer(const WaitingRequest& request, TimePoint now)
{
    Line& line = lineOf(request.service);
    if (line.queue.size() == 0)
        line.lastStart = now;
    const Duration wait = expectedWait(request.service, now);
    if (now + wait > request.startBy)
        return { .refusedFor = wait };
    const OfferResult result = line.queue.offer(toWaiting(request));
    if (!result.admitted)
        return { .refusedFor = wait };
    return { .refusedFor = std::nullopt, .shed = result.shed };
}

std::optional<TicketId> WaitingRoom::next(const ServiceName& service, TimePoint now)
{
    return lineOf(service).queue.pop(now);
}

void WaitingRoom::putBack(const WaitingRequest& request) { lineOf(request.service).queue.putBack(toWaiting(request)); }

void WaitingRoom::remove(const ServiceName& service, TicketId id) { lineOf(service).queue.remove(id); }

void WaitingRoom::onStarted(const ServiceName& service, TimePoint now)
{
    Line& line = lineOf(service);
    if (line.lastStart != TimePoint {}) {
        const double ms = std::max<double>(1, static_cast<double>((now - line.lastStart).count()));
        const double interval = (1 - RATE_WEIGHT) / line.rate + RATE_WEIGHT * ms / MILLISECONDS_PER_SECOND;
        line.rate = 1 / interval;
    }
    line.lastStart = now;
}

std::vector<ServiceName> WaitingRoom::servicesWithRequests() const
{
    std::vector<ServiceName> services;
    for (const auto& [service, line] : m_lines) {
        if (line.queue.size() > 0)
            services.push_back(service);
    }
    return services;
}

std::size_t WaitingRoom::size() const
{
    std::size_t n = 0;
    for (const auto& [service, line] : m_lines)
        n += line.queue.size();
    return n;
}

}
