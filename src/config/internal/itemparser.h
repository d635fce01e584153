#pragma once

#include "fireflyhaven/config/types/change.h"

namespace fireflyhaven::config {

// Reads one item of a collection into `lists` with revision 0; reports faults under `path`.
void parseItem(Lists& lists, Collection collection, const std::string& key, const nlohmann::json& body,
    const std::string& path, std::vector<Fault>& faults);

// Path of an item in a lists document.
std::string itemPath(Collection collection, const std::string& key);

}
