#pragma once

#include "fireflyhaven/common/types/ids.h"

#include <vector>

namespace fireflyhaven::adapters {

struct LogItem {
    Offset offset;
    std::string text;

    template <typename Archive> void serialize(Archive& archive) { archive(offset, text); }
};

struct LogPage {
    // Offset of the oldest record that the log still keeps.
    Offset first;
    // Offset that the next append will get.
    Offset next;
    std::vector<LogItem> items;
};

}
