#include "adminservice.h"

#include "billingservice.h"
#include "fireflyhaven/common/json.h"
#include "fireflyhaven/http/types/status.h"

namespace fireflyhaven::node {

namespace {
constexpr Duration ACCEPT_WAIT { 10'000 };
constexpr Duration IN_FORCE_WAIT { 15'000 };
const std::string CONFIG_PATH = "/admin/v1/config";

// One field that an action sets.
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

nlohmann::json faultsToJson(const std::vector<config::Fault>& faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const config::Fault& it : faults)
        list.push_back({ { "path", it.path }, { "expected", it.expected } });
    return list;
}

http::Response faultResponse(int status, const std::string& code, const std::vector<config::Fault>& faults)
{
    nlohmann::json body = errorBody({ .code = code, .message = "the lists were not accepted" }, {});
    body["faults"] = faultsToJson(faults);
    return jsonResponse(status, body);
}

// The item's document after the action; null where the action does not apply to the collection.
nlohmann::json changedBody(const std::string& action, config::Collection collection, nlohmann::json body)
{
    if (action == "reinstate" && collection == config::Collection::Versions) {
        body["reinstated"] = body.value("reinstated", 0) + 1;
        return body;
    }
    for (const Action& it : actions()) {
        const bool inService
            = collection == config::Collection::DataCentres || collection == config::Collection::Upstreams;
        const bool applies = it.collection ? *it.collection == collection : inService;
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
    const bool known
        = header.rfind(scheme, 0) == 0 && digestHex(header.substr(scheme.size())) == m_settings.operatorKeyDigest;
    if (!known) {
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
        return act(request);
    if (request.path == "/admin/v1/state")
        return jsonResponse(STATUS_OK, m_dump());
    if (request.path == "/admin/v1/bills") {
        return handleFailure(
            [&]() -> Result<http::Response> {
                BOOST_LEAF_AUTO(summary, summarizeBills(m_settings.platform));
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
    const std::optional<config::Collection> wanted = config::collectionFromName(collection);
    if (!collection.empty() && !wanted)
        return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no such list" }, {});
    return m_replica.read([&](const ReplicaState& state) {
        const config::ConfigFold& fold = state.fold.config();
        http::Response response = jsonResponse(
            200, wanted ? config::collectionToJson(fold.lists(), *wanted) : config::listsToJson(fold.lists()));
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
    std::vector<config::Fault> faults;
    config::parseLists(document, faults);
    if (!faults.empty())
        return faultResponse(STATUS_UNPROCESSABLE, "invalid", faults);
    config::ChangeSet changes;
    config::ChangeResult checked;
    const std::string wantedRevision = request.header("if-match");
    const bool current = m_replica.read([&](const ReplicaState& state) {
        const config::ConfigFold& fold = state.fold.config();
        if (!wantedRevision.empty() && wantedRevision != "\"" + std::to_string(fold.revision().value()) + "\"")
            return false;
        changes = config::diffLists(fold.lists(), document);
        checked = fold.check(changes);
        return true;
    });
    if (!current) {
        return faultResponse(STATUS_CONFLICT, "conflict",
            { { .path = "If-Match", .expected = "the present revision; fetch the lists again" } });
    }
    if (checked.outcome != config::ChangeOutcome::Accepted)
        return faultResponse(STATUS_UNPROCESSABLE, config::changeOutcomeName(checked.outcome), checked.faults);
    return submit(changes, request);
}

http::Response AdminService::submit(const config::ChangeSet& changes, const http::Request& request)
{
    Offset offset = m_replica.read([](const ReplicaState& state) { return state.fold.config().revision(); });
    if (!changes.empty()) {
        std::optional<http::Response> refusal;
        handleFailure(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(written,
                    m_replica.write(cluster::ConfigEntry { .changes = changes },
                        m_replica.logReachable() ? ACCEPT_WAIT : Duration(0)));
                offset = written.offset;
                const cluster::EntryOutcome& verdict = written.outcome;
                if (verdict.kind == cluster::EntryOutcome::Kind::Conflict)
                    refusal = faultResponse(STATUS_CONFLICT, "conflict", verdict.faults);
                else if (!verdict.accepted())
                    refusal = faultResponse(STATUS_UNPROCESSABLE, "invalid", verdict.faults);
                return true;
            },
            [&](const Failure& it) {
                const bool unknown = it.code == ErrorCode::OutcomeUnknown;
                refusal = errorResponse({ .status = unknown ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE,
                                            .code = unknown ? "outcome_unknown" : "log_unavailable",
                                            .message = it.message,
                                            .run = unknown ? RunState::Unknown : RunState::NotRun },
                    {});
                return false;
            });
        m_metrics.count(refusal ? "config_changes_refused" : "config_changes_accepted");
        if (refusal)
            return std::move(*refusal);
    }
    nlohmann::json body { { "accepted", true }, { "revision", offset }, { "changes", changes.size() } };
    if (request.parameter("wait") == "in_force") {
        const std::vector<HostId> missing = awaitInForce(offset);
        body["in_force"] = missing.empty();
        body["missing"] = missing;
    }
    http::Response response = jsonResponse(STATUS_OK, body);
    response.headers["ETag"] = "\"" + std::to_string(offset.value()) + "\"";
    return response;
}

std::vector<HostId> AdminService::awaitInForce(Offset offset) const
{
    std::vector<HostId> missing;
    const auto everywhere = [&](const ReplicaState& state) {
        missing.clear();
        for (const auto& [id, member] : state.fold.membership().members()) {
            const membership::HostReport* report = state.tracker.reportOf(id, m_clock.now());
            const bool self = id == m_settings.host;
            if (!self && (!report || report->governingOffset < offset))
                missing.push_back(id);
        }
        return missing.empty();
    };
    m_replica.await(everywhere, IN_FORCE_WAIT);
    return missing;
}

http::Response AdminService::act(const http::Request& request)
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
    // Another operator may change the item at the same time; the action is then made on what that operator left.
    constexpr int MOST_TRIES = 5;
    http::Response response;
    for (int n = 0; n < MOST_TRIES; ++n) {
        const nlohmann::json items = m_replica.read([&](const ReplicaState& state) {
            return config::collectionToJson(state.fold.config().lists(), *collection);
        });
        if (!items.contains(key))
            return errorResponse({ .status = STATUS_NOT_FOUND, .code = "not_found", .message = "no item " + key }, {});
        const nlohmann::json changed = changedBody(action, *collection, items[key]);
        if (changed.is_null()) {
            return errorResponse({ .status = STATUS_BAD_REQUEST,
                                     .code = "bad_request",
                                     .message = "no action " + action + " on this list" },
                {});
        }
        nlohmann::json wanted = items;
        wanted[key] = changed;
        const config::ChangeSet changes = m_replica.read([&](const ReplicaState& state) {
            return config::diffLists(state.fold.config().lists(), { { config::collectionName(*collection), wanted } });
        });
        response = submit(changes, request);
        if (response.status != STATUS_CONFLICT)
            break;
    }
    return response;
}

}
