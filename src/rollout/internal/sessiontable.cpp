#include "fireflyhaven/rollout/sessiontable.h"

namespace fireflyhaven::rollout {

namespace {
// Limits the size of a report.
constexpr std::size_t MAX_REPORTED_SESSIONS = 64;
}

void SessionTable::onUsed(std::uint64_t session, SessionSide side, TimePoint now)
{
    m_sessions[session] = { .lastUsedAt = now, .side = side, .usedLocally = true };
}

std::optional<SessionSide> SessionTable::sideOf(std::uint64_t session, TimePoint now) const
{
    const auto it = m_sessions.find(session);
    const bool active = it != m_sessions.end() && now - it->second.lastUsedAt < m_idleTimeout;
    return active ? std::optional(it->second.side) : std::nullopt;
}

void SessionTable::fillReport(fleet::HostReport& report,
    const std::function<bool(std::uint64_t, SessionSide)>& isIncluded, bool localOnly, TimePoint now) const
{
    for (const auto& [session, entry] : m_sessions) {
        if (report.sessions.items.size() >= MAX_REPORTED_SESSIONS)
            return;
        if (now - entry.lastUsedAt >= m_idleTimeout || (localOnly && !entry.usedLocally)
            || !isIncluded(session, entry.side))
            continue;
        report.sessions.items.push_back({ .session = session,
            .ageMs = static_cast<std::uint32_t>((now - entry.lastUsedAt).count()),
            .onNewVersion = entry.side == SessionSide::NewVersion });
    }
}

void SessionTable::onReport(const fleet::HostReport& report, TimePoint now)
{
    for (const fleet::ActiveSession& it : report.sessions.items) {
        Entry& entry = m_sessions[it.session];
        const TimePoint lastUsedAt = now - Duration(it.ageMs);
        if (lastUsedAt > entry.lastUsedAt)
            entry = { .lastUsedAt = lastUsedAt,
                .side = it.onNewVersion ? SessionSide::NewVersion : SessionSide::OldVersion };
    }
}

void SessionTable::expire(TimePoint now)
{
    absl::erase_if(m_sessions, [&](const auto& item) { return now - item.second.lastUsedAt >= m_idleTimeout; });
}

}
