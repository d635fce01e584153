#pragma once

#include "fireflyhaven/cluster/clusterfold.h"

#include <deque>
#include <random>

namespace fireflyhaven::cluster {

// Identifies what a caller has submitted to a GroupWriter.
using Ticket = StrongNumber<struct TicketTag>;

struct WriterOptions {
    WriterId writer;
    std::size_t maxEntriesPerRecord = 256;
    std::size_t maxWaitingEntries = 20'000;
    Duration firstRetry { 100 };
    Duration longestRetry { 2000 };
    // How long an append that was answered may take to come back through the fold before it is sent again.
    Duration foldPatience { 3000 };
    std::uint64_t seed = 1;
};

struct TicketVerdict {
    Ticket ticket;
    Offset offset;
    EntryVerdict verdict;
};

// Gathers entries into records and appends one record at a time, so that a record is settled by seeing it in the log
// and never by the answer to its append. A record is sent again, under the same id, until it is seen. Does no I/O.
class GroupWriter {
public:
    explicit GroupWriter(WriterOptions options);

    // Queues an entry. Returns no ticket where too many wait already.
    std::optional<Ticket> submit(Entry entry);
    // Takes an entry back. True where it has certainly not been sent.
    bool cancel(Ticket ticket);

    // Record to append now, if any; the append must be answered by `onAppendAnswer`.
    std::optional<Record> poll(TimePoint now, WallTime wallNow);
    // An append succeeded, or failed with the outcome unknown.
    void onAppendAnswer(bool succeeded, TimePoint now);
    // A record was folded; returns the verdicts of this writer's entries in it.
    std::vector<TicketVerdict> onFolded(const RecordId& id, const RecordVerdict& verdict, Offset offset);

    WriterId writer() const { return m_options.writer; }
    bool idle() const { return m_waiting.empty() && !m_record; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Submission {
        Ticket ticket;
        Entry entry;
    };

    WriterOptions m_options;
    std::mt19937_64 m_random;
    std::deque<Submission> m_waiting;
    // The record that is being appended, and the tickets of its entries.
    std::optional<Record> m_record;
    std::vector<Ticket> m_recordTickets;
    bool m_appending = false;
    TimePoint m_nextAttempt {};
    Duration m_backoff;
    std::uint64_t m_sequence = 0;
    Ticket m_lastTicket;
};

}
