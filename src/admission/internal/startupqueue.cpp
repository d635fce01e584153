#include "fireflyhaven/admission/startupqueue.h"

#include <algorithm>

namespace fireflyhaven::admission {

namespace {
// The waiting times end over this last part of the period.
constexpr double SPREAD_PART = 0.25;

Duration scaled(Duration it, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(it.count()) * factor));
}

}

StartupQueue::StartupQueue(StartupQueueOptions options, TimePoint startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

std::optional<TimePoint> StartupQueue::offer(const EarlyRequest& request, TimePoint now)
{
    TimePoint end = m_startedAt + scaled(m_options.period, 1 - SPREAD_PART * request.spread);
    if (request.deadline)
        end = std::min(end, now + scaled(*request.deadline, m_options.maxShareOfDeadline));
    const bool hasRoom = m_bytes.size() < m_options.maxRequests && m_totalBytes + request.bytes <= m_options.maxBytes;
    if (end <= now || !hasRoom || !m_bytes.try_emplace(request.id, request.bytes).second)
        return std::nullopt;
    m_totalBytes += request.bytes;
    return end;
}

void StartupQueue::remove(TicketId id)
{
    const auto it = m_bytes.find(id);
    if (it == m_bytes.end())
        return;
    m_totalBytes -= it->second;
    m_bytes.erase(it);
}

}
