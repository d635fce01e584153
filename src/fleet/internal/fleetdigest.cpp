#include "fireflyhaven/fleet/types/fleetdigest.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t LAYOUT = 0xF201;
}

std::string encodeDigest(const FleetDigest& digest)
{
    return encodeDatagram(
        LAYOUT, digest, ShortList<UpstreamSpeed>(digest.speeds), ShortList<PromptDemand>(digest.demands));
}

std::optional<FleetDigest> decodeDigest(const std::string& datagram)
{
    ShortList<UpstreamSpeed> speeds;
    ShortList<PromptDemand> demands;
    auto digest = decodeDatagram<FleetDigest>(LAYOUT, datagram, speeds, demands);
    if (digest) {
        digest->speeds = std::move(speeds);
        digest->demands = std::move(demands);
    }
    return digest;
}

}
