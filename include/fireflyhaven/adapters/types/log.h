#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <vector>

namespace fireflyhaven::adapters {

struct LogRecord {
    Offset offset;
    std::string text;

    template <typename Archive> void serialize(Archive& archive) { archive(offset, text); }
};

struct LogPage {
    // Offset of the oldest record that the log retains.
    Offset first;
    // Offset that the log assigns to the next append.
    Offset next;
    std::vector<LogRecord> records;
};

}
