#include "adminservice.h"

#include "billingservice.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/types/status.h"

namespace fireflyhaven::node {

namespace {
constexpr Duration ACCEPT_TIMEOUT { 10'000 };
constexpr Duration IN_FORCE_TIMEOUT { 15'000 };
const std::string CONFIG_PATH = "/admin/v1/config";

// Assignment of one field by an operator's action. Without a collection, the action applies to data centres and
// upstreams.
struct Action {
    const char* name;
    std::optional<config::Collection> collection;
    const char* field;
    nlohmann::json value;
};

const std::vector<Action>& actions()
{
    static const std::vector<Action> ACTIONS {
        { "drain", std::nullopt, "in_service", false },
        { "restore", std::nullopt, "in_service", true },
        { "withdraw", config::Collection::Versions, "state", "withdrawn" },
        { "retire", config::Collection::Versions, "state", "retiring" },
        { "activate", config::Collection::Versions, "state", "active" },
    };
    return ACTIONS;
}

nlohmann::json errorsToJson(const std::vector<config::ValidationError>& errors)
{
    nlohmann::json list = nlohmann::json::array();
    for (const config::ValidationError& it : errors)
        list.push_back({ { "path", it.path }, { "expected", it.expected } });
    return list;
}

http::Response validationErrorResponse(
    int status, const std::string& code, const std::vector<config::ValidationError>& errors)
{
    nlohmann::json body = errorBody({ .code = code, .message = "the lists were not accepted" }, {});
    body["faults"] = errorsToJson(errors);
    return jsonResponse(status, body);
}

// Returns the item's document after the action, or null if the action does not apply to the collection.
nlohmann::json itemAfterAction(const std::string& action, config::Collection collection, nlohmann::json body)
{
    if (action == "reinstate" && collection == config::Collection::Versions) {
        body["reinstated"] = body.value("reinstated", 0) + 1;
        return body;
    }
    for (const Action& it : actions()) {
        const bool hasInServiceField
            = collection == config::Collection::DataCentres || collection == config::Collection::Upstreams;
        const bool applies = it.collection ? *it.collection == collection : hasInServiceField;
        if (action != it.name || !applies)
            continue;
        body[it.field] = it.value;
        return body;
    }
    return nullptr;
}

std::string textField(const nlohmann::json& document, const char* name)
{
    return document.is_object() && document.contains(name) && document[name].is_string()
        ? document[name].get<std::string>()
        : std::string();
}

}

AdminService::AdminService(
    const NodeSettings& settings, const IClock& clock, telemetry::Metrics& metrics, ClusterReplica& replica, Dump dump)
    : m_settings(settings)
    , m_clock(clock)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_dump(std::move(dump))
{
}

http::Response AdminService::handle(const http::Request& request)
{
    const std::string& header = request.header("authorization");
    const std::string scheme = "Bearer ";
    const bool authorized
        = header.rfind(scheme, 0) == 0 && digestHex(header.substr(scheme.size())) == m_settings.operatorKeyDigest;
    if (!authorized) {
        return errorResponse(
            { .status = STATUS_UNAUTHORIZED, .code = "unauthenticated", .message = "the operator's key is needed" },
            {});
    }
    if (request.path.rfind(CONFIG_PATH, 0) == 0) {
        const std::string rest = request.path.substr(CONFIG_PATH.size());
        const std::string collection = rest.empty() ? rest : rest.substr(1);
        if (request.method == "GET")
            return getConfig(collection);
        if (request.method == "PUT")
            return putConfig(request, collection);
    }
    if (request.path == "/admin/v1/actions" && request.method == "POST")
        return applyAction(request);
    if (request.path == "/admin/v1/state")
        return jsonResponse(STATUS_OK, m_dump());
    if (request.path == "/admin/v1/bills") {
        return handleFailure(
            [&]() -> Result<http::Response> {
                BOOST_LEAF_AUTO(summary, summarizeBills(m_settings.platformAddress));
                return jsonResponse(STATUS_OK, summary);
            },
            [](const Failure& it) {
                return errorResponse(
                    { .status = STATUS_UNAVAILABLE, .code = "log_unavailable", .message = it.message }, {});
            });
    }
    return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no such path" }, {});
}

http::Response AdminService::getConfig(const std::string& collection) const
{
    const std::optional<config::Collection> requested = config::collectionFromName(collection);
    if (!collection.empty() && !requested)
        return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no such list" }, {});
    return m_replica.read([&](const ReplicaState& state) {
        const config::ConfigFold& fold = state.fold.config();
        http::Response response = jsonResponse(
            200, requested ? config::collectionToJson(fold.lists(), *requested) : config::listsToJson(fold.lists()));
        response.headers["ETag"] = "\"" + std::to_string(fold.revision().value()) + "\"";
        return response;
    });
}

http::Response AdminService::putConfig(const http::Request& request, const std::string& collection)
{
    const std::optional<nlohmann::json> body = parseJson(request.body);
    if (!body)
        return errorResponse(
            { .status = STATUS_BAD_REQUEST, .code = "bad_request", .message = "the body is not JSON" }, {});
    if (!collection.empty() && !config::collectionFromName(collection))
        return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no such list" }, {});
    const nlohmann::json document = collection.empty() ? *body : nlohmann::json { { collection, *body } };
    std::vector<config::ValidationError> errors;
    config::parseLists(document, errors);
    if (!errors.empty())
        return validationErrorResponse(STATUS_UNPROCESSABLE, "invalid", errors);
    config::ChangeSet changes;
    config::ChangeResult checkResult;
    const std::string expectedRevision = request.header("if-match");
    const bool revisionMatches = m_replica.read([&](const ReplicaState& state) {
        const config::ConfigFold& fold = state.fold.config();
        if (!expectedRevision.empty() && expectedRevision != "\"" + std::to_string(fold.revision().value()) + "\"")
            return false;
        changes = config::diffLists(fold.lists(), document);
        checkResult = fold.check(changes);
        return true;
    });
    if (!revisionMatches) {
        return validationErrorResponse(STATUS_CONFLICT, "conflict",
            { { .path = "If-Match", .expected = "the present revision; fetch the lists again" } });
    }
    if (checkResult.outcome != config::ChangeOutcome::Accepted)
        return validationErrorResponse(
            STATUS_UNPROCESSABLE, config::changeOutcomeName(checkResult.outcome), checkResult.errors);
    return submitChanges(changes, request);
}

http::Response AdminService::submitChanges(const config::ChangeSet& changes, const http::Request& request)
{
    Offset offset = m_replica.read([](const ReplicaState& state) { return state.fold.config().revision(); });
    if (!changes.empty()) {
        std::optional<http::Response> refusal;
        handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(written,
                    m_replica.write(cluster::ConfigEntry { .changes = changes },
                        m_replica.logReachable() ? ACCEPT_TIMEOUT : Duration(0)));
                offset = written.offset;
                const cluster::EntryOutcome& outcome = written.outcome;
                if (outcome.kind == cluster::EntryOutcome::Kind::Conflict)
                    refusal = validationErrorResponse(STATUS_CONFLICT, "conflict", outcome.errors);
                else if (!outcome.accepted())
                    refusal = validationErrorResponse(STATUS_UNPROCESSABLE, "invalid", outcome.errors);
                return true;
            },
            [&](const Failure& it) {
                const bool outcomeUnknown = it.code == ErrorCode::OutcomeUnknown;
                refusal = errorResponse({ .status = outcomeUnknown ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE,
                                            .code = outcomeUnknown ? "outcome_unknown" : "log_unavailable",
                                            .message = it.message,
                                            .run = outcomeUnknown ? RunState::Unknown : RunState::NotRun },
                    {});
                return false;
            });
        m_metrics.count(refusal ? "config_changes_refused" : "config_changes_accepted");
        if (refusal)
            return std::move(*refusal);
    }
    nlohmann::json body { { "accepted", true }, { "revision", offset }, { "changes", changes.size() } };
    if (request.parameter("wait") == "in_force") {
        const std::vector<HostId> pendingHosts = awaitInForce(offset);
        body["in_force"] = pendingHosts.empty();
        body["missing"] = pendingHosts;
    }
    http::Response response = jsonResponse(STATUS_OK, body);
    response.headers["ETag"] = "\"" + std::to_string(offset.value()) + "\"";
    return response;
}

std::vector<HostId> AdminService::awaitInForce(Offset offset) const
{
    std::vector<HostId> pendingHosts;
    const auto inForceOnAllMembers = [&](const ReplicaState& state) {
        pendingHosts.clear();
        for (const auto& [id, member] : state.fold.membership().members()) {
            const membership::HostReport* report = state.tracker.reportOf(id, m_clock.now());
            const bool self = id == m_settings.host;
            if (!self && (!report || report->governingOffset < offset))
                pendingHosts.push_back(id);
        }
        return pendingHosts.empty();
    };
    m_replica.await(inForceOnAllMembers, IN_FORCE_TIMEOUT);
    return pendingHosts;
}

http::Response AdminService::applyAction(const http::Request& request)
{
    const nlohmann::json document = parseJson(request.body).value_or(nlohmann::json());
    const std::string action = textField(document, "action");
    const std::string key = textField(document, "key");
    const std::optional<config::Collection> collection = config::collectionFromName(textField(document, "collection"));
    if (action.empty() || key.empty() || !collection) {
        return errorResponse({ .status = STATUS_BAD_REQUEST,
                                 .code = "bad_request",
                                 .message = "expected \"action\", \"collection\" and \"key\"" },
            {});
    }
    // Another operator may change the item at the same time. The action is then applied again to the changed item.
    constexpr int MAX_ATTEMPTS = 5;
    http::Response response;
    for (int n = 0; n < MAX_ATTEMPTS; ++n) {
        const nlohmann::json items = m_replica.read([&](const ReplicaState& state) {
            return config::collectionToJson(state.fold.config().lists(), *collection);
        });
        if (!items.contains(key))
            return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no item " + key }, {});
        const nlohmann::json changed = itemAfterAction(action, *collection, items[key]);
        if (changed.is_null()) {
            return errorResponse({ .status = STATUS_BAD_REQUEST,
                                     .code = "bad_request",
                                     .message = "no action " + action + " on this list" },
                {});
        }
        nlohmann::json desiredItems = items;
        desiredItems[key] = changed;
        const config::ChangeSet changes = m_replica.read([&](const ReplicaState& state) {
            return config::diffLists(
                state.fold.config().lists(), { { config::collectionName(*collection), desiredItems } });
        });
        response = submitChanges(changes, request);
        if (response.status != STATUS_CONFLICT)
            break;
    }
    return response;
}

}
