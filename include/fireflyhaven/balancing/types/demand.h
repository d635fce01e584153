#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <vector>

namespace fireflyhaven::balancing {

using PromptPartId = StrongNumber<struct PromptPartTag>;

// A part of a prompt; requests that begin with the same parts share them.
struct PromptPart {
    PromptPartId id;
    std::uint32_t tokens = 0;

    friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// What a request asks of an upstream.
struct Demand {
    ServiceName service;
    // The only version that may serve it, where set.
    std::optional<catalog::SoftwareVersion> onlyVersion;
    // Versions that may not serve it.
    std::vector<catalog::SoftwareVersion> notVersions;
    // The only upstream that may serve it, where set.
    std::optional<UpstreamId> onlyUpstream;
    // Upstreams tried already for this request.
    std::vector<UpstreamId> excluded;
    // Empty for services without models.
    catalog::ModelName model;
    std::uint32_t promptTokens = 0;
    // In the order of the prompt; the last one belongs to the request itself.
    std::vector<PromptPart> promptParts;
};

// How a send to an upstream ended, as far as it tells of the upstream.
enum class SendOutcome {
    Good,
    // An error, a broken answer, or none in time.
    Failed,
    // No connection came about.
    Unreachable,
    // It said that it did not run the request.
    Refused,
    // The caller or this host gave it up; tells nothing.
    Abandoned,
};

}
