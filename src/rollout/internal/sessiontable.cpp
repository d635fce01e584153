#include "fireflyhaven/rollout/sessiontable.h"

namespace fireflyhaven::rollout {

namespace {
// Sessions that one report tells of.
constexpr std::size_t MAX_TOLD_SESSIONS = 64;
}

void SessionTable::onUsed(std::uint64_t session, SessionSide side, TimePoint now)
{
    m_sessions[session] = { .at = now, .side = side, .own = true };
}

std::optional<SessionSide> SessionTable::sideOf(std::uint64_t session, TimePoint now) const
{
    const auto it = m_sessions.find(session);
    const bool atWork = it != m_sessions.end() && now - it->second.at < m_lifetime;
    return atWork ? std::optional(it->second.side) : std::nullopt;
}

void SessionTable::fillReport(fleet::HostReport& report, const std::function<bool(std::uint64_t, SessionSide)>& isTold,
    bool ownOnly, TimePoint now) const
{
    for (const auto& [session, use] : m_sessions) {
        if (report.sessions.items.size() >= MAX_TOLD_SESSIONS)
            return;
        if (now - use.at >= m_lifetime || (ownOnly && !use.own) || !isTold(session, use.side))
            continue;
        report.sessions.items.push_back({ .session = session,
            .ageMs = static_cast<std::uint32_t>((now - use.at).count()),
            .onNewVersion = use.side == SessionSide::NewVersion });
    }
}

void SessionTable::onReport(const fleet::HostReport& report, TimePoint now)
{
    for (const fleet::ActiveSession& it : report.sessions.items) {
        Use& use = m_sessions[it.session];
        const TimePoint at = now - Duration(it.ageMs);
        if (at > use.at)
            use = { .at = at, .side = it.onNewVersion ? SessionSide::NewVersion : SessionSide::OldVersion };
    }
}

void SessionTable::expire(TimePoint now)
{
    absl::erase_if(m_sessions, [&](const auto& entry) { return now - entry.second.at >= m_lifetime; });
}

}
