#include "fireflyhaven/fleet/types/hostreport.h"

#include "datagram.h"

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t LAYOUT = 0xF102;
}

std::string encodeReport(const HostReport& report) { return encodeDatagram(LAYOUT, report); }

std::optional<HostReport> decodeReport(const std::string& datagram)
{
    return decodeDatagram<HostReport>(LAYOUT, datagram);
}

}
