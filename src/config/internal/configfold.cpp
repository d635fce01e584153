#include "fireflyhaven/config/configfold.h"

#include "itemparser.h"
#include "listsaccess.h"

#include <algorithm>
#include <set>

namespace fireflyhaven::config {

namespace {

// Revision of the item, or 0 where there is none.
Offset revisionOf(const Lists& lists, Collection collection, const std::string& key)
{
    return visitCollection(lists, collection, [&](const auto& map) {
        const auto* item = findItem(map, keyFromText(map, key));
        return item ? item->revision : Offset(0);
    });
}

void addDeadReference(std::vector<Fault>& faults, Collection collection, const std::string& key,
    const std::string& field, const std::string& expected)
{
    faults.push_back({ .path = itemPath(collection, key) + "." + field, .expected = expected });
}

void checkUpstream(const Lists& lists, const UpstreamId& id, const Upstream& it, std::vector<Fault>& faults)
{
    if (!lists.dataCentres.count(it.dataCentre))
        addDeadReference(faults, Collection::Upstreams, id.value(), "data_centre", "a listed data centre");
    for (const ModelVersion& version : it.versions) {
        if (!lists.versions.count(version))
            addDeadReference(faults, Collection::Upstreams, id.value(), "versions", "listed versions");
    }
}

void checkAllowance(const Lists& lists, const AllowanceKey& key, const Allowance& it, std::vector<Fault>& faults)
{
    if (!lists.plans.count(key.plan))
        addDeadReference(faults, Collection::Allowances, key.text(), "plan", "a listed plan");
    for (const AllowanceUse& use : it.uses) {
        if (!lists.versions.count(use.version))
            addDeadReference(faults, Collection::Allowances, key.text(), "uses", "listed versions");
    }
}

void checkWorkspace(const Lists& lists, const WorkspaceId& id, const Workspace& it, std::vector<Fault>& faults)
{
    if (!lists.plans.count(it.plan))
        addDeadReference(faults, Collection::Workspaces, id.value(), "plan", "a listed plan");
}

// Checks the references that the item makes.
void checkItem(const Lists& lists, Collection collection, const std::string& key, std::vector<Fault>& faults)
{
    if (collection == Collection::Upstreams) {
        const UpstreamId id(key);
        checkUpstream(lists, id, lists.upstreams.at(id).value, faults);
    } else if (collection == Collection::Workspaces) {
        const WorkspaceId id(key);
        checkWorkspace(lists, id, lists.workspaces.at(id).value, faults);
    } else if (collection == Collection::Allowances) {
        const AllowanceKey id = keyFromText(lists.allowances, key);
        checkAllowance(lists, id, lists.allowances.at(id).value, faults);
    }
}

bool removesReferable(const Change& change)
{
    const bool referable = change.collection == Collection::DataCentres || change.collection == Collection::Versions
        || change.collection == Collection::Plans;
    return change.body.is_null() && referable;
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

UndoStep rememberItem(const Lists& lists, const Change& change)
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
    std::vector<Fault> ignored;
    parseItem(lists, step.collection, step.key, *step.body, {}, ignored);
    setRevision(lists, step.collection, step.key, step.revision);
}

std::vector<Fault> applyChanges(Lists& lists, const ChangeSet& changes, Offset offset)
{
    std::vector<Fault> faults;
    bool checkAll = false;
    for (const Change& it : changes) {
        checkAll = checkAll || removesReferable(it);
        if (it.body.is_null()) {
            eraseItem(lists, it.collection, it.key);
            continue;
        }
        const std::size_t before = faults.size();
        parseItem(lists, it.collection, it.key, it.body, itemPath(it.collection, it.key), faults);
        if (faults.size() == before)
            setRevision(lists, it.collection, it.key, offset);
    }
    if (!faults.empty())
        return faults;
    if (checkAll)
        return checkReferences(lists);
    for (const Change& it : changes) {
        if (!it.body.is_null())
            checkItem(lists, it.collection, it.key, faults);
    }
    return faults;
}

bool namesAnItemTwice(const ChangeSet& changes)
{
    std::set<std::pair<Collection, std::string>> seen;
    return std::any_of(
        changes.begin(), changes.end(), [&](const Change& it) { return !seen.emplace(it.collection, it.key).second; });
}

// Applies the changes and takes them back where they are at fault.
ChangeResult tryChanges(Lists& lists, const ChangeSet& changes, Offset offset, bool keep)
{
    if (namesAnItemTwice(changes))
        return { .outcome = ChangeOutcome::Invalid, .faults = { { "$", "each item once" } } };
    for (const Change& it : changes) {
        if (revisionOf(lists, it.collection, it.key) != it.expectedRevision)
            return { .outcome = ChangeOutcome::Conflict,
                .faults = { { itemPath(it.collection, it.key), "the present revision" } } };
    }
    std::vector<UndoStep> undo;
    for (const Change& it : changes)
        undo.push_back(rememberItem(lists, it));
    std::vector<Fault> faults = applyChanges(lists, changes, offset);
    if (!faults.empty() || !keep) {
        for (auto it = undo.rbegin(); it != undo.rend(); ++it)
            restoreItem(lists, *it);
    }
    if (faults.empty())
        return {};
    return { .outcome = ChangeOutcome::Invalid, .faults = std::move(faults) };
}

}

Lists parseLists(const nlohmann::json& document, std::vector<Fault>& faults)
{
    Lists lists;
    if (!document.is_object()) {
        faults.push_back({ .path = "$", .expected = "an object" });
        return lists;
    }
    for (const auto& [name, items] : document.items()) {
        const std::optional<Collection> collection = collectionFromName(name);
        if (!collection) {
            faults.push_back({ .path = "$." + name, .expected = "no such list" });
            continue;
        }
        if (!items.is_object()) {
            faults.push_back({ .path = "$." + name, .expected = "an object" });
            continue;
        }
        for (const auto& [key, body] : items.items())
            parseItem(lists, *collection, key, body, itemPath(*collection, key), faults);
    }
    return lists;
}

std::vector<Fault> checkReferences(const Lists& lists)
{
    std::vector<Fault> faults;
    for (const auto& [id, it] : lists.upstreams)
        checkUpstream(lists, id, it.value, faults);
    for (const auto& [id, it] : lists.workspaces)
        checkWorkspace(lists, id, it.value, faults);
    for (const auto& [key, it] : lists.allowances)
        checkAllowance(lists, key, it.value, faults);
    return faults;
}

ChangeSet diffLists(const Lists& current, const nlohmann::json& document)
{
    ChangeSet changes;
    for (const auto& named : document.items()) {
        const std::optional<Collection> collection = collectionFromName(named.key());
        const nlohmann::json& items = named.value();
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
    return tryChanges(lists, changes, m_revision.next(), false);
}

ChangeResult ConfigFold::apply(const ChangeSet& changes, Offset offset)
{
    ChangeResult result = tryChanges(m_lists, changes, offset, true);
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
    std::vector<Fault> ignored;
    fold.m_lists = parseLists(document.at("lists"), ignored);
    fold.m_revision = Offset(document.at("revision").get<std::uint64_t>());
    for (const auto& [name, items] : document.at("revisions").items()) {
        for (const auto& [key, revision] : items.items())
            setRevision(fold.m_lists, collectionFromName(name).value(), key, Offset(revision.get<std::uint64_t>()));
    }
    return fold;
}

}
