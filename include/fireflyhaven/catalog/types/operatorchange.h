#pragma once

#include "fireflyhaven/catalog/types/upstream.h"

#include <variant>

namespace fireflyhaven::catalog {

// The operator has withdrawn the roll-out order for the service.
struct RolloutWithdrawn {
    ServiceName service;
};

// A data centre is evacuated and receives no more requests, or is back in service.
struct EvacuationChange {
    DataCentreId dataCentre;
    bool evacuated = false;
};

// A record of an unknown type, or one that cannot be decoded. The reason is a text for the log.
struct UnreadableRecord {
    std::string key;
    std::string reason;
};

// Decoded form of one record that the operator has written.
using OperatorChange = std::variant<Configuration, RolloutOrder, RolloutWithdrawn, EvacuationChange, UnreadableRecord>;

enum class RolloutPhase { Running, Completed, RolledBack };

// Progress of a roll-out, as it is written to the store for the operator.
struct RolloutStatus {
    ServiceName service;
    SoftwareVersion target;
    RolloutPhase phase = RolloutPhase::Running;

    friend bool operator==(const RolloutStatus&, const RolloutStatus&) = default;
};

}
