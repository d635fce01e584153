#pragma once

#include "fireflyhaven/billing/types/bill.h"
#include "fireflyhaven/dispatch/types/run.h"
#include "fireflyhaven/adapters/types/log.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <sstream>
#include <variant>

namespace fireflyhaven::node {

// Requests the log records from an offset on.
struct FetchRecords {
    Offset from;
    template <typename Archive> void serialize(Archive& archive) { archive(from); }
};

// Requests that the receiver store a copy of a bill. `origin` is the host that issued the bill and sends the request.
struct StoreBill {
    HostId origin;
    billing::Bill bill;
    template <typename Archive> void serialize(Archive& archive) { archive(origin, bill); }
};

// Notifies the receiver that its copies of the bills of `origin` with these keys are no longer needed.
struct ReleaseBills {
    HostId origin;
    std::vector<std::string> keys;
    template <typename Archive> void serialize(Archive& archive) { archive(origin, keys); }
};

using PeerRequest = std::variant<dispatch::RunRequest, FetchRecords, StoreBill, ReleaseBills>;

template <typename T> std::string encodeMessage(const T& message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return out.str();
}

// Returns no message if the bytes can't be decoded.
template <typename T> std::optional<T> decodeMessage(const std::string& bytes)
{
    try {
        T message;
        std::istringstream in(bytes);
        cereal::PortableBinaryInputArchive archive(in);
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
