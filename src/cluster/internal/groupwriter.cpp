#include "fireflyhaven/cluster/groupwriter.h"

#include <algorithm>

namespace fireflyhaven::cluster {

GroupWriter::GroupWriter(WriterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff(options.firstRetry)
{
}

std::optional<Ticket> GroupWriter::submit(Entry entry)
{
    if (m_waiting.size() >= m_options.maxWaitingEntries)
        return std::nullopt;
    m_lastTicket = m_lastTicket.next();
    m_waiting.push_back({ .ticket = m_lastTicket, .entry = std::move(entry) });
    return m_lastTicket;
}

bool GroupWriter::cancel(Ticket ticket)
{
    const auto it = std::find_if(
        m_waiting.begin(), m_waiting.end(), [&](const Submission& entry) { return entry.ticket == ticket; });
    if (it == m_waiting.end())
        return false;
    m_waiting.erase(it);
    return true;
}

std::optional<Record> GroupWriter::poll(TimePoint now, WallTime wallNow)
{
    if (m_appending || now < m_nextAttempt)
        return std::nullopt;
    if (!m_record) {
        if (m_waiting.empty())
            return std::nullopt;
        m_record = Record { .id = { .writer = m_options.writer, .sequence = ++m_sequence },
            .writtenMs = wallNow.time_since_epoch().count(),
            .entries = {} };
        while (!m_waiting.empty() && m_record->entries.size() < m_options.maxEntriesPerRecord) {
            m_recordTickets.push_back(m_waiting.front().ticket);
            m_record->entries.push_back(std::move(m_waiting.front().entry));
            m_waiting.pop_front();
        }
    }
    m_appending = true;
    return m_record;
}

void GroupWriter::onAppendAnswer(bool succeeded, TimePoint now)
{
    m_appending = false;
    if (!m_record)
        return;
    if (succeeded) {
        m_nextAttempt = now + m_options.foldPatience;
        return;
    }
    std::uniform_int_distribution<Duration::rep> jitter(m_backoff.count() / 2, m_backoff.count());
    m_nextAttempt = now + Duration(jitter(m_random));
    m_backoff = std::min(m_backoff * 2, m_options.longestRetry);
}

std::vector<TicketVerdict> GroupWriter::onFolded(const RecordId& id, const RecordVerdict& verdict, Offset offset)
{
    std::vector<TicketVerdict> settled;
    if (!m_record || id != m_record->id)
        return settled;
    for (std::size_t n = 0; n < m_recordTickets.size(); ++n) {
        const EntryVerdict unknown { .kind = EntryVerdict::Kind::Unknown, .faults = {} };
        settled.push_back({ .ticket = m_recordTickets[n],
            .offset = offset,
            .verdict = verdict.ignored ? unknown : verdict.entries.at(n) });
    }
    m_record.reset();
    m_recordTickets.clear();
    m_backoff = m_options.firstRetry;
    m_nextAttempt = TimePoint {};
    return settled;
}

}
