#pragma once

#include "fireflyhaven/billing/types/bill.h"
#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/membership/types/entries.h"

#include <map>
#include <optional>
#include <set>

namespace fireflyhaven::billing {

struct HolderOptions {
    HostId self;
    DataCentreId dataCentre;
    // Peers that are asked to keep a copy, in other data centres where there are any; one stored copy makes a bill
    // safe.
    std::size_t copies = 2;
    // Most bills that wait for the log; at the bound no new request is taken.
    std::size_t maxWaiting = 50'000;
    std::size_t maxBatch = 500;
    // How long a bill with a copy waits for others to share its append.
    Duration linger { 2000 };
    // How long a bill waits for its first copy before it is appended at once.
    Duration copyPatience { 30 };
};

struct PeerHost {
    HostId host;
    DataCentreId dataCentre;
};

// Keeps a bill from the end of its request until it is in the log: here, and as copies at peers, which append it should
// this host die. Copies of a bill in the log are harmless, since the first of a request id counts. Does no I/O.
class BillHolder {
public:
    explicit BillHolder(HolderOptions options);

    // False at the bound; the request must not be taken then.
    bool accepting() const { return m_own.size() < m_options.maxWaiting; }

    // Peers to which the bill is to be copied, the best first.
    std::vector<HostId> hold(Bill bill, const std::vector<PeerHost>& peers, TimePoint now);
    void onCopyStored(const std::string& key, const HostId& peer);
    // Whether the last byte of the answer may leave: the bill is in the log, or a peer has stored a copy.
    bool isSafe(const std::string& key) const;
    // Keys of bills that are in the log by now; their copies may be dropped by the peers that hold them.
    std::map<HostId, std::vector<std::string>> takeReleased();

    // A peer's bill is kept here until the peer releases it or is gone.
    void storeCopy(const HostId& holder, Bill bill);
    void releaseCopies(const HostId& holder, const std::vector<std::string>& keys);
    // The peer has left the members: its bills become this host's own.
    void onHolderGone(const HostId& holder);

    // Next bills to append in one record, if it is time; answered by `onAppended`.
    std::vector<Bill> nextBatch(TimePoint now);
    // No bill waits for others any more; for a shutdown.
    void stopLingering() { m_options.linger = Duration(0); }
    void onAppended(bool succeeded);

    std::size_t waiting() const { return m_own.size(); }
    std::size_t copiesHeld() const;
    bool idle() const { return m_own.empty(); }

private:
    struct OwnBill {
        Bill bill;
        std::set<HostId> copies;
        TimePoint heldAt {};
    };

    bool isDue(const OwnBill& it, TimePoint now) const;

    HolderOptions m_options;
    std::map<std::string, OwnBill> m_own;
    std::vector<std::string> m_batch;
    std::map<HostId, std::vector<std::string>> m_released;
    std::map<HostId, std::map<std::string, Bill>> m_copies;
};

}
