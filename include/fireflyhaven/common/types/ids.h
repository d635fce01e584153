#pragma once

#include "fireflyhaven/common/types/strongid.h"

namespace fireflyhaven {

using WorkspaceId = StrongId<struct WorkspaceTag>;
using PlanName = StrongId<struct PlanTag>;
using TaskName = StrongId<struct TaskTag>;
using UpstreamId = StrongId<struct UpstreamTag>;
using ServiceName = StrongId<struct ServiceTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RegionId = StrongId<struct RegionTag>;
using HostId = StrongId<struct HostTag>;
using RequestId = StrongId<struct RequestTag>;
using SessionId = StrongId<struct SessionTag>;
// Part of a prompt; the same for all requests that share it.
using PromptPartId = StrongNumber<struct PromptPartTag>;
// Identity of a request: a digest of its path, caller and body, the same on all hosts.
using RequestDigest = StrongNumber<struct RequestDigestTag>;
using IdempotencyKey = StrongId<struct IdempotencyTag>;

// Position of a record in the platform's log, counted from 1; 0 is the position before the first record.
using Offset = StrongNumber<struct OffsetTag>;
// Identifies one run of a host process by the offset of its join record.
using Incarnation = Offset;
// Random number that identifies one process as a writer of log records.
using WriterId = StrongNumber<struct WriterTag>;

// Version of a model; its text form is "model@version".
struct ModelVersion {
    std::string model;
    std::string version;

    std::string text() const { return model + "@" + version; }
    // Returns an empty object if the text has no "@" or an empty part.
    static ModelVersion parse(const std::string& text)
    {
        const auto at = text.find('@');
        if (at == std::string::npos || at == 0 || at + 1 == text.size())
            return {};
        return { .model = text.substr(0, at), .version = text.substr(at + 1) };
    }
    bool empty() const { return model.empty(); }

    friend auto operator<=>(const ModelVersion&, const ModelVersion&) = default;
    template <typename H> friend H AbslHashValue(H h, const ModelVersion& it)
    {
        return H::combine(std::move(h), it.model, it.version);
    }
    template <typename Archive> void serialize(Archive& archive) { archive(model, version); }
};

// Amount of money in millionths of the operator's currency unit.
struct Cost {
    std::int64_t micros = 0;

    friend auto operator<=>(const Cost&, const Cost&) = default;
    Cost& operator+=(Cost other)
    {
        micros += other.micros;
        return *this;
    }
    template <typename Archive> void serialize(Archive& archive) { archive(micros); }
};

}
