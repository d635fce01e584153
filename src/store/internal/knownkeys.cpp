#include "fireflyhaven/store/knownkeys.h"

namespace fireflyhaven::store {

namespace {
// Deletions are remembered for longer than a copy of the store is old.
constexpr Duration DELETION_RETENTION { 60'000 };
}

void KnownKeys::onRecord(const KeyedRecord& record, TimePoint now)
{
    std::erase_if(m_deletedAt, [&](const auto& it) { return now - it.second >= DELETION_RETENTION; });
    if (record.value) {
        m_keys.insert(record.key);
        m_deletedAt.erase(record.key);
        return;
    }
    if (m_keys.erase(record.key) > 0)
        m_deletedAt[record.key] = now;
}

std::vector<std::string> KnownKeys::missingFrom(const std::vector<KeyedRecord>& snapshot) const
{
    std::set<std::string> missing = m_keys;
    for (const KeyedRecord& it : snapshot)
        missing.erase(it.key);
    return { missing.begin(), missing.end() };
}

}
