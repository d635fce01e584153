#pragma once

#include "fireflyhaven/config/types/change.h"

namespace fireflyhaven::config {

// Parses every item of a lists document ({"plans": {...}, "versions": {...}, ...}) and reports all faults.
// The revisions of the returned items are 0.
Lists parseLists(const nlohmann::json& document, std::vector<Fault>& faults);

// Reports references between items that lead nowhere.
std::vector<Fault> checkReferences(const Lists& lists);

// Works out the changes that turn the collections named in `document` into what it says; collections that the
// document does not name stay. The changes carry the revisions of `current`.
ChangeSet diffLists(const Lists& current, const nlohmann::json& document);

// Writes the lists as the document that parseLists reads.
nlohmann::json listsToJson(const Lists& lists);
nlohmann::json collectionToJson(const Lists& lists, Collection collection);

// Folds change sets, in the order of the log, into the accepted lists. Deterministic: every host that folds the same
// records holds the same lists and gives the same verdicts.
class ConfigFold {
public:
    // Checks a change set against the present lists without applying it.
    ChangeResult check(const ChangeSet& changes) const;
    // Applies the change set where `check` accepts it; `offset` becomes the revision of the items it sets.
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
