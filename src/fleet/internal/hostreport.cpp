#include "fireflyhaven/fleet/types/hostreport.h"

#include "datagram.h"
#include "loadextension.h"

#include <algorithm>

namespace fireflyhaven::fleet {

namespace {
constexpr std::uint16_t LAYOUT = 0xF102;
constexpr double PERCENT = 100;
constexpr Duration::rep MS_PER_DECISECOND = 100;
}

UpstreamSpeed UpstreamSpeed::of(ShortHash upstream, double workTimeFactor, Duration age)
{
    const Duration::rep deciseconds = std::clamp<Duration::rep>(age.count() / MS_PER_DECISECOND, 0, UINT16_MAX);
    return { .upstream = upstream,
        .workTimePercent = static_cast<std::uint16_t>(std::clamp<double>(workTimeFactor * PERCENT, 1, UINT16_MAX)),
        .ageDeciseconds = static_cast<std::uint16_t>(deciseconds) };
}

double UpstreamSpeed::workTimeFactor() const { return workTimePercent / PERCENT; }

Duration UpstreamSpeed::age() const { return Duration(ageDeciseconds * MS_PER_DECISECOND); }

std::string encodeReport(const HostReport& report)
{
    return encodeDatagram(LAYOUT, report, LoadExtension { .speeds = report.speeds, .demands = report.demands });
}

std::optional<HostReport> decodeReport(const std::string& datagram)
{
    LoadExtension extension;
    auto report = decodeDatagram<HostReport>(LAYOUT, datagram, extension);
    if (report) {
        report->speeds = std::move(extension.speeds);
        report->demands = std::move(extension.demands);
    }
    return report;
}

}
