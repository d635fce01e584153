#pragma once

#include "fireflyhaven/common/result.h"
#include "fireflyhaven/entry/types/settings.h"
#include "fireflyhaven/entry/wirecodec.h"
#include "fireflyhaven/store/recordstore.h"

#include <boost/asio/io_context.hpp>

namespace fireflyhaven::entry {

// One entry host on one event loop: answers callers, follows the store, tells the other hosts.
class EntryHost {
public:
    static Result<std::unique_ptr<EntryHost>> start(boost::asio::io_context& loop, const IClock& clock,
        const IWireCodec& codec, store::IRecordStore& store, EntrySettings settings);
    virtual ~EntryHost() = default;

    // Takes bounds and limits that changed into use. Addresses stay as they were at the start.
    virtual void reload(const EntrySettings& settings) = 0;
    // Leaves service: takes no new callers, answers what was read, then calls `done`.
    virtual void shutDown(std::function<void()> done) = 0;
};

}
