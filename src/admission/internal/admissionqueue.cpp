#include "fireflyhaven/admission/admissionqueue.h"

#include <algorithm>

namespace fireflyhaven::admission {

AdmissionQueue::AdmissionQueue(QueueOptions options)
    : m_options(options)
{
}

OfferResult AdmissionQueue::offer(const Waiting& request)
{
    OfferResult result;
    if (m_size >= m_options.capacity) {
        result.shed = shedBelow(request.priority);
        if (!result.shed)
            return result;
    }
    Lane& lane = m_levels[request.priority][request.workspace];
    if (lane.requests.empty())
        lane.finish = std::max(lane.finish, m_virtualTime[request.priority]);
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
        std::multimap<TimePoint, Waiting>::iterator next;
        for (auto& [workspace, lane] : level) {
            const auto it = lane.requests.lower_bound(now);
            if (it == lane.requests.end() || (best && best->finish <= lane.finish))
                continue;
            best = &lane;
            next = it;
        }
        if (!best)
            continue;
        m_virtualTime[priority] = best->finish;
        best->finish += 1.0 / best->weight;
        const TicketId id = next->second.id;
        best->requests.erase(next);
        --m_size;
        return id;
    }
    return std::nullopt;
}

void AdmissionQueue::putBack(const Waiting& request)
{
    Lane& lane = m_levels[request.priority][request.workspace];
    lane.weight = std::max(1, request.weight);
    lane.finish -= 1.0 / lane.weight;
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
        std::erase_if(level, [time](const auto& it) { return it.second.requests.empty() && it.second.finish <= time; });
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

// Takes out the request of the lowest priority, the latest deadline first, where that priority is below the one given.
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
