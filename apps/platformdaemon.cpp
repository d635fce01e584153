#include "platformdaemon.h"

#include "fireflyhaven/entry/entryhost.h"
#include "platform/settingsfile.h"
#include "platform/storeclient.h"
#include "platform/wirecodec.h"

#include <boost/asio/signal_set.hpp>
#include <spdlog/spdlog.h>

#include <csignal>

namespace fireflyhaven {

Result<int> runOnPlatform(const std::string& settingsFile)
{
    BOOST_LEAF_AUTO(settings, platform::readSettings(settingsFile));
    std::signal(SIGPIPE, SIG_IGN);
    const SystemClock clock;
    boost::asio::io_context loop(1);
    const platform::WireCodec codec;
    const auto store = platform::StoreClient::create(loop, clock, { .address = settings.store.address });
    BOOST_LEAF_AUTO(host, entry::EntryHost::start(loop, clock, codec, *store, std::move(settings)));
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code ec, int) {
        if (!ec)
            host->shutDown([&] { loop.stop(); });
    });
    loop.run();
    return 0;
}

}
