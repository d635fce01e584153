#pragma once

#include "fireflyhaven/config/types/change.h"

namespace fireflyhaven::config {

// Parses a lists document ({"plans": {...}, "versions": {...}, ...}) and appends every validation error to `errors`.
// The returned items have revision 0.
Lists parseLists(const nlohmann::json& document, std::vector<ValidationError>& errors);

// Returns an error for each reference to an item that does not exist.
std::vector<ValidationError> checkReferences(const Lists& lists);

// Computes the changes that make the collections in `document` equal to it; other collections stay unchanged. The
// expected revisions of the changes are those of `current`.
ChangeSet diffLists(const Lists& current, const nlohmann::json& document);

// Serializes the lists in the format that parseLists reads.
nlohmann::json listsToJson(const Lists& lists);
nlohmann::json collectionToJson(const Lists& lists, Collection collection);

// Replicated state machine of the configuration: applies change sets in log order. Deterministic: hosts that apply the
// same records have the same lists and accept or reject the same changes.
class ConfigFold {
public:
    // Validates a change set against the current lists without applying it.
    ChangeResult check(const ChangeSet& changes) const;
    // Applies the change set atomically if `check` accepts it; `offset` becomes the revision of the items that it sets.
    ChangeResult apply(const ChangeSet& changes, Offset offset);

    const Lists& lists() const { return m_lists; }
    // Offset of the last accepted change set.
    Offset revision() const { return m_revision; }

    nlohmann::json snapshot() const;
    static ConfigFold fromSnapshot(const nlohmann::json& document);

private:
    Lists m_lists;
    Offset m_revision;
};

}
