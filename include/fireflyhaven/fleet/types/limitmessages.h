#pragma once

#include "fireflyhaven/common/types/requestrate.h"
#include "fireflyhaven/fleet/types/hostreport.h"
#include "fireflyhaven/fleet/types/noticescope.h"

#include <optional>

namespace fireflyhaven::fleet {

// What an answer of an upstream has said of its request limit.
struct UpstreamLimit {
    ShortHash upstream = 0;
    // Start of the upstream's incarnation, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    // No value if the upstream has stopped naming a limit.
    std::optional<RequestRate> limit;
    // Time since the answer arrived.
    std::uint32_t ageMs = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        bool hasLimit = limit.has_value();
        RequestRate rate = limit.value_or(RequestRate());
        archive(upstream, startedAtMs, hasLimit, rate, ageMs);
        limit = hasLimit ? std::optional(rate) : std::nullopt;
    }
};

// Request limits that the sender, or hosts that report to it, have learned from answers.
struct LimitNotices {
    HostId from;
    DataCentreId dataCentre;
    ShortList<UpstreamLimit> limits;

    template <typename Archive> void serialize(Archive& archive) { archive(from, dataCentre, limits); }
};

// Asks the issuer of an upstream's permits for the permit to send it one request.
struct PermitRequest {
    // Chosen by the sender; identifies the reply.
    std::uint32_t number = 0;
    // The limit as the sender knows it.
    UpstreamLimit limit;
    // How long the request can wait for the permit to become valid.
    std::uint32_t maxWaitMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(number, limit, maxWaitMs); }
};

struct PermitReply {
    std::uint32_t number = 0;
    bool granted = false;
    // Time until the permit becomes valid; if none is granted, time until the issuer has one to give.
    std::uint32_t waitMs = 0;
    // Time after which a caller that is refused now may be served.
    std::uint32_t retryAfterMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(number, granted, waitMs, retryAfterMs); }
};

std::string encodeLimitNotices(const LimitNotices& notices);
std::string encodePermitRequest(const PermitRequest& request);
std::string encodePermitReply(const PermitReply& reply);
// These return no value if the datagram is malformed or of another kind.
std::optional<LimitNotices> decodeLimitNotices(const std::string& datagram);
std::optional<PermitRequest> decodePermitRequest(const std::string& datagram);
std::optional<PermitReply> decodePermitReply(const std::string& datagram);

}
