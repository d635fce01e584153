#include "fireflyhaven/fleet/types/fleetdigest.h"

#include "datagram.h"
#include "loadextension.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t LAYOUT = 0xF201;
}

std::string encodeDigest(const FleetDigest& digest)
{
    return encodeDatagram(LAYOUT, digest, LoadExtension { .speeds = digest.speeds, .demands = digest.demands });
}

std::optional<FleetDigest> decodeDigest(const std::string& datagram)
{
    LoadExtension extension;
    auto digest = decodeDatagram<FleetDigest>(LAYOUT, datagram, extension);
    if (digest) {
        digest->speeds = std::move(extension.speeds);
        digest->demands = std::move(extension.demands);
    }
    return digest;
}

}
