#pragma once

#include "fireflyhaven/config/types/change.h"

namespace fireflyhaven::config {

// Parses one item into `lists`, with revision 0. Appends validation errors, whose paths start with `path`.
void parseItem(Lists& lists, Collection collection, const std::string& key, const nlohmann::json& body,
    const std::string& path, std::vector<ValidationError>& errors);

// JSON path of an item in a lists document.
std::string itemPath(Collection collection, const std::string& key);

}
