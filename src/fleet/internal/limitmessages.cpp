#include "fireflyhaven/fleet/types/limitmessages.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t NOTICES_LAYOUT = 0xF301;
constexpr std::uint16_t PERMIT_REQUEST_LAYOUT = 0xF401;
constexpr std::uint16_t PERMIT_REPLY_LAYOUT = 0xF501;
}

std::string encodeLimitNotices(const LimitNotices& notices) { return encodeDatagram(NOTICES_LAYOUT, notices); }

std::string encodePermitRequest(const PermitRequest& request) { return encodeDatagram(PERMIT_REQUEST_LAYOUT, request); }

std::string encodePermitReply(const PermitReply& reply) { return encodeDatagram(PERMIT_REPLY_LAYOUT, reply); }

std::optional<LimitNotices> decodeLimitNotices(const std::string& datagram)
{
    return decodeDatagram<LimitNotices>(NOTICES_LAYOUT, datagram);
}

std::optional<PermitRequest> decodePermitRequest(const std::string& datagram)
{
    return decodeDatagram<PermitRequest>(PERMIT_REQUEST_LAYOUT, datagram);
}

std::optional<PermitReply> decodePermitReply(const std::string& datagram)
{
    return decodeDatagram<PermitReply>(PERMIT_REPLY_LAYOUT, datagram);
}

}
