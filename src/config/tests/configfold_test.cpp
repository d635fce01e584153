#include "fireflyhaven/config/configfold.h"

#include <random>

#include <algorithm>
#include <set>
#include <criterion/criterion.h>

using namespace fireflyhaven;
using namespace fireflyhaven::config;

namespace {

nlohmann::json sampleDocument()
{
    return nlohmann::json::parse(R"({
        "data_centres": {"dc1": {"region": "r"}},
        "versions": {"m@1": {"state": "active", "input_price": 1, "output_price": 2}},
        "upstreams": {"u1": {"address": "10.0.0.1:80", "data_centre": "dc1", "kind": "engine", "versions": ["m@1"],
                             "cold_limit": 1, "limit": 4}},
        "plans": {"p": {"quality_target": 0.9, "first_token_ms": 100, "deadline_ms": 1000, "requests_per_second": 5,
                        "concurrency": 5, "on_target_conflict": "time_first"}},
        "workspaces": {"w": {"plan": "p", "key_digest": "0000000000000000000000000000000000000000000000000000000000000000"}},
        "allowances": {"p/chat": {"uses": [{"version": "m@1", "share": 1}]}}})");
}

ConfigFold sampleFold()
{
    ConfigFold fold;
    const ChangeResult result = fold.apply(diffLists({}, sampleDocument()), Offset(1));
    cr_assert(result.outcome == ChangeOutcome::Accepted);
    return fold;
}

std::vector<std::string> errorPaths(const nlohmann::json& document)
{
    std::vector<ValidationError> errors;
    parseLists(document, errors);
    std::vector<std::string> paths;
    for (const ValidationError& it : errors)
        paths.push_back(it.path);
    return paths;
}

}

Test(lists, everyErrorIsReportedWithItsPath)
{
    nlohmann::json document = sampleDocument();
    document["plans"]["p"]["quality_target"] = 1.5;
    document["plans"]["p"]["surprise"] = 1;
    document["upstreams"]["u1"]["address"] = "host.name:80";
    document["versions"]["m"] = { { "state", "gone" } };
    const std::vector<std::string> paths = errorPaths(document);
    for (const std::string expected :
        { "$.plans[\"p\"].quality_target", "$.plans[\"p\"].surprise", "$.upstreams[\"u1\"].address",
            "$.versions[\"m\"]", "$.versions[\"m\"].state", "$.versions[\"m\"].input_price" })
        cr_assert(std::count(paths.begin(), paths.end(), expected) == 1, "%s is missing", expected.c_str());
}

Test(lists, malformedDocumentsAreRejected)
{
    for (const char* text : { "[]", "null", "1", "\"x\"", "{\"plans\": []}", "{\"plans\": {\"p\": 1}}",
             "{\"nothing\": {}}", "{\"allowances\": {\"p\": {\"uses\": []}}}",
             "{\"allowances\": {\"p/t\": {\"uses\": [{\"version\": \"m@1\", \"share\": -1}]}}}",
             "{\"upstreams\": {\"u\": {\"address\": \"1.2.3.4:99999999999999\"}}}",
             "{\"plans\": {\"p\": {\"deadline_ms\": 99999999999999999999}}}" })
        cr_assert_not(errorPaths(nlohmann::json::parse(text)).empty(), "%s", text);
}

Test(lists, listsRoundTripThroughJson)
{
    std::vector<ValidationError> errors;
    cr_assert(listsToJson(parseLists(sampleDocument(), errors)) == sampleDocument());
    cr_assert(errors.empty());
}

Test(lists, corruptedDocumentsAreRejectedOrParsedSafely)
{
    const std::string text = sampleDocument().dump();
    std::mt19937_64 random(5);
    int rejected = 0;
    constexpr int ATTEMPTS = 20'000;
    for (int n = 0; n < ATTEMPTS; ++n) {
        std::string corrupted = text;
        for (int k = 0; k < 2; ++k)
            corrupted[random() % corrupted.size()] = static_cast<char>(random());
        const nlohmann::json document = nlohmann::json::parse(corrupted, nullptr, false);
        std::vector<ValidationError> errors;
        const Lists lists = parseLists(document, errors);
        if (document.is_discarded() || !errors.empty() || !checkReferences(lists).empty()) {
            ++rejected;
            continue;
        }
        ConfigFold fold;
        cr_assert(
            fold.apply(diffLists({}, document), Offset(1)).outcome == ChangeOutcome::Accepted, "%s", corrupted.c_str());
    }
    cr_assert_gt(rejected, ATTEMPTS / 2);
    cr_assert_lt(rejected, ATTEMPTS);
}

Test(configfold, secondOfTwoConcurrentChangesConflicts)
{
    ConfigFold fold = sampleFold();
    nlohmann::json first = sampleDocument();
    first["plans"]["p"]["weight"] = 2;
    nlohmann::json second = sampleDocument();
    second["plans"]["p"]["weight"] = 3;
    const ChangeSet a = diffLists(fold.lists(), first);
    const ChangeSet b = diffLists(fold.lists(), second);
    cr_assert(fold.apply(a, Offset(2)).outcome == ChangeOutcome::Accepted);
    cr_assert(fold.apply(b, Offset(3)).outcome == ChangeOutcome::Conflict);
    cr_assert_eq(fold.lists().plans.at(PlanName("p")).value.weight, 2);
    cr_assert_eq(fold.revision().value(), 2);
}

Test(configfold, changeLeavingDanglingReferenceHasNoEffect)
{
    ConfigFold fold = sampleFold();
    const nlohmann::json before = fold.snapshot();
    nlohmann::json document = sampleDocument();
    document["versions"].erase("m@1");
    const ChangeResult result = fold.apply(diffLists(fold.lists(), document), Offset(2));
    cr_assert(result.outcome == ChangeOutcome::Invalid);
    cr_assert(fold.snapshot() == before);
}

Test(configfold, invalidItemRollsBackTheWholeChangeSet)
{
    ConfigFold fold = sampleFold();
    const nlohmann::json before = fold.snapshot();
    nlohmann::json document = sampleDocument();
    document["plans"]["p"]["weight"] = 9;
    document["plans"]["q"] = { { "weight", "heavy" } };
    cr_assert(fold.apply(diffLists(fold.lists(), document), Offset(2)).outcome == ChangeOutcome::Invalid);
    cr_assert(fold.snapshot() == before);
}

Test(configfold, snapshotRoundTripsTheState)
{
    const ConfigFold fold = sampleFold();
    cr_assert(ConfigFold::fromSnapshot(fold.snapshot()).snapshot() == fold.snapshot());
}

namespace {

// Reference implementation: keeps the whole document and validates all of it after each change set.
class ReferenceFold {
public:
    bool apply(const ChangeSet& changes, Offset offset)
    {
        nlohmann::json next = m_document;
        std::set<std::string> seen;
        for (const Change& it : changes) {
            const std::string name = collectionName(it.collection);
            const std::string id = name + "/" + it.key;
            if (!seen.insert(id).second)
                return false;
            const Offset currentRevision = m_revisions.count(id) ? m_revisions[id] : Offset(0);
            if (currentRevision != it.expectedRevision)
                return false;
            if (it.body.is_null())
                next[name].erase(it.key);
            else
                next[name][it.key] = it.body;
        }
        std::vector<ValidationError> errors;
        const Lists lists = parseLists(next, errors);
        if (!errors.empty() || !checkReferences(lists).empty())
            return false;
        m_document = next;
        for (const Change& it : changes) {
            const std::string id = std::string(collectionName(it.collection)) + "/" + it.key;
            m_revisions.erase(id);
            if (!it.body.is_null())
                m_revisions[id] = offset;
        }
        return true;
    }
    const nlohmann::json& document() const { return m_document; }

private:
    nlohmann::json m_document = listsToJson({});
    std::map<std::string, Offset> m_revisions;
};

ChangeSet randomChanges(std::mt19937_64& random, const Lists& lists)
{
    const auto randomBelow = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    const nlohmann::json document = sampleDocument();
    ChangeSet changes;
    for (int n = randomBelow(3) + 1; n > 0; --n) {
        const Collection collection = ALL_COLLECTIONS[randomBelow(6)];
        const nlohmann::json& items = document[collectionName(collection)];
        std::string key = items.begin().key();
        nlohmann::json body = *items.begin();
        if (randomBelow(3) == 0)
            key += "2";
        if (randomBelow(4) == 0)
            body = nullptr;
        else if (randomBelow(5) == 0)
            body["unknown"] = 1;
        const bool exists = collectionToJson(lists, collection).contains(key);
        const ChangeSet seen = diffLists(lists, { { collectionName(collection), nlohmann::json::object() } });
        Offset revision;
        for (const Change& it : seen) {
            if (it.key == key)
                revision = it.expectedRevision;
        }
        changes.push_back({ collection, key,
            exists && randomBelow(5) ? revision : Offset(static_cast<std::uint64_t>(randomBelow(3))), body });
    }
    return changes;
}

}

Test(configfold, matchesReferenceFoldOnRandomChanges)
{
    int accepted = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        ConfigFold fold = sampleFold();
        ReferenceFold reference;
        cr_assert(reference.apply(diffLists({}, sampleDocument()), Offset(1)));
        for (std::uint64_t n = 2; n < 40; ++n) {
            const ChangeSet changes = randomChanges(random, fold.lists());
            const bool ok = fold.apply(changes, Offset(n)).outcome == ChangeOutcome::Accepted;
            cr_assert_eq(ok, reference.apply(changes, Offset(n)), "seed %lu, change %lu: %s", seed, n,
                changeSetToJson(changes).dump().c_str());
            cr_assert(listsToJson(fold.lists()) == reference.document(), "seed %lu, change %lu", seed, n);
            accepted += ok ? 1 : 0;
        }
    }
    cr_assert_gt(accepted, 500);
}
