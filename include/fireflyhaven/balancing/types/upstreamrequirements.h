#pragma once

#include "fireflyhaven/catalog/types/configuration.h"

#include <vector>

namespace fireflyhaven::balancing {

// A part of a prompt. Requests whose prompts begin with the same parts can share them in a prefix cache.
struct PromptPart {
    PromptPartId id;
    std::uint32_t tokens = 0;

    friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// Which upstreams a request may go to, by what is known of their health.
enum class UpstreamCondition {
    // Also ejected ones, if no other may take the request.
    Any,
    // Not ejected, or due for a probe.
    Usable,
    Healthy,
};

// What a request requires of the upstream that serves it.
struct UpstreamRequirements {
    ServiceName service;
    // The only version that may serve it, where set.
    std::optional<catalog::SoftwareVersion> requiredVersion;
    // Versions that may not serve it.
    std::vector<catalog::SoftwareVersion> excludedVersions;
    // The only upstream that may serve it, where set.
    std::optional<UpstreamId> requiredUpstream;
    // Upstreams tried already for this request.
    std::vector<UpstreamId> excludedUpstreams;
    UpstreamCondition condition = UpstreamCondition::Any;
    // Empty for services without models.
    catalog::ModelName model;
    std::uint32_t promptTokens = 0;
    // In the order of the prompt; the last part is specific to this request.
    std::vector<PromptPart> promptParts;
};

// How a request to an upstream ended, as far as it counts for the upstream's health.
enum class SendOutcome {
    Succeeded,
    // An error or a malformed answer.
    Failed,
    // No answer: the connection was lost or the time ran out. The fault may be on this host's side.
    Unanswered,
    // No connection was established.
    Unreachable,
    // Another upstream answered at its address.
    Misdirected,
    // The upstream reported that it did not run the request.
    Refused,
    // Cancelled by the caller or this host; does not count.
    Cancelled,
};

}
