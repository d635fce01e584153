#include "platformdaemon.h"

#include "fireflyhaven/entry/entryhost.h"
#include "platform/settingsfile.h"
#include "platform/storeclient.h"
#include "platform/wirecodec.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <csignal>

namespace fireflyhaven {

namespace {

// The settings file may change without a signal.
constexpr std::chrono::seconds SETTINGS_POLL { 2 };

// An entry host with what it needs from the system: its settings file and signals.
class PlatformDaemon {
public:
    PlatformDaemon(boost::asio::io_context& loop, std::string settingsFile)
        : m_loop(loop)
        , m_settingsFile(std::move(settingsFile))
        , m_signals(loop, SIGTERM, SIGINT, SIGHUP)
        , m_pollTimer(loop)
    {
    }

    Result<void> start()
    {
        BOOST_LEAF_ASSIGN(m_settingsText, platform::readSettingsText(m_settingsFile));
        BOOST_LEAF_AUTO(settings, platform::parseSettings(m_settingsText));
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
                BOOST_LEAF_AUTO(settings, platform::parseSettings(text));
                m_settingsText = text;
                m_host->reload(settings);
                return 0;
            },
            [](const Failure& it) {
                spdlog::warn("reload: settings not taken into use: {}", it.message);
                return 0;
            });
    }

    boost::asio::io_context& m_loop;
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

Result<int> runOnPlatform(const std::string& settingsFile)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context loop(1);
    PlatformDaemon daemon(loop, settingsFile);
    BOOST_LEAF_CHECK(daemon.start());
    loop.run();
    return 0;
}

}
