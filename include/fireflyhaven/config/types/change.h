#pragma once

#include "fireflyhaven/config/types/lists.h"

namespace fireflyhaven::config {

// One fault of a document: where it stands (JSON path) and what was expected there.
struct Fault {
    std::string path;
    std::string expected;
    friend bool operator==(const Fault&, const Fault&) = default;
};

// Replacement, creation or removal of one list item.
struct Change {
    Collection collection = Collection::Plans;
    std::string key;
    // Revision of the item that the writer saw; 0 where the item must not exist yet.
    Offset expectedRevision;
    // Null removes the item.
    nlohmann::json body;
};

// Changes that are accepted together or not at all.
using ChangeSet = std::vector<Change>;

enum class ChangeOutcome { Accepted, Conflict, Invalid };

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Accepted;
    std::vector<Fault> faults;
};

const char* changeOutcomeName(ChangeOutcome outcome);

nlohmann::json changeSetToJson(const ChangeSet& changes);
// Returns no change set where the document has not the form that changeSetToJson writes.
std::optional<ChangeSet> changeSetFromJson(const nlohmann::json& document);

}
