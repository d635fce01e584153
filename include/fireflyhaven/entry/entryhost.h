#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/http/eventclient.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/io_context.hpp>

namespace fireflyhaven::entry {

// Makes the client that a host reaches its upstreams with.
using UpstreamClientFactory = std::function<std::unique_ptr<http::EventClient>()>;

// An entry host on one event loop: serves callers, reads configuration and registrations from the store, and exchanges
// load reports with the other hosts.
class EntryHost {
public:
    static Result<std::unique_ptr<EntryHost>> start(boost::asio::io_context& loop, const IClock& clock,
        const IWireCodec& codec, store::IRecordStore& store, EntrySettings settings,
        const UpstreamClientFactory& createUpstreamClient = {});
    virtual ~EntryHost() = default;

    // Applies changed bounds and limits. Address changes take effect only after a restart.
    virtual void reload(const EntrySettings& settings) = 0;
    // Drains the host: reports it as not ready, still accepts requests for a few seconds, finishes those in flight
    // within the shutdown grace period, then calls `done`.
    virtual void shutDown(std::function<void()> done) = 0;
};

}
