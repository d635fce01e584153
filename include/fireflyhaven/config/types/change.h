#pragma once

#include "fireflyhaven/config/types/lists.h"

namespace fireflyhaven::config {

// Error in a document: the JSON path of the invalid value and a description of the valid values.
struct ValidationError {
    std::string path;
    std::string expected;
    friend bool operator==(const ValidationError&, const ValidationError&) = default;
};

// Creation, replacement or removal of one list item.
struct Change {
    Collection collection = Collection::Plans;
    std::string key;
    // Revision on which the change is based, for optimistic concurrency control; 0 if the item must not exist yet.
    Offset expectedRevision;
    // New document of the item; null removes the item.
    nlohmann::json body;
};

// Changes that are applied atomically.
using ChangeSet = std::vector<Change>;

enum class ChangeOutcome { Accepted, Conflict, Invalid };

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Accepted;
    std::vector<ValidationError> errors;
};

const char* changeOutcomeName(ChangeOutcome outcome);

nlohmann::json changeSetToJson(const ChangeSet& changes);
// Returns no value if the document does not have the format that changeSetToJson writes.
std::optional<ChangeSet> changeSetFromJson(const nlohmann::json& document);

}
