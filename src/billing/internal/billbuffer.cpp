#include "fireflyhaven/billing/billbuffer.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::billing {

BillBuffer::BillBuffer(BillBufferOptions options)
    : m_options(std::move(options))
{
}

std::vector<HostId> BillBuffer::enqueue(Bill bill, const std::vector<PeerHost>& peers, TimePoint now)
{
    const std::string key = bill.key();
    std::vector<PeerHost> ranked = peers;
    const auto rank = [&](const PeerHost& it) {
        const bool sameDataCentre = it.dataCentre == m_options.dataCentre;
        return std::make_pair(sameDataCentre, combineHashes(stableHash(it.host.value()), stableHash(key)));
    };
    std::sort(ranked.begin(), ranked.end(), [&](const PeerHost& a, const PeerHost& b) { return rank(a) < rank(b); });
    ranked.resize(std::min(ranked.size(), m_options.copiesPerBill));
    std::vector<HostId> hosts;
    hosts.reserve(ranked.size());
    for (const PeerHost& it : ranked)
        hosts.push_back(it.host);
    // A bill that no peer can copy is due for an append at once.
    m_pending[key] = { .bill = std::move(bill), .replicas = {}, .enqueuedAt = hosts.empty() ? TimePoint {} : now };
    return hosts;
}

void BillBuffer::onCopyStored(const std::string& key, const HostId& peer)
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        m_releasedCopies[peer].push_back(key);
    else
        it->second.replicas.insert(peer);
}

bool BillBuffer::isDurable(const std::string& key) const
{
    const auto it = m_pending.find(key);
    if (it == m_pending.end())
        return true;
    return !it->second.replicas.empty();
}

std::map<HostId, std::vector<std::string>> BillBuffer::takeReleasedCopies()
{
    return std::exchange(m_releasedCopies, {});
}

void BillBuffer::storeCopy(const HostId& origin, Bill bill) { m_peerCopies[origin][bill.key()] = std::move(bill); }

void BillBuffer::releaseCopies(const HostId& origin, const std::vector<std::string>& keys)
{
    const auto it = m_peerCopies.find(origin);
    if (it == m_peerCopies.end())
        return;
    for (const std::string& key : keys)
        it->second.erase(key);
    if (it->second.empty())
        m_peerCopies.erase(it);
}

void BillBuffer::onOriginRemoved(const HostId& origin)
{
    const auto it = m_peerCopies.find(origin);
    if (it == m_peerCopies.end())
        return;
    for (auto& [key, bill] : it->second)
        m_pending.emplace(key, PendingBill { .bill = std::move(bill), .replicas = {}, .enqueuedAt = {} });
    m_peerCopies.erase(it);
}

bool BillBuffer::isDue(const PendingBill& it, TimePoint now) const
{
    return now - it.enqueuedAt >= (it.replicas.empty() ? m_options.copyTimeout : m_options.linger);
}

std::vector<Bill> BillBuffer::nextBatch(TimePoint now)
{
    std::vector<Bill> bills;
    const bool due = m_pending.size() >= m_options.maxBillsPerAppend
        || std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& it) { return isDue(it.second, now); });
    if (!m_batch.empty() || !due)
        return bills;
    for (const auto& [key, pending] : m_pending) {
        if (bills.size() == m_options.maxBillsPerAppend)
            break;
        m_batch.push_back(key);
        bills.push_back(pending.bill);
    }
    return bills;
}

void BillBuffer::onAppended(bool succeeded)
{
    for (const std::string& key : m_batch) {
        const auto it = m_pending.find(key);
        if (!succeeded || it == m_pending.end())
            continue;
        for (const HostId& peer : it->second.replicas)
            m_releasedCopies[peer].push_back(key);
        m_pending.erase(it);
    }
    m_batch.clear();
}

std::size_t BillBuffer::copyCount() const
{
    std::size_t n = 0;
    for (const auto& [origin, copies] : m_peerCopies)
        n += copies.size();
    return n;
}

}
