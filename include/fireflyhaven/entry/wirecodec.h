#pragma once

#include "fireflyhaven/catalog/types/operatorchange.h"
#include "fireflyhaven/entry/types/request.h"
#include "fireflyhaven/http/types/head.h"
#include "fireflyhaven/store/types/records.h"

namespace fireflyhaven::entry {

// A caller's query for the addresses of entry hosts.
struct AddressQuery {
    std::string host;
    RegionId region;
    DataCentreId dataCentre;
};

// Translates between internal types and the formats that callers, upstreams and the platform use. Contains no routing
// policy.
class IWireCodec {
public:
    virtual ~IWireCodec() = default;

    // Reads a caller's request head. Values that cannot be parsed count as absent.
    virtual CallerRequest decodeRequest(const http::RequestHead& head) const = 0;
    // Builds the request head for an upstream: the caller's head without the fields that only the router may set, and
    // with the router's own.
    virtual http::RequestHead encodeUpstreamRequest(
        const http::RequestHead& caller, const UpstreamDirectives& directives) const = 0;
    // Builds the request head for another host that is to answer in place of this one: the caller's head with the time
    // that is left for the answer as its deadline.
    virtual http::RequestHead encodeHandedOverRequest(const http::RequestHead& caller, Duration remaining) const = 0;
    virtual ResponseInfo decodeResponse(const http::ResponseHead& head) const = 0;
    // Builds the head of an upstream's response for the caller.
    virtual http::ResponseHead encodeCallerResponse(const http::ResponseHead& upstream) const = 0;
    // Builds the head of a response that this host generates itself, with a retry delay if one is given.
    virtual http::ResponseHead encodeLocalResponse(
        int status, const AttemptId& attempt, std::optional<Duration> retryAfter) const = 0;

    virtual bool isReadinessProbe(const http::RequestHead& head) const = 0;
    // Returns no value if the request is not an address query.
    virtual std::optional<AddressQuery> decodeAddressQuery(const http::RequestHead& head) const = 0;
    virtual std::string encodeAddresses(const std::vector<http::Endpoint>& addresses, Duration lifetime) const = 0;

    virtual catalog::OperatorChange decodeOperatorRecord(const store::KeyedRecord& record) const = 0;
    // Returns no value if the record does not describe a usable upstream.
    virtual std::optional<catalog::Upstream> decodeUpstreamRecord(const store::KeyedRecord& record) const = 0;
    virtual store::KeyedRecord encodeRolloutStatus(const catalog::RolloutStatus& status) const = 0;
    virtual std::optional<catalog::RolloutStatus> decodeRolloutStatus(const store::KeyedRecord& record) const = 0;
};

}
