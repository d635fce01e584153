#include "fireflyhaven/config/types/change.h"

namespace fireflyhaven::config {

const char* collectionName(Collection collection)
{
    switch (collection) {
    case Collection::DataCentres:
        return "data_centres";
    case Collection::Versions:
        return "versions";
    case Collection::Upstreams:
        return "upstreams";
    case Collection::Plans:
        return "plans";
    case Collection::Workspaces:
        return "workspaces";
    case Collection::Allowances:
        return "allowances";
    }
    return "";
}

std::optional<Collection> collectionFromName(const std::string& name)
{
    for (const Collection it : ALL_COLLECTIONS) {
        if (name == collectionName(it))
            return it;
    }
    return std::nullopt;
}

const char* versionStateName(VersionState state)
{
    switch (state) {
    case VersionState::Active:
        return "active";
    case VersionState::Retiring:
        return "retiring";
    case VersionState::Withdrawn:
        return "withdrawn";
    }
    return "";
}

const char* changeOutcomeName(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::Invalid:
        return "invalid";
    }
    return "";
}

nlohmann::json changeSetToJson(const ChangeSet& changes)
{
    nlohmann::json document = nlohmann::json::array();
    for (const Change& it : changes) {
        document.push_back({ { "collection", collectionName(it.collection) }, { "key", it.key },
            { "expected_revision", it.expectedRevision.value() }, { "body", it.body } });
    }
    return document;
}

std::optional<ChangeSet> changeSetFromJson(const nlohmann::json& document)
{
    if (!document.is_array())
        return std::nullopt;
    ChangeSet changes;
    for (const nlohmann::json& it : document) {
        const bool complete = it.is_object() && it.contains("collection") && it["collection"].is_string()
            && it.contains("key") && it["key"].is_string() && it.contains("expected_revision")
            && it["expected_revision"].is_number_unsigned() && it.contains("body");
        const auto collection = complete ? collectionFromName(it["collection"]) : std::nullopt;
        if (!collection)
            return std::nullopt;
        changes.push_back({ *collection, it["key"], Offset(it["expected_revision"].get<std::uint64_t>()), it["body"] });
    }
    return changes;
}

}
