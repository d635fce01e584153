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

// Asks for log records from an offset on.
struct FetchRecords {
    Offset from;
    template <typename Archive> void serialize(Archive& archive) { archive(from); }
};

// Asks to keep a copy of a bill.
struct StoreBill {
    HostId holder;
    billing::Bill bill;
    template <typename Archive> void serialize(Archive& archive) { archive(holder, bill); }
};

// Tells that copies of bills are no longer needed.
struct ReleaseBills {
    HostId holder;
    std::vector<std::string> keys;
    template <typename Archive> void serialize(Archive& archive) { archive(holder, keys); }
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

// Returns no message where the bytes can't be read.
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
