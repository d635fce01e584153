#pragma once

#include "fireflyhaven/catalog/catalog.h"
#include "fireflyhaven/fleet/types/hostreport.h"

#include <string>

// Names for the log of what messages between hosts hold as numbers.
namespace fireflyhaven::entry {

// The upstream's id, or its hash if the upstream is not known.
std::string upstreamName(const catalog::Catalog& catalog, fleet::ShortHash upstream);
// The part's id in hexadecimal digits, as requests hold it.
std::string partId(PromptPartId part);

}
