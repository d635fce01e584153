#include "fireflyhaven/cluster/groupwriter.h"

#include <algorithm>

namespace fireflyhaven::cluster {

GroupWriter::GroupWriter(WriterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_backoff(options.initialBackoff)
{
}

std::optional<Ticket> GroupWriter::submit(Entry entry)
{
    if (m_queue.size() >= m_options.maxQueuedEntries)
        return std::nullopt;
    m_lastTicket = m_lastTicket.next();
    m_queue.push_back({ .ticket = m_lastTicket, .entry = std::move(entry) });
    return m_lastTicket;
}

bool GroupWriter::cancel(Ticket ticket)
{
    const auto it
        = std::find_if(m_queue.begin(), m_queue.end(), [&](const Submission& entry) { return entry.ticket == ticket; });
    if (it == m_queue.end())
        return false;
    m_queue.erase(it);
    return true;
}

std::optional<Record> GroupWriter::poll(TimePoint now, WallTime wallNow)
{
    if (m_appendInFlight || now < m_nextAppendAt)
        return std::nullopt;
    if (!m_currentRecord) {
        if (m_queue.empty())
            return std::nullopt;
        m_currentRecord = Record { .id = { .writer = m_options.writer, .sequence = ++m_lastSequence },
            .writtenMs = wallNow.time_since_epoch().count(),
            .entries = {} };
        while (!m_queue.empty() && m_currentRecord->entries.size() < m_options.maxEntriesPerRecord) {
            m_currentTickets.push_back(m_queue.front().ticket);
            m_currentRecord->entries.push_back(std::move(m_queue.front().entry));
            m_queue.pop_front();
        }
    }
    m_appendInFlight = true;
    return m_currentRecord;
}

void GroupWriter::onAppendResponse(bool succeeded, TimePoint now)
{
    m_appendInFlight = false;
    if (!m_currentRecord)
        return;
    if (succeeded) {
        m_nextAppendAt = now + m_options.applyTimeout;
        return;
    }
    std::uniform_int_distribution<Duration::rep> jitter(m_backoff.count() / 2, m_backoff.count());
    m_nextAppendAt = now + Duration(jitter(m_random));
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

std::vector<TicketOutcome> GroupWriter::onApplied(const RecordId& id, const RecordOutcome& outcome, Offset offset)
{
    std::vector<TicketOutcome> outcomes;
    if (!m_currentRecord || id != m_currentRecord->id)
        return outcomes;
    for (std::size_t n = 0; n < m_currentTickets.size(); ++n) {
        const EntryOutcome unknown { .kind = EntryOutcome::Kind::Unknown, .errors = {} };
        outcomes.push_back({ .ticket = m_currentTickets[n],
            .offset = offset,
            .outcome = outcome.ignored ? unknown : outcome.entries.at(n) });
    }
    m_currentRecord.reset();
    m_currentTickets.clear();
    m_backoff = m_options.initialBackoff;
    m_nextAppendAt = TimePoint {};
    return outcomes;
}

}
