#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::config {

// Life-cycle state of a model version, set by operators.
enum class VersionState {
    Active,
    // Existing sessions continue; no new sessions are assigned.
    Retiring,
    // Receives no new requests, not even from existing sessions.
    Withdrawn,
};

enum class UpstreamKind { Engine, Service };

// Which target takes precedence if no permitted model version meets both the quality target and the deadline.
enum class TargetConflict { QualityFirst, TimeFirst };

struct DataCentre {
    RegionId region;
    bool inService = true;
};

struct Version {
    VersionState state = VersionState::Active;
    // Prices per 1,000 tokens.
    Cost inputPrice;
    Cost outputPrice;
    // Expected share of good answers, 0 to 1; the prior mean when the quality is estimated from ratings.
    double assumedQuality = 0.9;
    // Incremented to lift a suspension: the change gives the item a new revision, and a suspension applies only to
    // the revision that it was issued for and to earlier ones.
    std::int64_t reinstatements = 0;
};

struct Upstream {
    std::string ip;
    std::uint16_t port = 0;
    DataCentreId dataCentre;
    UpstreamKind kind = UpstreamKind::Engine;
    ServiceName service;
    std::vector<ModelVersion> versions;
    // Maximum in-flight requests of a cold and of a warm upstream.
    int coldLimit = 1;
    int limit = 1;
    // Whether the engine rejects requests with an outdated fencing token.
    bool checksFence = false;
    // Whether a call may be retried after an attempt with unknown outcome.
    bool repeatable = false;
    bool inService = true;
};

struct Plan {
    // Minimum share of answers that must be rated good, 0 to 1.
    double qualityTarget = 0;
    Duration firstTokenDeadline {};
    Duration deadline {};
    // 0 to 9; requests of lower priority are shed first.
    int priority = 5;
    // Relative share of a contended upstream among workspaces.
    int weight = 1;
    int requestsPerSecond = 0;
    // Maximum concurrent requests.
    int concurrency = 0;
    TargetConflict onConflict = TargetConflict::QualityFirst;
    std::vector<ServiceName> services;
};

struct Workspace {
    PlanName plan;
    // Hexadecimal digest of the workspace's API key.
    std::string keyDigest;
};

struct VersionShare {
    ModelVersion version;
    // Relative weight, 0 to 1, for new sessions among the versions of the same model.
    double share = 1;
};

struct AllowanceKey {
    PlanName plan;
    TaskName task;

    // Text form "plan/task".
    std::string text() const { return plan.value() + "/" + task.value(); }
    friend auto operator<=>(const AllowanceKey&, const AllowanceKey&) = default;
};

// Model versions that a plan may use for a task.
struct Allowance {
    std::vector<VersionShare> versionShares;
};

// Parsed list item, the document it was parsed from, and the log offset of the record that set it.
template <typename T> struct Item {
    T value;
    nlohmann::json body;
    Offset revision;
};

// Accepted configuration: all lists that operators edit.
struct Lists {
    std::map<DataCentreId, Item<DataCentre>> dataCentres;
    std::map<ModelVersion, Item<Version>> versions;
    std::map<UpstreamId, Item<Upstream>> upstreams;
    std::map<PlanName, Item<Plan>> plans;
    std::map<WorkspaceId, Item<Workspace>> workspaces;
    std::map<AllowanceKey, Item<Allowance>> allowances;
};

enum class Collection { DataCentres, Versions, Upstreams, Plans, Workspaces, Allowances };
constexpr Collection ALL_COLLECTIONS[] = { Collection::DataCentres, Collection::Versions, Collection::Upstreams,
    Collection::Plans, Collection::Workspaces, Collection::Allowances };

const char* collectionName(Collection collection);
std::optional<Collection> collectionFromName(const std::string& name);
const char* versionStateName(VersionState state);

// Returns null if the map does not contain the key.
template <typename Map, typename Key> auto findItem(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

}
