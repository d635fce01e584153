#pragma once

#include "fireflyhaven/cluster/clusterfold.h"

#include <deque>
#include <random>

namespace fireflyhaven::cluster {

// Identifies an entry submitted to a GroupWriter.
using Ticket = StrongNumber<struct TicketTag>;

struct WriterOptions {
    WriterId writer;
    std::size_t maxEntriesPerRecord = 256;
    std::size_t maxQueuedEntries = 20'000;
    Duration initialBackoff { 100 };
    Duration maxBackoff { 2000 };
    // How long to wait after a successful append for the record to be read back and applied before it is appended
    // again.
    Duration applyTimeout { 3000 };
    std::uint64_t seed = 1;
};

struct TicketOutcome {
    Ticket ticket;
    Offset offset;
    EntryOutcome outcome;
};

// Group commit: batches entries into records and has one record in flight at a time. A record is complete once it has
// been read back from the log, whatever the response to its append was. Until then it is appended again under the same
// id, so that duplicates are detected. Does no I/O.
class GroupWriter {
public:
    explicit GroupWriter(WriterOptions options);

    // Queues an entry. Returns no ticket if the queue is full.
    std::optional<Ticket> submit(Entry entry);
    // Removes an entry from the queue. False if it is no longer queued and may therefore have been sent.
    bool cancel(Ticket ticket);

    // Record to append now, if any. The caller must report the end of the append with `onAppendResponse`.
    std::optional<Record> poll(TimePoint now, WallTime wallNow);
    // The append has ended. If it failed, the record may or may not be in the log.
    void onAppendResponse(bool succeeded, TimePoint now);
    // A record read from the log was applied. Returns the outcomes of its entries if it is this writer's current
    // record.
    std::vector<TicketOutcome> onApplied(const RecordId& id, const RecordOutcome& outcome, Offset offset);

    WriterId writer() const { return m_options.writer; }
    bool idle() const { return m_queue.empty() && !m_currentRecord; }
    std::size_t queuedCount() const { return m_queue.size(); }

private:
    struct Submission {
        Ticket ticket;
        Entry entry;
    };

    WriterOptions m_options;
    std::mt19937_64 m_random;
    std::deque<Submission> m_queue;
    // Record that has not been read back from the log yet, and the tickets of its entries.
    std::optional<Record> m_currentRecord;
    std::vector<Ticket> m_currentTickets;
    bool m_appendInFlight = false;
    TimePoint m_nextAppendAt {};
    Duration m_backoff;
    std::uint64_t m_lastSequence = 0;
    Ticket m_lastTicket;
};

}
