#include "itemparser.h"

#include "fireflyhaven/config/documentreader.h"

#include <arpa/inet.h>

namespace fireflyhaven::config {

namespace {

constexpr std::size_t LONGEST_NAME = 64;
constexpr std::int64_t HIGHEST_PRICE_MICROS = 1'000'000'000;
constexpr std::int64_t LONGEST_DEADLINE_MS = 3'600'000;
constexpr std::int64_t HIGHEST_LIMIT = 100'000;
constexpr std::size_t DIGEST_CHARACTERS = 64;

bool isName(const std::string& text)
{
    if (text.empty() || text.size() > LONGEST_NAME)
        return false;
    for (const char c : text) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (!letter && c != '-' && c != '_' && c != '.')
            return false;
    }
    return true;
}

void checkName(const std::string& text, const std::string& path, std::vector<Fault>& faults)
{
    if (!isName(text))
        faults.push_back({ path, "a name of 1 to 64 letters, digits, '-', '_' or '.'" });
}

ModelVersion parseModelVersion(const std::string& text, const std::string& path, std::vector<Fault>& faults)
{
    ModelVersion it = ModelVersion::parse(text);
    if (!isName(it.model) || !isName(it.version))
        faults.push_back({ path, "\"model@version\"" });
    return it;
}

// Splits "10.0.0.1:8080"; only IP numbers are accepted.
void parseAddress(DocumentReader& reader, Upstream& upstream)
{
    constexpr std::size_t LONGEST_ADDRESS = 64;
    constexpr int HIGHEST_PORT = 65535;
    const std::string address = reader.text("address", LONGEST_ADDRESS);
    const auto colon = address.rfind(':');
    in_addr ip {};
    const bool hasIp = colon != std::string::npos && inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip) == 1;
    const std::string port = hasIp ? address.substr(colon + 1) : std::string();
    const bool digits = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || std::stoi(port) < 1 || std::stoi(port) > HIGHEST_PORT) {
        reader.fault("address", "\"IPv4:port\"");
        return;
    }
    upstream.ip = address.substr(0, colon);
    upstream.port = static_cast<std::uint16_t>(std::stoi(port));
}

DataCentre parseDataCentre(DocumentReader& reader)
{
    return { .region = RegionId(reader.text("region", LONGEST_NAME)),
        .inService = reader.optionalFlag("in_service", true) };
}

Version parseVersion(DocumentReader& reader)
{
    Version it;
    it.state = static_cast<VersionState>(reader.choice("state", { "active", "retiring", "withdrawn" }));
    it.inputPrice = { .micros = reader.integer("input_price", 0, HIGHEST_PRICE_MICROS) };
    it.outputPrice = { .micros = reader.integer("output_price", 0, HIGHEST_PRICE_MICROS) };
    it.assumedQuality = reader.optionalNumber("assumed_quality", 0, 1, it.assumedQuality);
    it.reinstated = reader.optionalInteger("reinstated", 0, INT64_MAX, 0);
    return it;
}

Upstream parseUpstream(DocumentReader& reader, std::vector<Fault>& faults)
{
    Upstream it;
    parseAddress(reader, it);
    it.dataCentre = DataCentreId(reader.text("data_centre", LONGEST_NAME));
    it.kind = static_cast<UpstreamKind>(reader.choice("kind", { "engine", "service" }));
    it.service = ServiceName(reader.optionalText("service", LONGEST_NAME));
    for (const std::string& text : reader.optionalTexts("versions", 2 * LONGEST_NAME + 1))
        it.versions.push_back(parseModelVersion(text, reader.path() + ".versions", faults));
    it.coldLimit = static_cast<int>(reader.integer("cold_limit", 1, HIGHEST_LIMIT));
    it.limit = static_cast<int>(reader.integer("limit", it.coldLimit, HIGHEST_LIMIT));
    it.checksFence = reader.optionalFlag("checks_fence", false);
    it.repeatable = reader.optionalFlag("repeatable", it.kind == UpstreamKind::Engine);
    it.inService = reader.optionalFlag("in_service", true);
    if (it.kind == UpstreamKind::Service && it.service.empty())
        reader.fault("service", "the name of the service");
    if (it.kind == UpstreamKind::Engine && it.versions.empty())
        reader.fault("versions", "at least one \"model@version\"");
    return it;
}

Plan parsePlan(DocumentReader& reader)
{
    Plan it;
    it.qualityTarget = reader.number("quality_target", 0, 1);
    it.firstTokenDeadline = Duration(reader.integer("first_token_ms", 1, LONGEST_DEADLINE_MS));
    it.deadline = Duration(reader.integer("deadline_ms", it.firstTokenDeadline.count(), LONGEST_DEADLINE_MS));
    it.priority = static_cast<int>(reader.optionalInteger("priority", 0, 9, it.priority));
    it.weight = static_cast<int>(reader.optionalInteger("weight", 1, 1000, it.weight));
    it.requestsPerSecond = static_cast<int>(reader.integer("requests_per_second", 1, HIGHEST_LIMIT));
    it.concurrency = static_cast<int>(reader.integer("concurrency", 1, HIGHEST_LIMIT));
    it.onConflict = static_cast<TargetConflict>(reader.choice("on_target_conflict", { "quality_first", "time_first" }));
    for (const std::string& name : reader.optionalTexts("services", LONGEST_NAME))
        it.services.emplace_back(name);
    return it;
}

Workspace parseWorkspace(DocumentReader& reader)
{
    Workspace it { .plan = PlanName(reader.text("plan", LONGEST_NAME)),
        .keyDigest = reader.text("key_digest", DIGEST_CHARACTERS) };
    const bool hex = it.keyDigest.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (it.keyDigest.size() != DIGEST_CHARACTERS || !hex)
        reader.fault("key_digest", "64 hexadecimal digits, as `fireflyhavenctl digest` prints");
    return it;
}

Allowance parseAllowance(DocumentReader& reader, std::vector<Fault>& faults)
{
    Allowance it;
    double total = 0;
    std::size_t n = 0;
    for (const nlohmann::json& node : reader.array("uses")) {
        DocumentReader use(node, reader.path() + ".uses[" + std::to_string(n++) + "]", faults);
        const std::string text = use.text("version", 2 * LONGEST_NAME + 1);
        const ModelVersion version = parseModelVersion(text, use.path() + ".version", faults);
        const double share = use.optionalNumber("share", 0, 1, 1);
        use.finish();
        for (const AllowanceUse& earlier : it.uses) {
            if (earlier.version == version)
                use.fault("version", "each version once");
        }
        it.uses.push_back({ .version = version, .share = share });
        total += share;
    }
    if (it.uses.empty() || total <= 0)
        reader.fault("uses", "at least one use with a share above 0");
    return it;
}

template <typename Map, typename Key, typename T> void store(Map& map, Key key, T value, const nlohmann::json& body)
{
    map[std::move(key)] = { .value = std::move(value), .body = body, .revision = Offset(0) };
}

AllowanceKey parseAllowanceKey(const std::string& key, const std::string& path, std::vector<Fault>& faults)
{
    const auto slash = key.find('/');
    const std::string plan = key.substr(0, slash);
    const std::string task = slash == std::string::npos ? std::string() : key.substr(slash + 1);
    if (!isName(plan) || !isName(task))
        faults.push_back({ path, "\"plan/task\"" });
    return { .plan = PlanName(plan), .task = TaskName(task) };
}

}

std::string itemPath(Collection collection, const std::string& key)
{
    return "$." + std::string(collectionName(collection)) + "[\"" + key + "\"]";
}

void parseItem(Lists& lists, Collection collection, const std::string& key, const nlohmann::json& body,
    const std::string& path, std::vector<Fault>& faults)
{
    DocumentReader reader(body, path, faults);
    switch (collection) {
    case Collection::DataCentres:
        checkName(key, path, faults);
        store(lists.dataCentres, DataCentreId(key), parseDataCentre(reader), body);
        break;
    case Collection::Versions:
        store(lists.versions, parseModelVersion(key, path, faults), parseVersion(reader), body);
        break;
    case Collection::Upstreams:
        checkName(key, path, faults);
        store(lists.upstreams, UpstreamId(key), parseUpstream(reader, faults), body);
        break;
    case Collection::Plans:
        checkName(key, path, faults);
        store(lists.plans, PlanName(key), parsePlan(reader), body);
        break;
    case Collection::Workspaces:
        checkName(key, path, faults);
        store(lists.workspaces, WorkspaceId(key), parseWorkspace(reader), body);
        break;
    case Collection::Allowances:
        store(lists.allowances, parseAllowanceKey(key, path, faults), parseAllowance(reader, faults), body);
        break;
    }
    reader.finish();
}

}
