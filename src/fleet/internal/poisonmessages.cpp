#include "fireflyhaven/fleet/types/poisonmessages.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t NOTICES_LAYOUT = 0xF601;
}

std::string encodePoisonNotices(const PoisonNotices& notices) { return encodeDatagram(NOTICES_LAYOUT, notices); }

std::optional<PoisonNotices> decodePoisonNotices(const std::string& datagram)
{
    return decodeDatagram<PoisonNotices>(NOTICES_LAYOUT, datagram);
}

}
