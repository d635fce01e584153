#include "fireflyhaven/fleet/types/fleetdigest.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t LAYOUT = 0xF201;
}

std::string encodeDigest(const FleetDigest& digest) { return encodeDatagram(LAYOUT, digest); }

std::optional<FleetDigest> decodeDigest(const std::string& datagram)
{
    return decodeDatagram<FleetDigest>(LAYOUT, datagram);
}

}
