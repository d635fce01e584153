#pragma once

#include "fireflyhaven/store/types/records.h"

#include <map>
#include <set>

namespace fireflyhaven::store {

// The keys of a topic that a host holds, and those that were deleted lately. After the store has come back from an
// older copy, they tell which of the copy's records the host has or has already seen deleted. Does no I/O.
class KnownKeys {
public:
    void onRecord(const KeyedRecord& record, TimePoint now);
    bool contains(const std::string& key) const { return m_keys.contains(key); }
    // Whether the key is neither held nor was deleted lately.
    bool isUnknown(const std::string& key) const { return !m_keys.contains(key) && !m_deletedAt.contains(key); }
    // The keys that the host holds and that are not among the records of a snapshot.
    std::vector<std::string> missingFrom(const std::vector<KeyedRecord>& snapshot) const;

private:
    std::set<std::string> m_keys;
    std::map<std::string, TimePoint> m_deletedAt;
};

}
