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

// The settings file may change without a signal.
constexpr std::chrono::seconds SETTINGS_POLL { 2 };

// Settings of the project's own, beside the platform's file.
struct OwnSettings {
    std::string logLevel = "info";
    long metricsPort = 0;
    bool naivePolicy = false;
    bool flatExchange = false;
    bool checkSettings = false;
};

std::vector<settings::Option> optionsFor(OwnSettings& it)
{
    using namespace settings;
    return {
        { "log-level", "LEVEL", "debug, info, warn, error or off.", setText(it.logLevel) },
        { "metrics-port", "PORT", "Port of metrics and state dump, on the address for callers; 0 for none.",
            setInteger(it.metricsPort, 0, 65535) },
        { "naive-policy", "", "Random upstream, always the largest model (baseline for measurements).",
            setFlag(it.naivePolicy) },
        { "flat-exchange", "", "Each host reports to all others, however many (baseline for measurements).",
            setFlag(it.flatExchange) },
        { "check-settings", "", "Checks all settings, names each fault and stops.", setFlag(it.checkSettings) },
    };
}

// Settings of both kinds, checked together.
Result<entry::EntrySettings> combine(const std::string& text, const OwnSettings& own)
{
    BOOST_LEAF_AUTO(it, platform::parseSettings(text));
    it.naivePolicy = own.naivePolicy;
    it.flatExchange = own.flatExchange;
    if (own.metricsPort == 0)
        return it;
    const auto port = static_cast<std::uint16_t>(own.metricsPort);
    const bool taken = port == it.frontend.port || port == it.readiness.port || port == it.directory.port
        || (port >= it.firstPeerPort && port <= it.lastPeerPort);
    if (taken)
        return failure(ErrorCode::InvalidArgument, "--metrics-port: expected a port that nothing else uses\n");
    it.metrics = http::Endpoint { .ip = it.frontend.ip, .port = port };
    return it;
}

// An entry host with what it needs from the system: its settings file and signals.
class PlatformDaemon {
public:
    PlatformDaemon(boost::asio::io_context& loop, std::string settingsFile, OwnSettings own)
        : m_loop(loop)
        , m_own(std::move(own))
        , m_settingsFile(std::move(settingsFile))
        , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
        , m_pollTimer(loop)
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_ASSIGN(m_settingsText, platform::readSettingsText(m_settingsFile));
        BOOST_LEAF_AUTO(settings, combine(m_settingsText, m_own));
        setUpLog({ .level = m_own.logLevel, .json = true, .host = settings.host.value() });
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
        m_pollTimer.expires_after(SETTINGS_POLL);
        m_pollTimer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            reload(false);
            pollSettings();
        });
    }

    // Settings that can't be read leave the ones in use as they are.
    void reload(bool asked)
    {
        handleFailure(
            [&]() -> Result<int> {
                BOOST_LEAF_AUTO(text, platform::readSettingsText(m_settingsFile));
                if (text == m_settingsText && !asked)
                    return 0;
                BOOST_LEAF_AUTO(settings, combine(text, m_own));
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
    const OwnSettings m_own;
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
    OwnSettings own;
    const settings::Usage usage { .program = "fireflyhavend",
        .synopsis = "[--log-level=LEVEL] [--metrics-port=PORT] [--check-settings]",
        .description
        = std::string("Entry host of fireflyhaven on the users' platform, whose settings file is named by ")
            + platform::SETTINGS_FILE_VARIABLE + ". Stops gracefully on SIGTERM and SIGINT." };
    BOOST_LEAF_AUTO(parsed, settings::parseOptions(argc, argv, usage, optionsFor(own)));
    if (parsed.end != settings::ParseEnd::Run)
        return 0;
    if (!parsed.arguments.empty())
        return failure(ErrorCode::InvalidArgument, parsed.arguments.front() + ": expected options only\n");
    if (own.checkSettings) {
        BOOST_LEAF_AUTO(text, platform::readSettingsText(settingsFile));
        BOOST_LEAF_CHECK(combine(text, own));
        std::cout << "settings are valid\n";
        return 0;
    }
    setUpBoundedLog({ .level = own.logLevel, .json = true });
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    PlatformDaemon daemon(loop, settingsFile, own);
    BOOST_LEAF_CHECK(daemon.start());
    loop.run();
    return 0;
}

}
