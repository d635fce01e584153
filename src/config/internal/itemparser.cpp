#include "itemparser.h"

#include "fireflyhaven/config/documentreader.h"

#include <arpa/inet.h>

namespace fireflyhaven::config {

namespace {

constexpr std::size_t MAX_NAME_LENGTH = 64;
constexpr std::int64_t MAX_PRICE_MICROS = 1'000'000'000;
constexpr std::int64_t MAX_DEADLINE_MS = 3'600'000;
constexpr std::int64_t MAX_LIMIT = 100'000;
constexpr std::size_t DIGEST_HEX_DIGITS = 64;

bool isName(const std::string& text)
{
    if (text.empty() || text.size() > MAX_NAME_LENGTH)
        return false;
    for (const char c : text) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (!letter && c != '-' && c != '_' && c != '.')
            return false;
    }
    return true;
}

void checkName(const std::string& text, const std::string& path, std::vector<ValidationError>& errors)
{
    if (!isName(text))
        errors.push_back({ path, "a name of 1 to 64 letters, digits, '-', '_' or '.'" });
}

ModelVersion parseModelVersion(const std::string& text, const std::string& path, std::vector<ValidationError>& errors)
{
    ModelVersion it = ModelVersion::parse(text);
    if (!isName(it.model) || !isName(it.version))
        errors.push_back({ path, "\"model@version\"" });
    return it;
}

// Parses an address such as "10.0.0.1:8080"; host names are rejected.
void parseAddress(DocumentReader& reader, Upstream& upstream)
{
    constexpr std::size_t MAX_ADDRESS_LENGTH = 64;
    constexpr int MAX_PORT = 65535;
    const std::string address = reader.text("address", MAX_ADDRESS_LENGTH);
    const auto colon = address.rfind(':');
    in_addr ip {};
    const bool hasIp = colon != std::string::npos && inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) == 1;
    const std::string port = hasIp ? address.substr(colon + 1) : std::string();
    const bool isPort = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (!isPort || std::stoi(port) < 1 || std::stoi(port) > MAX_PORT) {
        reader.addError("address", "\"IPv4:port\"");
        return;
    }
    upstream.ip = address.substr(0, colon);
    upstream.port = static_cast<std::uint16_t>(std::stoi(port));
}

DataCentre parseDataCentre(DocumentReader& reader)
{
    return { .region = RegionId(reader.text("region", MAX_NAME_LENGTH)),
        .inService = reader.optionalFlag("in_service", true) };
}

Version parseVersion(DocumentReader& reader)
{
    Version it;
    it.state = static_cast<VersionState>(reader.choice("state", { "active", "retiring", "withdrawn" }));
    it.inputPrice = { .micros = reader.integer("input_price", 0, MAX_PRICE_MICROS) };
    it.outputPrice = { .micros = reader.integer("output_price", 0, MAX_PRICE_MICROS) };
    it.assumedQuality = reader.optionalNumber("assumed_quality", 0, 1, it.assumedQuality);
    it.reinstatements = reader.optionalInteger("reinstated", 0, INT64_MAX, 0);
    return it;
}

Upstream parseUpstream(DocumentReader& reader, std::vector<ValidationError>& errors)
{
    Upstream it;
    parseAddress(reader, it);
    it.dataCentre = DataCentreId(reader.text("data_centre", MAX_NAME_LENGTH));
    it.kind = static_cast<UpstreamKind>(reader.choice("kind", { "engine", "service" }));
    it.service = ServiceName(reader.optionalText("service", MAX_NAME_LENGTH));
    for (const std::string& text : reader.optionalTexts("versions", 2 * MAX_NAME_LENGTH + 1))
        it.versions.push_back(parseModelVersion(text, reader.path() + ".versions", errors));
    it.coldLimit = static_cast<int>(reader.integer("cold_limit", 1, MAX_LIMIT));
    it.limit = static_cast<int>(reader.integer("limit", it.coldLimit, MAX_LIMIT));
    it.checksFence = reader.optionalFlag("checks_fence", false);
    it.repeatable = reader.optionalFlag("repeatable", it.kind == UpstreamKind::Engine);
    it.inService = reader.optionalFlag("in_service", true);
    if (it.kind == UpstreamKind::Service && it.service.empty())
        reader.addError("service", "the name of the service");
    if (it.kind == UpstreamKind::Engine && it.versions.empty())
        reader.addError("versions", "at least one \"model@version\"");
    return it;
}

Plan parsePlan(DocumentReader& reader)
{
    Plan it;
    it.qualityTarget = reader.number("quality_target", 0, 1);
    it.firstTokenDeadline = Duration(reader.integer("first_token_ms", 1, MAX_DEADLINE_MS));
    it.deadline = Duration(reader.integer("deadline_ms", it.firstTokenDeadline.count(), MAX_DEADLINE_MS));
    it.priority = static_cast<int>(reader.optionalInteger("priority", 0, 9, it.priority));
    it.weight = static_cast<int>(reader.optionalInteger("weight", 1, 1000, it.weight));
    it.requestsPerSecond = static_cast<int>(reader.integer("requests_per_second", 1, MAX_LIMIT));
    it.concurrency = static_cast<int>(reader.integer("concurrency", 1, MAX_LIMIT));
    it.onConflict = static_cast<TargetConflict>(reader.choice("on_target_conflict", { "quality_first", "time_first" }));
    for (const std::string& name : reader.optionalTexts("services", MAX_NAME_LENGTH))
        it.services.emplace_back(name);
    return it;
}

Workspace parseWorkspace(DocumentReader& reader)
{
    Workspace it { .plan = PlanName(reader.text("plan", MAX_NAME_LENGTH)),
        .keyDigest = reader.text("key_digest", DIGEST_HEX_DIGITS) };
    const bool hex = it.keyDigest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (it.keyDigest.size() != DIGEST_HEX_DIGITS || !hex)
        reader.addError("key_digest", "64 hexadecimal digits, as `fireflyhavenctl digest` prints");
    return it;
}

Allowance parseAllowance(DocumentReader& reader, std::vector<ValidationError>& errors)
{
    Allowance it;
    double totalShare = 0;
    std::size_t n = 0;
    for (const nlohmann::json& node : reader.array("uses")) {
        DocumentReader shareReader(node, reader.path() + ".uses[" + std::to_string(n++) + "]", errors);
        const std::string text = shareReader.text("version", 2 * MAX_NAME_LENGTH + 1);
        const ModelVersion version = parseModelVersion(text, shareReader.path() + ".version", errors);
        const double share = shareReader.optionalNumber("share", 0, 1, 1);
        shareReader.rejectUnknownFields();
        for (const VersionShare& earlier : it.versionShares) {
            if (earlier.version == version)
                shareReader.addError("version", "each version once");
        }
        it.versionShares.push_back({ .version = version, .share = share });
        totalShare += share;
    }
    if (it.versionShares.empty() || totalShare <= 0)
        reader.addError("uses", "at least one use with a share above 0");
    return it;
}

template <typename Map, typename Key, typename T> void setItem(Map& map, Key key, T value, const nlohmann::json& body)
{
    map[std::move(key)] = { .value = std::move(value), .body = body, .revision = Offset(0) };
}

AllowanceKey parseAllowanceKey(const std::string& key, const std::string& path, std::vector<ValidationError>& errors)
{
    const auto slash = key.find('/');
    const std::string plan = key.substr(0, slash);
    const std::string task = slash == std::string::npos ? std::string() : key.substr(slash + 1);
    if (!isName(plan) || !isName(task))
        errors.push_back({ path, "\"plan/task\"" });
    return { .plan = PlanName(plan), .task = TaskName(task) };
}

}

std::string itemPath(Collection collection, const std::string& key)
{
    return "$." + std::string(collectionName(collection)) + "[\"" + key + "\"]";
}

void parseItem(Lists& lists, Collection collection, const std::string& key, const nlohmann::json& body,
    const std::string& path, std::vector<ValidationError>& errors)
{
    DocumentReader reader(body, path, errors);
    switch (collection) {
    case Collection::DataCentres:
        checkName(key, path, errors);
        setItem(lists.dataCentres, DataCentreId(key), parseDataCentre(reader), body);
        break;
    case Collection::Versions:
        setItem(lists.versions, parseModelVersion(key, path, errors), parseVersion(reader), body);
        break;
    case Collection::Upstreams:
        checkName(key, path, errors);
        setItem(lists.upstreams, UpstreamId(key), parseUpstream(reader, errors), body);
        break;
    case Collection::Plans:
        checkName(key, path, errors);
        setItem(lists.plans, PlanName(key), parsePlan(reader), body);
        break;
    case Collection::Workspaces:
        checkName(key, path, errors);
        setItem(lists.workspaces, WorkspaceId(key), parseWorkspace(reader), body);
        break;
    case Collection::Allowances:
        setItem(lists.allowances, parseAllowanceKey(key, path, errors), parseAllowance(reader, errors), body);
        break;
    }
    reader.rejectUnknownFields();
}

}
