#pragma once

#include <cstdint>
#include <optional>

namespace fireflyhaven::balancing {

// Load that an upstream reports with a response. Figures that it does not name, or that cannot be read, have no value.
struct LoadReport {
    // Requests.
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    // How long work takes at the upstream at the moment, as a multiple of the usual time.
    std::optional<double> workTimeFactor;
    // At least one of the figures cannot be read.
    bool hasUnreadableFigure = false;
};

}
