#include "fireflyhaven/fleet/types/hostreport.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

namespace fireflyhaven::fleet {

namespace {
// Tells reports from other datagrams, and versions of the layout from each other.
constexpr std::uint16_t LAYOUT = 0xF101;
}

std::string encodeReport(const HostReport& report)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(LAYOUT, report);
    }
    return std::move(out).str();
}

std::optional<HostReport> decodeReport(const std::string& datagram)
{
    try {
        std::istringstream in(datagram);
        cereal::PortableBinaryInputArchive archive(in);
        std::uint16_t layout = 0;
        archive(layout);
        if (layout != LAYOUT)
            return std::nullopt;
        HostReport report;
        archive(report);
        return report;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

}
