#include "fireflyhaven/billing/billholder.h"

#include "fireflyhaven/common/hash.h"

#include <algorithm>

namespace fireflyhaven::billing {

BillHolder::BillHolder(HolderOptions options)
    : m_options(std::move(options))
{
}

std::vector<HostId> BillHolder::hold(Bill bill, const std::vector<PeerHost>& peers, TimePoint now)
{
    const std::string key = bill.key();
    std::vector<PeerHost> ranked = peers;
    const auto rank = [&](const PeerHost& it) {
        const bool near = it.dataCentre == m_options.dataCentre;
        return std::make_pair(near, combineHashes(stableHash(it.host.value()), stableHash(key)));
    };
    std::sort(ranked.begin(), ranked.end(), [&](const PeerHost& a, const PeerHost& b) { return rank(a) < rank(b); });
    ranked.resize(std::min(ranked.size(), m_options.copies));
    std::vector<HostId> hosts;
    hosts.reserve(ranked.size());
    for (const PeerHost& it : ranked)
        hosts.push_back(it.host);
    // A bill that nobody can copy is due at once.
    m_own[key] = { .bill = std::move(bill), .copies = {}, .heldAt = hosts.empty() ? TimePoint {} : now };
    return hosts;
}

void BillHolder::onCopyStored(const std::string& key, const HostId& peer)
{
    const auto it = m_own.find(key);
    if (it == m_own.end())
        m_released[peer].push_back(key);
    else
        it->second.copies.insert(peer);
}

bool BillHolder::isSafe(const std::string& key) const
{
    const auto it = m_own.find(key);
    if (it == m_own.end())
        return true;
    return !it->second.copies.empty();
}

std::map<HostId, std::vector<std::string>> BillHolder::takeReleased() { return std::exchange(m_released, {}); }

void BillHolder::storeCopy(const HostId& holder, Bill bill) { m_copies[holder][bill.key()] = std::move(bill); }

void BillHolder::releaseCopies(const HostId& holder, const std::vector<std::string>& keys)
{
    const auto it = m_copies.find(holder);
    if (it == m_copies.end())
        return;
    for (const std::string& key : keys)
        it->second.erase(key);
    if (it->second.empty())
        m_copies.erase(it);
}

void BillHolder::onHolderGone(const HostId& holder)
{
    const auto it = m_copies.find(holder);
    if (it == m_copies.end())
        return;
    for (auto& [key, bill] : it->second)
        m_own.emplace(key, OwnBill { .bill = std::move(bill), .copies = {}, .heldAt = {} });
    m_copies.erase(it);
}

bool BillHolder::isDue(const OwnBill& it, TimePoint now) const
{
    return now - it.heldAt >= (it.copies.empty() ? m_options.copyPatience : m_options.linger);
}

std::vector<Bill> BillHolder::nextBatch(TimePoint now)
{
    std::vector<Bill> bills;
    const bool due = m_own.size() >= m_options.maxBatch
        || std::any_of(m_own.begin(), m_own.end(), [&](const auto& it) { return isDue(it.second, now); });
    if (!m_batch.empty() || !due)
        return bills;
    for (const auto& [key, own] : m_own) {
        if (bills.size() == m_options.maxBatch)
            break;
        m_batch.push_back(key);
        bills.push_back(own.bill);
    }
    return bills;
}

void BillHolder::onAppended(bool succeeded)
{
    for (const std::string& key : m_batch) {
        const auto it = m_own.find(key);
        if (!succeeded || it == m_own.end())
            continue;
        for (const HostId& peer : it->second.copies)
            m_released[peer].push_back(key);
        m_own.erase(it);
    }
    m_batch.clear();
}

std::size_t BillHolder::copiesHeld() const
{
    std::size_t n = 0;
    for (const auto& [holder, copies] : m_copies)
        n += copies.size();
    return n;
}

}
