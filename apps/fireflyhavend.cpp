#include "fireflyhaven/node/node.h"
#include "fireflyhaven/settings/optionparser.h"
#include "platform/settingsfile.h"
#include "logsetup.h"
#include "platformdaemon.h"

#include <csignal>
#include <iostream>

using namespace fireflyhaven;

namespace {

// Settings from the command line and the environment, before validation.
struct RawSettings {
    std::string host;
    std::string dataCentre;
    std::string region;
    std::string ip;
    std::uint16_t httpPort = 0;
    std::string peerIp;
    std::uint16_t peerPort = 0;
    std::string platformIp;
    std::uint16_t platformPort = 0;
    std::string clusterKey;
    std::string sessionKey;
    std::string previousSessionKey;
    std::string operatorKey;
    std::string onStaleConfig = "refuse";
    std::string logLevel = "info";
    std::string logFormat = "text";
    long staleConfigLimitMs = 10'000;
    long sessionLifetimeMs = 3'600'000;
    long snapshotEvery = 5000;
    long maxBodyBytes = 1'048'576;
    long maxConnections = 2048;
    long idleTimeoutS = 60;
    long shutdownLimitMs = 60'000;
    bool naivePolicy = false;
    bool checkSettings = false;
};

std::vector<settings::Option> optionsFor(RawSettings& it)
{
    using namespace settings;
    const auto secret = [](const std::string& name, const std::string& help, std::string& target) {
        return Option { .name = name, .value = "TEXT", .help = help, .set = setText(target), .environmentOnly = true };
    };
    return {
        { "host", "NAME", "Name of this host.", setText(it.host) },
        { "data-centre", "NAME", "Data centre of this host.", setText(it.dataCentre) },
        { "region", "NAME", "Region of the data centre.", setText(it.region) },
        { "listen", "IP:PORT", "HTTP address for callers and operators.", setAddress(it.ip, it.httpPort) },
        { "peer", "IP:PORT", "TCP and UDP address for other hosts; must have the same IP as --listen.",
            setAddress(it.peerIp, it.peerPort) },
        { "platform", "IP:PORT", "Address of the platform's log, host list and rating service.",
            setAddress(it.platformIp, it.platformPort) },
        { "stale-config-limit", "MS", "Age of the lists in ms above which --on-stale-config applies.",
            setInteger(it.staleConfigLimitMs, 1000, 3'600'000) },
        { "on-stale-config", "refuse|serve", "Whether to refuse or serve new requests while the lists may be stale.",
            setText(it.onStaleConfig) },
        { "session-lifetime", "MS", "Lifetime of a session handle in ms.",
            setInteger(it.sessionLifetimeMs, 1000, 86'400'000L * 31) },
        { "snapshot-every", "RECORDS", "Number of log records between two snapshots.",
            setInteger(it.snapshotEvery, 10, 10'000'000) },
        { "max-body", "BYTES", "Maximum size of a request body in bytes.",
            setInteger(it.maxBodyBytes, 1024, 64 * 1024 * 1024) },
        { "max-connections", "N", "Maximum number of open caller connections.",
            setInteger(it.maxConnections, 1, 100'000) },
        { "idle-timeout", "S", "Seconds after which an idle connection is closed.",
            setInteger(it.idleTimeoutS, 1, 3600) },
        { "shutdown-limit", "MS", "Maximum time in ms that a shutdown waits for in-flight requests.",
            setInteger(it.shutdownLimitMs, 0, 3'600'000) },
        { "log-level", "LEVEL", "debug, info, warn or error.", setText(it.logLevel) },
        { "log-format", "text|json", "Format of the log lines.", setText(it.logFormat) },
        { "naive-policy", "", "Route by lowest load, without affinity and cascades (baseline for measurements).",
            setFlag(it.naivePolicy) },
        { "check-settings", "", "Validate the settings, print each error and exit.", setFlag(it.checkSettings) },
        secret("cluster-key", "Key shared by all hosts.", it.clusterKey),
        secret("session-key", "Key for session handles, the same on all hosts.", it.sessionKey),
        secret("session-key-previous", "Previous key for session handles, accepted during a key rotation.",
            it.previousSessionKey),
        secret("operator-key", "Key that authenticates operators.", it.operatorKey),
    };
}

Result<SecretKey> parseKey(const std::string& variable, const std::string& text)
{
    if (text.size() < 16)
        return failure(ErrorCode::InvalidArgument, variable + ": expected at least 16 characters\n");
    return SecretKey::fromText(text);
}

Result<node::NodeSettings> validate(const RawSettings& it)
{
    std::string errors;
    const auto require = [&](bool valid, const std::string& error) {
        if (!valid)
            errors += error + "\n";
    };
    require(!it.host.empty(), "--host: expected a name");
    require(!it.dataCentre.empty(), "--data-centre: expected a name");
    require(!it.region.empty(), "--region: expected a name");
    require(it.httpPort != 0, "--listen: expected IP:PORT");
    require(it.peerPort != 0 && it.peerIp == it.ip, "--peer: expected IP:PORT with the IP of --listen");
    require(it.platformPort != 0, "--platform: expected IP:PORT");
    require(it.onStaleConfig == "refuse" || it.onStaleConfig == "serve", "--on-stale-config: expected refuse or serve");
    require(it.logFormat == "text" || it.logFormat == "json", "--log-format: expected text or json");
    require(it.operatorKey.size() >= 16, "FIREFLYHAVEN_OPERATOR_KEY: expected at least 16 characters");
    if (!errors.empty())
        return failure(ErrorCode::InvalidArgument, errors);
    BOOST_LEAF_AUTO(clusterKey, parseKey("FIREFLYHAVEN_CLUSTER_KEY", it.clusterKey));
    BOOST_LEAF_AUTO(sessionKey, parseKey("FIREFLYHAVEN_SESSION_KEY", it.sessionKey));
    std::optional<SecretKey> previousSessionKey;
    if (!it.previousSessionKey.empty()) {
        BOOST_LEAF_ASSIGN(previousSessionKey, parseKey("FIREFLYHAVEN_SESSION_KEY_PREVIOUS", it.previousSessionKey));
    }
    return node::NodeSettings { .host = HostId(it.host),
        .dataCentre = DataCentreId(it.dataCentre),
        .region = RegionId(it.region),
        .ip = it.ip,
        .httpPort = it.httpPort,
        .peerPort = it.peerPort,
        .platformAddress = it.platformIp + ":" + std::to_string(it.platformPort),
        .clusterKey = clusterKey,
        .sessionKey = sessionKey,
        .previousSessionKey = previousSessionKey,
        .operatorKeyDigest = digestHex(it.operatorKey),
        .staleConfigLimit = Duration(it.staleConfigLimitMs),
        .onStaleConfig = it.onStaleConfig == "serve" ? node::StaleConfigPolicy::Serve : node::StaleConfigPolicy::Refuse,
        .sessionLifetime = Duration(it.sessionLifetimeMs),
        .snapshotIntervalRecords = static_cast<std::uint64_t>(it.snapshotEvery),
        .maxBodyBytes = static_cast<std::size_t>(it.maxBodyBytes),
        .maxConnections = static_cast<unsigned>(it.maxConnections),
        .idleTimeout = std::chrono::seconds(it.idleTimeoutS),
        .shutdownLimit = Duration(it.shutdownLimitMs),
        .naivePolicy = it.naivePolicy };
}

Result<int> run(int argc, char** argv)
{
    RawSettings raw;
    const settings::Usage usage { .program = "fireflyhavend",
        .synopsis = "--host=NAME --data-centre=NAME --region=NAME --listen=IP:PORT --peer=IP:PORT --platform=IP:PORT",
        .description = "Entry host of fireflyhaven. Shuts down gracefully on SIGTERM and SIGINT." };
    BOOST_LEAF_AUTO(parsed, settings::parseOptions(argc, argv, usage, optionsFor(raw)));
    if (parsed.end != settings::ParseOutcome::Run)
        return 0;
    if (!parsed.arguments.empty())
        return failure(ErrorCode::InvalidArgument, parsed.arguments.front() + ": expected options only\n");
    BOOST_LEAF_AUTO(checked, validate(raw));
    if (raw.checkSettings) {
        std::cout << "settings are valid\n";
        return 0;
    }
    setUpLog({ .level = raw.logLevel, .json = raw.logFormat == "json" });
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const SystemClock clock;
    BOOST_LEAF_AUTO(node, node::Node::start(std::move(checked), clock));
    int signal = 0;
    sigwait(&signals, &signal);
    node->shutDown();
    return 0;
}

}

int main(int argc, char** argv)
{
    const char* platformSettings = std::getenv(platform::SETTINGS_FILE_VARIABLE);
    return handleFailure(
        [&] { return platformSettings ? runOnPlatform(platformSettings, argc, argv) : run(argc, argv); },
        [](const Failure& it) {
            std::cerr << "fireflyhavend: " << it.message << (it.message.ends_with('\n') ? "" : "\n");
            return it.code == ErrorCode::InvalidArgument ? 2 : 1;
        });
}
