#pragma once

#include "fireflyhaven/catalog/types/operatorchange.h"
#include "fireflyhaven/entry/types/request.h"
#include "fireflyhaven/http/types/head.h"
#include "fireflyhaven/store/types/records.h"

namespace fireflyhaven::entry {

// A caller's question for addresses of entry hosts.
struct AddressQuestion {
    std::string host;
    RegionId region;
    DataCentreId dataCentre;
};

// Translates between the product's types and what callers, upstreams and the platform speak. Decides nothing.
class IWireCodec {
public:
    virtual ~IWireCodec() = default;

    // What a caller's request says of itself. Values that can't be read count as absent.
    virtual CallerRequest decodeRequest(const http::RequestHead& head) const = 0;
    // Head of the request for an upstream: the caller's own, without what the system alone may set.
    virtual http::RequestHead encodeUpstreamRequest(
        const http::RequestHead& caller, const UpstreamOrder& order) const = 0;
    virtual AnswerFacts decodeAnswer(const http::ResponseHead& head) const = 0;
    // Head of an upstream's answer as the caller gets it.
    virtual http::ResponseHead encodeCallerAnswer(const http::ResponseHead& upstream) const = 0;
    // Head of an answer of the system's own, with the time to come back where one is given.
    virtual http::ResponseHead encodeOwnAnswer(
        int status, const AttemptId& attempt, std::optional<Duration> retryAfter) const = 0;

    virtual bool isReadinessQuestion(const http::RequestHead& head) const = 0;
    // No value where the request is no question for addresses.
    virtual std::optional<AddressQuestion> decodeAddressQuestion(const http::RequestHead& head) const = 0;
    virtual std::string encodeAddresses(const std::vector<http::Endpoint>& addresses, Duration lifetime) const = 0;

    virtual catalog::OperatorChange decodeOperatorRecord(const store::KeyedRecord& record) const = 0;
    // No value where the record names no upstream to use.
    virtual std::optional<catalog::Upstream> decodeUpstreamRecord(const store::KeyedRecord& record) const = 0;
    virtual store::KeyedRecord encodeRolloutStatus(const catalog::RolloutStatus& status) const = 0;
    virtual std::optional<catalog::RolloutStatus> decodeRolloutStatus(const store::KeyedRecord& record) const = 0;
};

}
