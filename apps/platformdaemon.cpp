#include "platformdaemon.h"

#include "fireflyhaven/telemetry/logevent.h"
#include "fireflyhaven/entry/entryhost.h"
#include "fireflyhaven/settings/optionparser.h"
#include "platform/settingsfile.h"
#include "platform/storeclient.h"
#include "platform/wirecodec.h"
#include "logsetup.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <csignal>
#include <iostream>

namespace fireflyhaven {

namespace {

// Interval at which the settings file is checked for changes. The platform may change it without sending SIGHUP.
constexpr std::chrono::seconds SETTINGS_POLL_INTERVAL { 2 };

// Settings that are not in the platform's settings file.
struct DaemonOptions {
    std::string logLevel = "info";
    long metricsPort = 0;
    long startupWaitMs = entry::EntrySettings().startupWait.count();
    long callerMemoryPercent = entry::ResourceLimits().callerMemoryPercent;
    std::string promptDivision = "configured";
    bool naivePolicy = false;
    bool flatExchange = false;
    bool checkSettings = false;
};

std::vector<settings::Option> optionsFor(DaemonOptions& it)
{
    using namespace settings;
    return {
        { "log-level", "LEVEL", "debug, info, warn, error or off.", setText(it.logLevel) },
        { "metrics-port", "PORT", "Port for metrics and the state dump, on the IP address for callers; 0 disables it.",
            setInteger(it.metricsPort, 0, 65535) },
        { "startup-wait", "MS",
            "Time after the start in which requests wait for the configuration instead of being refused; 0 disables "
            "it.",
            setInteger(it.startupWaitMs, 0, 10'000) },
        { "caller-memory", "PERCENT",
            "Part of the process's memory that requests and answers of all callers may hold together.",
            setInteger(it.callerMemoryPercent, 10, 80) },
        { "prompt-division", "MODE",
            "Divide the upstreams of a service between long and short prompts: never, configured (where a route can "
            "give "
            "way to a more urgent one, or upstreams report their work times) or always.",
            setText(it.promptDivision) },
        { "naive-policy", "", "Random upstream, always the largest model (baseline for measurements).",
            setFlag(it.naivePolicy) },
        { "flat-exchange", "", "Each host reports directly to all other hosts (baseline for measurements).",
            setFlag(it.flatExchange) },
        { "check-settings", "", "Validate all settings, print each error and exit.", setFlag(it.checkSettings) },
    };
}

std::optional<balancing::PromptDivision> promptDivisionOf(const std::string& text)
{
    using balancing::PromptDivision;
    if (text == "never")
        return PromptDivision::Never;
    if (text == "configured")
        return PromptDivision::WhereConfigured;
    return text == "always" ? std::optional(PromptDivision::Always) : std::nullopt;
}

// Merges the platform's settings with the daemon's options and validates them together.
Result<entry::EntrySettings> combineSettings(const std::string& text, const DaemonOptions& options)
{
    BOOST_LEAF_AUTO(it, platform::parseSettings(text));
    it.startupWait = Duration(options.startupWaitMs);
    it.limits.callerMemoryPercent = static_cast<int>(options.callerMemoryPercent);
    const auto division = promptDivisionOf(options.promptDivision);
    if (!division)
        return failure(ErrorCode::InvalidArgument, "--prompt-division: expected never, configured or always\n");
    it.promptDivision = *division;
    it.naivePolicy = options.naivePolicy;
    it.flatExchange = options.flatExchange;
    if (options.metricsPort == 0)
        return it;
    const auto port = static_cast<std::uint16_t>(options.metricsPort);
    const bool inUse = port == it.frontend.port || port == it.readiness.port || port == it.directory.port
        || (port >= it.firstPeerPort && port <= it.lastPeerPort);
    if (inUse)
        return failure(ErrorCode::InvalidArgument, "--metrics-port: expected a port that no other setting uses\n");
    it.metrics = http::Endpoint { .ip = it.frontend.ip, .port = port };
    return it;
}

// Runs an entry host, reloads its settings when the file changes or on SIGHUP, and stops it on SIGTERM or SIGINT.
class PlatformDaemon {
public:
    PlatformDaemon(boost::asio::io_context& loop, std::string settingsFile, DaemonOptions options)
        : m_loop(loop)
        , m_options(std::move(options))
        , m_settingsFile(std::move(settingsFile))
        , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
        , m_pollTimer(loop)
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_ASSIGN(m_settingsText, platform::readSettingsText(m_settingsFile));
        BOOST_LEAF_AUTO(settings, combineSettings(m_settingsText, m_options));
        setUpLog({ .level = m_options.logLevel, .json = true, .host = settings.host.value() });
        m_store = platform::StoreClient::create(m_loop, m_clock, { .address = settings.store.address });
        BOOST_LEAF_ASSIGN(m_host, entry::EntryHost::start(m_loop, m_clock, m_codec, *m_store, std::move(settings)));
        awaitSignal();
        pollSettings();
        return {};
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP)
                reload(true);
            else
                m_host->shutDown([this] { m_loop.stop(); });
            awaitSignal();
        });
    }

    void pollSettings()
    {
        m_pollTimer.expires_after(SETTINGS_POLL_INTERVAL);
        m_pollTimer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            reload(false);
            pollSettings();
        });
    }

    // Keeps the current settings if the new ones are unreadable or invalid.
    void reload(bool forced)
    {
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(text, platform::readSettingsText(m_settingsFile));
                if (text == m_settingsText && !forced)
                    return 0;
                BOOST_LEAF_AUTO(settings, combineSettings(text, m_options));
                m_settingsText = text;
                m_host->reload(settings);
                return 0;
            },
            [](const Failure& it) {
                telemetry::logEvent(spdlog::level::warn, "settings_refused", { { "reason", it.message } });
                return 0;
            });
    }

    boost::asio::io_context& m_loop;
    const DaemonOptions m_options;
    const std::string m_settingsFile;
    std::string m_settingsText;
    const SystemClock m_clock;
    const platform::WireCodec m_codec;
    std::unique_ptr<platform::StoreClient> m_store;
    std::unique_ptr<entry::EntryHost> m_host;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_pollTimer;
};

}

Result<int> runOnPlatform(const std::string& settingsFile, int argc, char** argv)
{
    DaemonOptions options;
    const settings::Usage usage { .program = "fireflyhavend",
        .synopsis = "[--log-level=LEVEL] [--metrics-port=PORT] [--check-settings]",
        .description
        = std::string("Entry host of fireflyhaven on the users' platform. The platform's settings file is given by ")
            + platform::SETTINGS_FILE_VARIABLE + ". Shuts down gracefully on SIGTERM and SIGINT." };
    BOOST_LEAF_AUTO(parsed, settings::parseOptions(argc, argv, usage, optionsFor(options)));
    if (parsed.end != settings::ParseOutcome::Run)
        return 0;
    if (!parsed.arguments.empty())
        return failure(ErrorCode::InvalidArgument, parsed.arguments.front() + ": expected options only\n");
    if (options.checkSettings) {
        BOOST_LEAF_AUTO(text, platform::readSettingsText(settingsFile));
        BOOST_LEAF_CHECK(combineSettings(text, options));
        std::cout << "settings are valid\n";
        return 0;
    }
    setUpBoundedLog({ .level = options.logLevel, .json = true });
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    PlatformDaemon daemon(loop, settingsFile, options);
    BOOST_LEAF_CHECK(daemon.start());
    loop.run();
    return 0;
}

}
