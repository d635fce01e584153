#include "fireflyhaven/admission/admissionqueue.h"

#include <algorithm>

namespace fireflyhaven::admission {

AdmissionQueue::AdmissionQueue(QueueOptions options)
    : m_options(options)
{
}

OfferResult AdmissionQueue::offer(const QueuedRequest& request)
{
    OfferResult result;
    if (m_size >= m_options.capacity) {
        result.shedTicket = shedBelow(request.priority);
        if (!result.shedTicket)
            return result;
    }
    Lane& lane = m_levels[request.priority][request.workspace];
    if (lane.requests.empty())
        lane.virtualFinish = std::max(lane.virtualFinish, m_virtualTime[request.priority]);
    lane.weight = std::max(1, request.weight);
    lane.requests.emplace(request.startBy, request);
    ++m_size;
    result.admitted = true;
    return result;
}

std::optional<TicketId> AdmissionQueue::pop(TimePoint now)
{
    for (auto& [priority, level] : m_levels) {
        Lane* best = nullptr;
        std::multimap<TimePoint, QueuedRequest>::iterator next;
        for (auto& [workspace, lane] : level) {
            const auto it = lane.requests.lower_bound(now);
            if (it == lane.requests.end() || (best && best->virtualFinish <= lane.virtualFinish))
                continue;
            best = &lane;
            next = it;
        }
        if (!best)
            continue;
        m_virtualTime[priority] = best->virtualFinish;
        best->virtualFinish += 1.0 / best->weight;
        const TicketId id = next->second.id;
        best->requests.erase(next);
        --m_size;
        return id;
    }
    return std::nullopt;
}

void AdmissionQueue::requeue(const QueuedRequest& request)
{
    Lane& lane = m_levels[request.priority][request.workspace];
    lane.weight = std::max(1, request.weight);
    lane.virtualFinish -= 1.0 / lane.weight;
    lane.requests.emplace(request.startBy, request);
    ++m_size;
}

std::vector<TicketId> AdmissionQueue::expire(TimePoint now)
{
    std::vector<TicketId> expired;
    for (auto& [priority, level] : m_levels) {
        for (auto& [workspace, lane] : level) {
            const auto end = lane.requests.lower_bound(now);
            for (auto it = lane.requests.begin(); it != end; it = lane.requests.erase(it))
                expired.push_back(it->second.id);
        }
        const double time = m_virtualTime[priority];
        std::erase_if(
            level, [time](const auto& it) { return it.second.requests.empty() && it.second.virtualFinish <= time; });
    }
    m_size -= expired.size();
    return expired;
}

bool AdmissionQueue::remove(TicketId id)
{
    for (auto& [priority, level] : m_levels) {
        for (auto& [workspace, lane] : level) {
            const auto it = std::find_if(
                lane.requests.begin(), lane.requests.end(), [&](const auto& entry) { return entry.second.id == id; });
            if (it == lane.requests.end())
                continue;
            lane.requests.erase(it);
            --m_size;
            return true;
        }
    }
    return false;
}

// Removes the request of the lowest priority, and among these the one with the latest deadline, provided that its
// priority is below the given one.
std::optional<TicketId> AdmissionQueue::shedBelow(int priority)
{
    for (auto level = m_levels.rbegin(); level != m_levels.rend() && level->first < priority; ++level) {
        Lane* victim = nullptr;
        for (auto& [workspace, lane] : level->second) {
            if (!lane.requests.empty() && (!victim || lane.requests.rbegin()->first > victim->requests.rbegin()->first))
                victim = &lane;
        }
        if (!victim)
            continue;
        const auto last = std::prev(victim->requests.end());
        const TicketId id = last->second.id;
        victim->requests.erase(last);
        --m_size;
        return id;
    }
    return std::nullopt;
}

}
