#pragma once

#include "fireflyhaven/common/clock.h"
#include "fireflyhaven/common/types/ids.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflyhaven::config {

// Life cycle of a model version as operators see it.
enum class VersionState {
    Active,
    // Keeps its sessions and takes no new ones.
    Retiring,
    // Receives no new work.
    Withdrawn,
};

enum class UpstreamKind { Engine, Service };

// What to prefer when no permitted choice meets both the quality target and the deadline.
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
    // Share of good answers that the operator expects before ratings tell.
    double assumedQuality = 0.9;
    // Raised by an operator to lift a suspension.
    std::int64_t reinstated = 0;
};

struct Upstream {
    std::string ip;
    std::uint16_t port = 0;
    DataCentreId dataCentre;
    UpstreamKind kind = UpstreamKind::Engine;
    ServiceName service;
    std::vector<ModelVersion> versions;
    // Most requests in flight that a cold and a warm upstream bear.
    int coldLimit = 1;
    int limit = 1;
    // Whether the engine refuses an order with an old fencing number.
    bool checksFence = false;
    // Whether a call may be sent again after an attempt of unknown outcome.
    bool repeatable = false;
    bool inService = true;
};

struct Plan {
    // Least share of answers that must be rated good, 0 to 1.
    double qualityTarget = 0;
    Duration firstTokenDeadline {};
    Duration deadline {};
    // 0 is shed first, 9 last.
    int priority = 5;
    // Share of a contended upstream relative to other workspaces.
    int weight = 1;
    int requestsPerSecond = 0;
    int concurrency = 0;
    TargetConflict onConflict = TargetConflict::QualityFirst;
    std::vector<ServiceName> services;
};

struct Workspace {
    PlanName plan;
    // Hexadecimal digest of the workspace's API key.
    std::string keyDigest;
};

struct AllowanceUse {
    ModelVersion version;
    // Weight of the version among the versions of the same model for new sessions.
    double share = 1;
};

struct AllowanceKey {
    PlanName plan;
    TaskName task;

    // Text form "plan/task".
    std::string text() const { return plan.value() + "/" + task.value(); }
    friend auto operator<=>(const AllowanceKey&, const AllowanceKey&) = default;
};

struct Allowance {
    std::vector<AllowanceUse> uses;
};

// A list item together with the document it was read from and the offset of the record that set it.
template <typename T> struct Item {
    T value;
    nlohmann::json body;
    Offset revision;
};

// All lists that operators edit, as accepted.
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

// Looks an item up; null where there is none.
template <typename Map, typename Key> auto findItem(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

}
