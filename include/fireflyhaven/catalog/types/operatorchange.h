#pragma once

#include "fireflyhaven/catalog/types/upstream.h"

#include <variant>

namespace fireflyhaven::catalog {

// A roll-out order that was taken back.
struct RolloutWithdrawn {
    ServiceName service;
};

// A data centre that is to get nothing more, or is back in service.
struct EvacuationChange {
    DataCentreId dataCentre;
    bool evacuated = false;
};

// A record that is of no known kind, or can't be read.
struct UnreadableRecord {
    std::string key;
    std::string reason;
};

// One record of the operator.
using OperatorChange = std::variant<Configuration, RolloutOrder, RolloutWithdrawn, EvacuationChange, UnreadableRecord>;

enum class RolloutPhase { Running, Completed, RolledBack };

// How far a roll-out is, as the operator reads it.
struct RolloutStatus {
    ServiceName service;
    SoftwareVersion target;
    RolloutPhase phase = RolloutPhase::Running;

    friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

}
