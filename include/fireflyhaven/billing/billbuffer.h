#pragma once

#include "fireflyhaven/billing/types/bill.h"
#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/membership/types/entries.h"

#include <map>
#include <optional>
#include <set>

namespace fireflyhaven::billing {

struct BillBufferOptions {
    HostId self;
    DataCentreId dataCentre;
    // Number of peers that are asked to store a copy of each bill. Peers in other data centres are preferred. One
    // stored copy makes a bill durable.
    std::size_t copiesPerBill = 2;
    // Upper bound on the bills that wait to be appended to the log; at the bound, new requests are rejected.
    std::size_t maxPendingBills = 50'000;
    std::size_t maxBillsPerAppend = 500;
    // How long a bill with a stored copy waits for further bills, so that they share one append.
    Duration linger { 2000 };
    // How long a bill waits for its first stored copy before it is due for an append.
    Duration copyTimeout { 30 };
};

struct PeerHost {
    HostId host;
    DataCentreId dataCentre;
};

// Buffers the bills of finished requests until they are in the log, and the copies of bills that peers have sent to
// this host. When a host is removed from the membership, the peers that hold copies of its bills append them. Duplicate
// bills in the log are harmless because only the first bill of a request counts. Does no I/O.
class BillBuffer {
public:
    explicit BillBuffer(BillBufferOptions options);

    // False when `maxPendingBills` is reached; the caller must then reject the request.
    bool accepting() const { return m_pending.size() < m_options.maxPendingBills; }

    // Adds a bill of this host. Returns the peers to which the caller must send a copy, in order of preference.
    std::vector<HostId> enqueue(Bill bill, const std::vector<PeerHost>& peers, TimePoint now);
    void onCopyStored(const std::string& key, const HostId& peer);
    // Whether the bill is in the log or has a copy at a peer. Only then may the last byte of the answer be sent.
    bool isDurable(const std::string& key) const;
    // Returns and clears, for each peer, the keys of bills that have reached the log and whose copies the peer may
    // drop.
    std::map<HostId, std::vector<std::string>> takeReleasedCopies();

    // Stores a copy of a bill of `origin` until `origin` releases it or is removed from the membership.
    void storeCopy(const HostId& origin, Bill bill);
    void releaseCopies(const HostId& origin, const std::vector<std::string>& keys);
    // `origin` is no longer a member: this host takes over the stored copies and appends them itself.
    void onOriginRemoved(const HostId& origin);

    // Bills to append in one record, once one of them is due or `maxBillsPerAppend` of them are pending; none while an
    // append is in flight. The caller reports the result with `onAppended`.
    std::vector<Bill> nextBatch(TimePoint now);
    // Makes every bill with a copy due at once; called at shutdown.
    void disableLinger() { m_options.linger = Duration(0); }
    void onAppended(bool succeeded);

    std::size_t pendingCount() const { return m_pending.size(); }
    std::size_t copyCount() const;
    bool idle() const { return m_pending.empty(); }

private:
    struct PendingBill {
        Bill bill;
        std::set<HostId> replicas;
        TimePoint enqueuedAt {};
    };

    bool isDue(const PendingBill& it, TimePoint now) const;

    BillBufferOptions m_options;
    std::map<std::string, PendingBill> m_pending;
    std::vector<std::string> m_batch;
    std::map<HostId, std::vector<std::string>> m_releasedCopies;
    std::map<HostId, std::map<std::string, Bill>> m_peerCopies;
};

}
