#pragma once

#include "peerrelay.h"

#include <set>

namespace fireflyhaven::entry {

// What the verifier asks its host for, and tells it.
class IEraDelegate {
public:
    virtual ~IEraDelegate() = default;
    // Topics of which this host has only what the store had in an era of which it does not know more.
    virtual std::vector<store::Topic> unverifiedTopics() const = 0;
    // The era in which all topics of this host are settled; no value if they are not, or if another host reads the
    // store for this one.
    virtual std::optional<store::Era> settledEra() const = 0;
    // The store has kept the record that this era is settled, so that it has lost nothing since.
    virtual void onEraSettled(store::Era era) = 0;
    // Another host has sent its snapshot, which is verified.
    virtual void onVerifiedSnapshot(store::Topic topic, const store::SnapshotPage& page, const HostId& from) = 0;
};

struct EraVerifierContext {
    const IClock& clock;
    store::IRecordStore& store;
    RelayClient& relayClient;
    // As in `CatalogSyncContext`.
    std::function<const fleet::HostTable*()> hosts;
    IEraDelegate& delegate;
};

// Tells a host that has started whether the store that it reads may be an older copy. The host that reads the store for
// the others records there which era is settled; a copy never holds the record of its own era. Where the record doesn't
// tell, the verifier asks the other hosts for their snapshots, one after the other, as long as topics are unverified.
class EraVerifier {
public:
    explicit EraVerifier(EraVerifierContext context)
        : m_context(std::move(context))
    {
    }
    EraVerifier(const EraVerifier&) = delete;
    EraVerifier& operator=(const EraVerifier&) = delete;
    ~EraVerifier();

    // Makes the calls that are due. Called in short intervals.
    void advance();

private:
    // A call to another host for its snapshot of a topic.
    struct Ask {
        HostId host;
        RelayCallId call;
        TimePoint askedAt {};
    };

    void readRecord(TimePoint now);
    void onRecord(const store::SnapshotPage& page);
    void writeRecord(TimePoint now);
    void askNextHost(store::Topic topic, TimePoint now);
    void onAnswer(store::Topic topic, const HostId& host, const store::Outcome<store::SnapshotPage>& outcome);
    // Ends the calls that take too long, and those that no topic needs any longer.
    void endAsks(const std::set<store::Topic>& unverified, TimePoint now);
    const fleet::KnownHost* nextHost(store::Topic topic, TimePoint now) const;

    const EraVerifierContext m_context;
    // The era that the record in the store names, as last read or written.
    std::optional<store::Era> m_recordedEra;
    bool m_isReading = false;
    bool m_isWriting = false;
    std::optional<TimePoint> m_readAt;
    std::optional<TimePoint> m_writtenAt;
    std::map<store::Topic, Ask> m_asks;
    // When each host was last asked for a topic.
    std::map<std::pair<store::Topic, HostId>, TimePoint> m_askedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
