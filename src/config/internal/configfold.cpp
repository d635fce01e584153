#include "fireflyhaven/config/configfold.h"

#include "itemparser.h"
#include "listsaccess.h"

#include <algorithm>
#include <set>

namespace fireflyhaven::config {

namespace {

// Returns 0 if the item does not exist.
Offset revisionOf(const Lists& lists, Collection collection, const std::string& key)
{
    return visitCollection(lists, collection, [&](const auto& map) {
        const auto* item = findItem(map, keyFromText(map, key));
        return item ? item->revision : Offset(0);
    });
}

void addDanglingReference(std::vector<ValidationError>& errors, Collection collection, const std::string& key,
    const std::string& field, const std::string& expected)
{
    errors.push_back({ .path = itemPath(collection, key) + "." + field, .expected = expected });
}

void checkUpstreamReferences(
    const Lists& lists, const UpstreamId& id, const Upstream& it, std::vector<ValidationError>& errors)
{
    if (!lists.dataCentres.count(it.dataCentre))
        addDanglingReference(errors, Collection::Upstreams, id.value(), "data_centre", "a listed data centre");
    for (const ModelVersion& version : it.versions) {
        if (!lists.versions.count(version))
            addDanglingReference(errors, Collection::Upstreams, id.value(), "versions", "listed versions");
    }
}

void checkAllowanceReferences(
    const Lists& lists, const AllowanceKey& key, const Allowance& it, std::vector<ValidationError>& errors)
{
    if (!lists.plans.count(key.plan))
        addDanglingReference(errors, Collection::Allowances, key.text(), "plan", "a listed plan");
    for (const VersionShare& versionShare : it.versionShares) {
        if (!lists.versions.count(versionShare.version))
            addDanglingReference(errors, Collection::Allowances, key.text(), "uses", "listed versions");
    }
}

void checkWorkspaceReferences(
    const Lists& lists, const WorkspaceId& id, const Workspace& it, std::vector<ValidationError>& errors)
{
    if (!lists.plans.count(it.plan))
        addDanglingReference(errors, Collection::Workspaces, id.value(), "plan", "a listed plan");
}

void checkItemReferences(
    const Lists& lists, Collection collection, const std::string& key, std::vector<ValidationError>& errors)
{
    if (collection == Collection::Upstreams) {
        const UpstreamId id(key);
        checkUpstreamReferences(lists, id, lists.upstreams.at(id).value, errors);
    } else if (collection == Collection::Workspaces) {
        const WorkspaceId id(key);
        checkWorkspaceReferences(lists, id, lists.workspaces.at(id).value, errors);
    } else if (collection == Collection::Allowances) {
        const AllowanceKey id = keyFromText(lists.allowances, key);
        checkAllowanceReferences(lists, id, lists.allowances.at(id).value, errors);
    }
}

bool removesReferenceTarget(const Change& change)
{
    const bool referenceTarget = change.collection == Collection::DataCentres
        || change.collection == Collection::Versions || change.collection == Collection::Plans;
    return change.body.is_null() && referenceTarget;
}

struct UndoStep {
    Collection collection;
    std::string key;
    std::optional<nlohmann::json> body;
    Offset revision;
};

void eraseItem(Lists& lists, Collection collection, const std::string& key)
{
    visitCollection(lists, collection, [&](auto& map) { map.erase(keyFromText(map, key)); });
}

void setRevision(Lists& lists, Collection collection, const std::string& key, Offset revision)
{
    visitCollection(lists, collection, [&](auto& map) { map.at(keyFromText(map, key)).revision = revision; });
}

UndoStep saveItem(const Lists& lists, const Change& change)
{
    UndoStep step { .collection = change.collection, .key = change.key, .body = {}, .revision = Offset(0) };
    visitCollection(lists, change.collection, [&](const auto& map) {
        if (const auto* item = findItem(map, keyFromText(map, change.key))) {
            step.body = item->body;
            step.revision = item->revision;
        }
    });
    return step;
}

void restoreItem(Lists& lists, const UndoStep& step)
{
    eraseItem(lists, step.collection, step.key);
    if (!step.body)
        return;
    std::vector<ValidationError> ignored;
    parseItem(lists, step.collection, step.key, *step.body, {}, ignored);
    setRevision(lists, step.collection, step.key, step.revision);
}

std::vector<ValidationError> applyChanges(Lists& lists, const ChangeSet& changes, Offset offset)
{
    std::vector<ValidationError> errors;
    bool checkAllReferences = false;
    for (const Change& it : changes) {
        checkAllReferences = checkAllReferences || removesReferenceTarget(it);
        if (it.body.is_null()) {
            eraseItem(lists, it.collection, it.key);
            continue;
        }
        const std::size_t previousErrorCount = errors.size();
        parseItem(lists, it.collection, it.key, it.body, itemPath(it.collection, it.key), errors);
        if (errors.size() == previousErrorCount)
            setRevision(lists, it.collection, it.key, offset);
    }
    if (!errors.empty())
        return errors;
    if (checkAllReferences)
        return checkReferences(lists);
    for (const Change& it : changes) {
        if (!it.body.is_null())
            checkItemReferences(lists, it.collection, it.key, errors);
    }
    return errors;
}

bool hasDuplicateItems(const ChangeSet& changes)
{
    std::set<std::pair<Collection, std::string>> seenItems;
    return std::any_of(changes.begin(), changes.end(),
        [&](const Change& it) { return !seenItems.emplace(it.collection, it.key).second; });
}

// Applies the changes, and rolls them back if one is invalid or `commit` is false.
ChangeResult applyOrRollBack(Lists& lists, const ChangeSet& changes, Offset offset, bool commit)
{
    if (hasDuplicateItems(changes))
        return { .outcome = ChangeOutcome::Invalid, .errors = { { "$", "each item once" } } };
    for (const Change& it : changes) {
        if (revisionOf(lists, it.collection, it.key) != it.expectedRevision)
            return { .outcome = ChangeOutcome::Conflict,
                .errors = { { itemPath(it.collection, it.key), "the present revision" } } };
    }
    std::vector<UndoStep> undoSteps;
    for (const Change& it : changes)
        undoSteps.push_back(saveItem(lists, it));
    std::vector<ValidationError> errors = applyChanges(lists, changes, offset);
    if (!errors.empty() || !commit) {
        for (auto it = undoSteps.rbegin(); it != undoSteps.rend(); ++it)
            restoreItem(lists, *it);
    }
    if (errors.empty())
        return {};
    return { .outcome = ChangeOutcome::Invalid, .errors = std::move(errors) };
}

}

Lists parseLists(const nlohmann::json& document, std::vector<ValidationError>& errors)
{
    Lists lists;
    if (!document.is_object()) {
        errors.push_back({ .path = "$", .expected = "an object" });
        return lists;
    }
    for (const auto& [name, items] : document.items()) {
        const std::optional<Collection> collection = collectionFromName(name);
        if (!collection) {
            errors.push_back({ .path = "$." + name, .expected = "no such list" });
            continue;
        }
        if (!items.is_object()) {
            errors.push_back({ .path = "$." + name, .expected = "an object" });
            continue;
        }
        for (const auto& [key, body] : items.items())
            parseItem(lists, *collection, key, body, itemPath(*collection, key), errors);
    }
    return lists;
}

std::vector<ValidationError> checkReferences(const Lists& lists)
{
    std::vector<ValidationError> errors;
    for (const auto& [id, it] : lists.upstreams)
        checkUpstreamReferences(lists, id, it.value, errors);
    for (const auto& [id, it] : lists.workspaces)
        checkWorkspaceReferences(lists, id, it.value, errors);
    for (const auto& [key, it] : lists.allowances)
        checkAllowanceReferences(lists, key, it.value, errors);
    return errors;
}

ChangeSet diffLists(const Lists& current, const nlohmann::json& document)
{
    ChangeSet changes;
    for (const auto& list : document.items()) {
        const std::optional<Collection> collection = collectionFromName(list.key());
        const nlohmann::json& items = list.value();
        if (!collection)
            continue;
        visitCollection(current, *collection, [&](const auto& map) {
            for (const auto& [key, item] : map) {
                if (!items.contains(keyText(key)))
                    changes.push_back({ *collection, keyText(key), item.revision, nullptr });
            }
            for (const auto& [key, body] : items.items()) {
                const auto* item = findItem(map, keyFromText(map, key));
                if (!item || item->body != body)
                    changes.push_back({ *collection, key, item ? item->revision : Offset(0), body });
            }
        });
    }
    return changes;
}

nlohmann::json collectionToJson(const Lists& lists, Collection collection)
{
    nlohmann::json items = nlohmann::json::object();
    visitCollection(lists, collection, [&](const auto& map) {
        for (const auto& [key, item] : map)
            items[keyText(key)] = item.body;
    });
    return items;
}

nlohmann::json listsToJson(const Lists& lists)
{
    nlohmann::json document = nlohmann::json::object();
    for (const Collection collection : ALL_COLLECTIONS)
        document[collectionName(collection)] = collectionToJson(lists, collection);
    return document;
}

ChangeResult ConfigFold::check(const ChangeSet& changes) const
{
    Lists lists = m_lists;
    return applyOrRollBack(lists, changes, m_revision.next(), false);
}

ChangeResult ConfigFold::apply(const ChangeSet& changes, Offset offset)
{
    ChangeResult result = applyOrRollBack(m_lists, changes, offset, true);
    if (result.outcome == ChangeOutcome::Accepted)
        m_revision = offset;
    return result;
}

nlohmann::json ConfigFold::snapshot() const
{
    nlohmann::json revisions = nlohmann::json::object();
    for (const Collection collection : ALL_COLLECTIONS) {
        nlohmann::json& items = revisions[collectionName(collection)] = nlohmann::json::object();
        visitCollection(m_lists, collection, [&](const auto& map) {
            for (const auto& [key, item] : map)
                items[keyText(key)] = item.revision.value();
        });
    }
    return { { "lists", listsToJson(m_lists) }, { "revisions", revisions }, { "revision", m_revision.value() } };
}

ConfigFold ConfigFold::fromSnapshot(const nlohmann::json& document)
{
    ConfigFold fold;
    std::vector<ValidationError> ignored;
    fold.m_lists = parseLists(document.at("lists"), ignored);
    fold.m_revision = Offset(document.at("revision").get<std::uint64_t>());
    for (const auto& [name, items] : document.at("revisions").items()) {
        for (const auto& [key, revision] : items.items())
            setRevision(fold.m_lists, collectionFromName(name).value(), key, Offset(revision.get<std::uint64_t>()));
    }
    return fold;
}

}
